/** Decides on adding, replacing or removing the effects of a note, without changing any state. */
import type { NoteNumber, ResourceKey, Version } from '../ids.js';
import type { Change, NoteDraft, NoteFault } from '../messages/index.js';
import { isSameValue } from './digest.js';
import { listRolloutEnds } from './decide-rollout.js';
import type { Layer, LayerTable } from './layer-table.js';
import type { NoteEntry, ResourceAction } from './note-entry.js';
import { listActions } from './note-entry.js';
import { MAX_CLIENT_ACCOUNTS } from './resource-bounds.js';
import { listProvided } from './references.js';
import type { Violation, ConfigurationTable } from './configuration-table.js';

/** The current state that an edit is checked against. */
export interface NoteTables {
  readonly entries: ReadonlyMap<NoteNumber, NoteEntry>;
  readonly layers: LayerTable;
  readonly whole: ConfigurationTable;
  /** The number of the latest replacement of the whole configuration. */
  readonly newestReplacement: NoteNumber | undefined;
  /** The newest version that came from a note or a replacement; later ones are steps of roll-outs. */
  readonly newestNoteVersion: Version;
}

/** Sets, replaces or removes the effects of a note at its position in the order of acceptance. */
export interface Edit {
  readonly number: NoteNumber;
  readonly position: Version;
  /** The draft that is currently in effect at the position. */
  readonly former: NoteDraft | undefined;
  /** The draft that is to take its place; undefined for a withdrawal. */
  readonly next: NoteDraft | undefined;
}

/** The new layer of a resource at the position of an edit; undefined to remove it. */
export interface LayerUpdate {
  readonly key: ResourceKey;
  readonly layer: Layer | undefined;
}

/** The effects of an edit, and the reasons to refuse it. */
export interface EditDecision {
  readonly updates: readonly LayerUpdate[];
  readonly changes: readonly Change[];
  readonly faults: readonly NoteFault[];
  /** Notes that the edit would override directly without listing them in `supersedes`. */
  readonly unnamedOverrides: readonly NoteNumber[];
  /** Later notes that depend on what the edit would remove or change. */
  readonly dependents: readonly NoteNumber[];
}

/** Decides on one edit. The cost depends on the size of the note, not on the number of notes. */
export function decideEdit(tables: NoteTables, edit: Edit): EditDecision {
  const decision: MutableDecision = {
    updates: [],
    changes: [],
    faults: [],
    unnamedOverrides: new Set(),
    dependents: new Set(),
  };
  const actions = findActions(edit, decision);
  const former = edit.former === undefined ? [] : listActions(edit.former);
  const keys = new Set([...actions.keys(), ...former.map(({ key }) => key)]);
  for (const key of keys) decideKey(tables, edit, key, actions.get(key), decision);
  decision.changes.push(...listRolloutEnds(tables.whole, decision.changes));
  for (const violation of tables.whole.findViolations(decision.changes)) {
    decideViolation(tables, edit, actions, violation, decision);
  }
  return {
    ...decision,
    unnamedOverrides: sortNumbers(decision.unnamedOverrides),
    dependents: sortNumbers(decision.dependents),
  };
}

// Internals.

/** A decision under construction. */
interface MutableDecision {
  readonly updates: LayerUpdate[];
  readonly changes: Change[];
  readonly faults: NoteFault[];
  readonly unnamedOverrides: Set<NoteNumber>;
  readonly dependents: Set<NoteNumber>;
}

type ActionsByKey = ReadonlyMap<ResourceKey, ResourceAction>;

/** Indexes the actions of the next draft by resource, and adds a fault for each repeated resource. */
function findActions(edit: Edit, { faults }: MutableDecision): ActionsByKey {
  const actions = new Map<ResourceKey, ResourceAction>();
  for (const placed of edit.next === undefined ? [] : listActions(edit.next)) {
    const first = actions.get(placed.key);
    if (first === undefined) actions.set(placed.key, placed);
    else
      faults.push({
        place: placed.place,
        message: `${placed.key} stands at ${first.place} already`,
      });
  }
  return actions;
}

function decideKey(
  tables: NoteTables,
  edit: Edit,
  key: ResourceKey,
  action: ResourceAction | undefined,
  decision: MutableDecision,
): void {
  const { below, own, above } = tables.layers.findNeighbours(key, edit.position);
  const next = action && buildLayer(edit, action);
  if (action !== undefined) checkActionBase(edit, action, below, decision);
  decision.updates.push({ key, layer: next });
  const base = next ?? below;
  if (above === undefined) decision.changes.push(...buildChange(key, own ?? below, base));
  else if (!isValidBase(tables, base, above)) decision.dependents.add(above.note);
}

