/** Decides what follows when a note's effects are put in, replaced or taken out. Nothing is changed. */
import type { NoteNumber, ResourceKey, Version } from '../ids.js';
import type { Change, NoteDraft, NoteFault } from '../messages/index.js';
import { formatCanonical } from './digest.js';
import type { Layer, LayerTable } from './layer-table.js';
import type { NoteEntry, PlacedAction } from './note-entry.js';
import { listActions } from './note-entry.js';
import { listProvided } from './references.js';
import type { Break, WholeTable } from './configuration-table.js';

/** What an edit is decided against. */
export interface NoteTables {
  readonly entries: ReadonlyMap<NoteNumber, NoteEntry>;
  readonly layers: LayerTable;
  readonly whole: WholeTable;
  /** The number of the newest replacement. */
  readonly newestReplacement: NoteNumber | undefined;
}

/** Puts a note's effects at a place in the order of acceptance, instead of those that stand there. */
export interface Edit {
  readonly number: NoteNumber;
  readonly position: Version;
  /** The note whose effects stand there now. */
  readonly former: NoteDraft | undefined;
  /** The note whose effects shall stand there. */
  readonly next: NoteDraft | undefined;
}

/** A layer that an edit sets, or removes. */
export interface LayerUpdate {
  readonly key: ResourceKey;
  readonly layer: Layer | undefined;
}

/** What an edit would do, and all that speaks against it. */
export interface EditDecision {
  readonly updates: readonly LayerUpdate[];
  readonly changes: readonly Change[];
  readonly faults: readonly NoteFault[];
  /** Notes directly below that the edit would undo without naming them. */
  readonly undone: readonly NoteNumber[];
  /** Later notes that would lose what they rest on. */
  readonly resting: readonly NoteNumber[];
}

/** Decides on one edit; the cost grows with the note, not with the book. */
export function decideEdit(tables: NoteTables, edit: Edit): EditDecision {
  const decision: OpenDecision = {
    updates: [],
    changes: [],
    faults: [],
    undone: new Set(),
    resting: new Set(),
  };
  const actions = findActions(edit, decision);
  const former = edit.former === undefined ? [] : listActions(edit.former);
  const keys = new Set([...actions.keys(), ...former.map(({ key }) => key)]);
  for (const key of keys) decideKey(tables, edit, key, actions.get(key), decision);
  for (const one of tables.whole.findBreaks(decision.changes)) {
    decideBreak(tables, edit, actions, one, decision);
  }
  return {
    ...decision,
    undone: sortNumbers(decision.undone),
    resting: sortNumbers(decision.resting),
  };
}

// Internals.

/** A decision that is being formed. */
interface OpenDecision {
  readonly updates: LayerUpdate[];
  readonly changes: Change[];
  readonly faults: NoteFault[];
  readonly undone: Set<NoteNumber>;
  readonly resting: Set<NoteNumber>;
}

type ActionsByKey = ReadonlyMap<ResourceKey, PlacedAction>;

/** Lists the actions of the next draft, with a fault for each resource that stands there twice. */
function findActions(edit: Edit, { faults }: OpenDecision): ActionsByKey {
  const actions = new Map<ResourceKey, PlacedAction>();
  for (const one of edit.next === undefined ? [] : listActions(edit.next)) {
    const first = actions.get(one.key);
    if (first === undefined) actions.set(one.key, one);
    else faults.push({ place: one.place, message: `${one.key} stands at ${first.place} already` });
  }
  return actions;
}

function decideKey(
  tables: NoteTables,
  edit: Edit,
  key: ResourceKey,
  action: PlacedAction | undefined,
  decision: OpenDecision,
): void {
  const { below, own, above } = tables.layers.findPlace(key, edit.position);
  const next = action && formLayer(edit, action);
  if (action !== undefined) decideBelow(edit, action, below, decision);
  decision.updates.push({ key, layer: next });
  const base = next ?? below;
  if (above === undefined) decision.changes.push(...formChange(key, own ?? below, base));
  else if (!isBaseOf(tables, base, above)) decision.resting.add(above.note);
}

function formLayer({ number, position }: Edit, { action, resource }: PlacedAction): Layer {
  return { note: number, position, action, resource };
}

/** Checks an action against the layer directly below it. */
function decideBelow(
  { next }: Edit,
  { key, action, place }: PlacedAction,
  below: Layer | undefined,
  { faults, undone }: OpenDecision,
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
  if (below !== undefined && !next?.supersedes.includes(below.note)) undone.add(below.note);
}

/** Tells whether a later note's layer may stand directly on `base`. */
function isBaseOf({ entries }: NoteTables, base: Layer | undefined, above: Layer): boolean {
  const present = base?.resource !== undefined;
  if (present === (above.action === 'add')) return false;
  if (base === undefined) return true;
  return entries.get(above.note)?.draft.supersedes.includes(base.note) ?? false;
}

function formChange(key: ResourceKey, former?: Layer, next?: Layer): Change[] {
  if (formatCanonical(former?.resource) === formatCanonical(next?.resource)) return [];
  const resource = next?.resource;
  return [resource === undefined ? { op: 'remove', key } : { op: 'put', resource }];
}

/** Attributes a break to a place in the note, or to the later notes that stand in the way. */
function decideBreak(
  tables: NoteTables,
  edit: Edit,
  actions: ActionsByKey,
  one: Break,
  decision: OpenDecision,
): void {
  const { faults, resting } = decision;
  const other = one.kind === 'ambiguous' ? one.other : one.to;
  const setter = tables.layers.findTop(one.from);
  const remover = tables.layers.findTop(other);
  const own = actions.get(one.from);
  const cause = findCause(tables, actions, other);
  if (isLater(setter, edit)) resting.add(setter.note);
  else if (own?.resource !== undefined) faults.push(formOwnFault(own, one));
  else if (isLater(remover, edit)) resting.add(remover.note);
  else faults.push({ place: cause?.place ?? 'note', message: formMessage(one, setter) });
}

function isLater(layer: Layer | undefined, { position }: Edit): layer is Layer {
  return layer !== undefined && layer.position > position;
}

function formOwnFault({ place }: PlacedAction, one: Break): NoteFault {
  if (one.kind === 'ambiguous') return { place, message: formMessage(one, undefined) };
  return {
    place: `${place}.${one.field}`,
    message: `${one.to} would be absent; add it, or correct the name`,
  };
}

/** Finds the action of this note that takes `key` away, or that takes its place. */
function findCause(
  { whole }: NoteTables,
  actions: ActionsByKey,
  key: ResourceKey,
): PlacedAction | undefined {
  const direct = actions.get(key);
  if (direct !== undefined) return direct;
  return [...actions.values()].find((action) => {
    const former = whole.find(action.key);
    return former !== undefined && listProvided(former).includes(key);
  });
}

function formMessage(one: Break, setter: Layer | undefined): string {
  const from = setter === undefined ? one.from : `${one.from}, set by note ${setter.note},`;
  if (one.kind === 'dangling') return `${from} refers to ${one.to}, which would be absent`;
  return `${from} would match the same generation, method and path prefix as ${one.other}`;
}

function sortNumbers(numbers: ReadonlySet<NoteNumber>): NoteNumber[] {
  return [...numbers].sort((left, right) => left - right);
}