function buildLayer({ number, position }: Edit, { action, resource }: ResourceAction): Layer {
  return { note: number, position, action, resource };
}

/** Checks an action against the layer directly below it: `add` needs an absent resource, the others a present one. */
function checkActionBase(
  { next }: Edit,
  { key, action, place }: ResourceAction,
  below: Layer | undefined,
  { faults, unnamedOverrides }: MutableDecision,
): void {
  const present = below?.resource !== undefined;
  if (action === 'add' && present) {
    const message = `${key} exists already, set by note ${below.note}; use change`;
    faults.push({ place, message });
    return;
  }
  if (action !== 'add' && !present) {
    faults.push({ place, message: `${key} is absent; use add, or correct the name` });
    return;
  }
  if (below !== undefined && !next?.supersedes.includes(below.note))
    unnamedOverrides.add(below.note);
}

/** Returns whether the layer of a later note may directly follow `base`. */
function isValidBase({ entries }: NoteTables, base: Layer | undefined, above: Layer): boolean {
  const present = base?.resource !== undefined;
  if (present === (above.action === 'add')) return false;
  if (base === undefined) return true;
  return entries.get(above.note)?.draft.supersedes.includes(base.note) ?? false;
}

function buildChange(key: ResourceKey, former?: Layer, next?: Layer): Change[] {
  if (isSameValue(former?.resource, next?.resource)) return [];
  const resource = next?.resource;
  return [resource === undefined ? { op: 'remove', key } : { op: 'put', resource }];
}

/** Attributes a violation to a place in the note, or to the later note that depends on it. */
function decideViolation(
  tables: NoteTables,
  edit: Edit,
  actions: ActionsByKey,
  violation: Violation,
  decision: MutableDecision,
): void {
  const { faults, dependents } = decision;
  const other = findOther(violation);
  const setter = tables.layers.findTop(violation.from);
  const remover = tables.layers.findTop(other);
  const own = actions.get(violation.from);
  const cause = findCause(tables, actions, other);
  if (isLater(setter, edit)) dependents.add(setter.note);
  else if (own?.resource !== undefined) faults.push(buildOwnFault(own, violation));
  else if (isLater(remover, edit)) dependents.add(remover.note);
  else faults.push({ place: cause?.place ?? 'note', message: buildMessage(violation, setter) });
}

/** Returns the other resource that is involved in a violation. */
function findOther(violation: Violation): ResourceKey {
  if (violation.kind === 'dangling') return violation.to;
  return violation.kind === 'too-many-accounts' ? violation.from : violation.other;
}

function isLater(layer: Layer | undefined, { position }: Edit): layer is Layer {
  return layer !== undefined && layer.position > position;
}

function buildOwnFault({ place }: ResourceAction, violation: Violation): NoteFault {
  if (violation.kind !== 'dangling') return { place, message: buildMessage(violation, undefined) };
  return {
    place: `${place}.${violation.field}`,
    message: `${violation.to} would be absent; add it, or correct the name`,
  };
}

/** Finds the action of this note that removes `key`, or that changes the resource that provides it. */
function findCause(
  { whole: configuration }: NoteTables,
  actions: ActionsByKey,
  key: ResourceKey,
): ResourceAction | undefined {
  const direct = actions.get(key);
  if (direct !== undefined) return direct;
  return [...actions.values()].find((action) => {
    const present = configuration.find(action.key);
    return present !== undefined && listProvided(present).includes(key);
  });
}

function buildMessage(violation: Violation, setter: Layer | undefined): string {
  const from =
    setter === undefined ? violation.from : `${violation.from}, set by note ${setter.note},`;
  if (violation.kind === 'dangling')
    return `${from} refers to ${violation.to}, which would be absent`;
  if (violation.kind === 'shared-key') return `${from} would have a key of ${violation.other}`;
  if (violation.kind === 'too-many-accounts')
    return `${from} would exceed the limit of ${MAX_CLIENT_ACCOUNTS} client accounts`;
  return `${from} would match the same generation, method and path prefix as ${violation.other}`;
}

function sortNumbers(numbers: ReadonlySet<NoteNumber>): NoteNumber[] {
  return [...numbers].sort((left, right) => left - right);
}
