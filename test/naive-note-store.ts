/** A naive reference implementation of the note state: a list of notes that is folded for every command. */
import type { NoteNumber, ResourceKey, Revision, Version } from '../src/ids.js';
import type { NoteAnswer, NoteEdit, NoteDraft, NoteReceipt } from '../src/messages/index.js';
import type { Resource } from '../src/messages/index.js';
import { buildKey } from '../src/messages/index.js';
import { digestValue, formatCanonical } from '../src/notes/index.js';

interface NaiveStep {
  readonly kind: string;
  readonly receipt: NoteReceipt;
}

/** An accepted note. The list of notes is in the order of acceptance. */
interface NaiveNote {
  readonly number: NoteNumber;
  readonly draft: NoteDraft;
  readonly steps: readonly [NaiveStep, ...NaiveStep[]];
}

interface NaiveAction {
  readonly note: NoteNumber;
  readonly order: number;
  readonly key: ResourceKey;
  readonly place: string;
  readonly action: 'add' | 'change' | 'withdraw';
  readonly resource: Resource | undefined;
}

/** The configuration that a list of notes produces, and the actions that are not allowed. */
interface FoldedNotes {
  readonly configuration: ReadonlyMap<ResourceKey, Resource>;
  /** The last action on each resource. */
  readonly last: ReadonlyMap<ResourceKey, NaiveAction>;
  readonly violations: readonly { readonly action: NaiveAction; readonly undone?: NoteNumber }[];
}

/** Applies commands like {@link NoteStore}, at a cost that grows with the number of notes. */
export class NaiveNoteStore {
  notes: readonly NaiveNote[] = [];
  version = 0;

  apply(command: NoteEdit): NoteAnswer {
    const number = command.kind === 'withdraw' ? command.number : command.draft.number;
    const note = this.notes.find((one) => one.number === number);
    if (command.kind === 'submit') return this.#submit(command.draft, note);
    if (note === undefined) return { kind: 'unknown-note', number };
    const digest = command.kind === 'amend' ? digestValue(command.draft) : undefined;
    const step = note.steps[command.readAt];
    if (step?.kind === command.kind && (digest ?? step.receipt.digest) === step.receipt.digest) {
      return { kind: 'accepted', receipt: step.receipt, isRepeat: true };
    }
    const { revision } = this.#readReceipt(note);
    if (command.readAt !== revision) return { kind: 'stale-revision', current: revision };
    if (note.steps.at(-1)?.kind === 'withdraw') return buildRefused(['number']);
    const draft = command.kind === 'amend' ? command.draft : undefined;
    const effectiveDraft = draft ?? note.draft;
    return this.#accept(
      command.kind,
      number,
      note,
      effectiveDraft,
      digest ?? digestValue(note.draft),
    );
  }

  get configuration(): ReadonlyMap<ResourceKey, Resource> {
    return foldNotes(this.notes).configuration;
  }

  findSetter(key: ResourceKey): NoteNumber | undefined {
    return foldNotes(this.notes).last.get(key)?.note;
  }

  readRevision(number: NoteNumber): Revision {
    const note = this.notes.find((one) => one.number === number);
    return note === undefined ? (1 as Revision) : this.#readReceipt(note).revision;
  }

  // Internals.

  #readReceipt(note: NaiveNote): NoteReceipt {
    return (note.steps.at(-1) ?? note.steps[0]).receipt;
  }

  #submit(draft: NoteDraft, note: NaiveNote | undefined): NoteAnswer {
    const digest = digestValue(draft);
    const first = note?.steps[0].receipt;
    if (first?.digest === digest) return { kind: 'accepted', receipt: first, isRepeat: true };
    if (first !== undefined) return { kind: 'number-taken', winner: first };
    return this.#accept('submit', draft.number, undefined, draft, digest);
  }

  #accept(
    kind: NoteEdit['kind'],
    number: NoteNumber,
    former: NaiveNote | undefined,
    draft: NoteDraft,
    digest: NoteReceipt['digest'],
  ): NoteAnswer {
    const revision = ((former?.steps.length ?? 0) + 1) as Revision;
    const receipt = { number, revision, version: (this.version + 1) as Version, digest };
    const next: NaiveNote = {
      number,
      draft,
      steps: former ? [...former.steps, { kind, receipt }] : [{ kind, receipt }],
    };
    const notes = former
      ? this.notes.map((one) => (one === former ? next : one))
      : [...this.notes, next];
    const answer = this.#judge(notes, next, kind);
    if (answer !== undefined) return answer;
    this.notes = notes;
    this.version += 1;
    return { kind: 'accepted', receipt };
  }

  #judge(
    notes: readonly NaiveNote[],
    note: NaiveNote,
    kind: NoteEdit['kind'],
  ): NoteAnswer | undefined {
    const before = foldNotes(this.notes);
    const after = foldNotes(notes);
    const places: string[] = [];
    const overridden = new Set<NoteNumber>();
    const dependents = new Set<NoteNumber>();
    if (kind !== 'withdraw') places.push(...this.#judgeDraft(note));
    for (const { action, undone: overriddenNote } of after.violations) {
      if (action.note !== note.number) dependents.add(action.note);
      else if (overriddenNote === undefined) places.push(action.place);
      else overridden.add(overriddenNote);
    }
    const order = notes.indexOf(note);
    for (const one of findViolations(before, after, note, order)) {
      if (typeof one === 'string') places.push(one);
      else dependents.add(one);
    }
    const sorted = (numbers: ReadonlySet<NoteNumber>) => [...numbers].sort((a, b) => a - b);
    if (kind === 'withdraw' && dependents.size > 0)
      return { kind: 'rested-on', notes: sorted(dependents) };
    if (places.length > 0) return buildRefused(places);
    if (overridden.size > 0) return { kind: 'would-undo', notes: sorted(overridden) };
    return dependents.size > 0 ? { kind: 'rested-on', notes: sorted(dependents) } : undefined;
  }

  #judgeDraft({ number, draft }: NaiveNote): string[] {
    const known = (one: NoteNumber) => this.notes.some((note) => note.number === one);
    const unknown = draft.supersedes.flatMap((one, index) =>
      one === number || !known(one) ? [`supersedes[${index}]`] : [],
    );
    const keys = listActions(draft, 0).map(({ key }) => key);
    const repeated = listActions(draft, 0).filter(({ key }, index) => keys.indexOf(key) < index);
    return [...unknown, ...repeated.map(({ place }) => place)];
  }
}

// Internals.

function buildRefused(places: readonly string[]): NoteAnswer {
  return { kind: 'refused', faults: places.map((place) => ({ place, message: '' })) };
}

function listActions(draft: NoteDraft, order: number): NaiveAction[] {
  const note = draft.number;
  const listPuts = (action: 'add' | 'change'): NaiveAction[] =>
    draft[action].map((resource, index) => {
      return {
        note,
        order,
        key: buildKey(resource),
        place: `${action}[${index}]`,
        action,
        resource,
      };
    });
  const withdrawals = draft.withdraw.map((key, index): NaiveAction => {
    const place = `withdraw[${index}]`;
    return { note, order, key, place, action: 'withdraw', resource: undefined };
  });
  return [...listPuts('add'), ...listPuts('change'), ...withdrawals];
}

function listEffectiveActions(note: NaiveNote, order: number): NaiveAction[] {
  if (note.steps.at(-1)?.kind === 'withdraw') return [];
  const all = listActions(note.draft, order);
  return all.filter(({ key }, index) => all.findIndex((one) => one.key === key) === index);
}

function foldNotes(notes: readonly NaiveNote[]): FoldedNotes {
  const last = new Map<ResourceKey, NaiveAction>();
  const violations: { action: NaiveAction; undone?: NoteNumber }[] = [];
  notes.forEach((note, order) => {
    for (const action of listEffectiveActions(note, order)) {
      const below = last.get(action.key);
      const present = below?.resource !== undefined;
      if (present === (action.action === 'add')) violations.push({ action });
      else if (below && !note.draft.supersedes.includes(below.note)) {
        violations.push({ action, undone: below.note });
      }
      last.set(action.key, action);
    }
  });
  const configuration = new Map<ResourceKey, Resource>();
  for (const [key, { resource }] of last) if (resource) configuration.set(key, resource);
  return { configuration, last, violations };
}

/** Lists the violations in the new configuration: a place in the note, or the later note that depends on it. */
function findViolations(
  before: FoldedNotes,
  after: FoldedNotes,
  note: NaiveNote,
  order: number,
): (string | NoteNumber)[] {
  const own = listEffectiveActions(note, order);
  const attribute = (from: ResourceKey, other: ResourceKey, field: string): string | NoteNumber => {
    const setter = after.last.get(from);
    if (setter && setter.order > order) return setter.note;
    const ownAction = own.find((one) => one.key === from && one.resource);
    if (ownAction) return `${ownAction.place}${field}`;
    const remover = after.last.get(other);
    if (remover && remover.order > order) return remover.note;
    const cause =
      own.find((one) => one.key === other) ??
      own.find((one) => buildGeneration(before.configuration.get(one.key)) === other);
    return cause?.place ?? 'note';
  };
  const provided = new Set<string | undefined>(after.configuration.keys());
  for (const resource of after.configuration.values()) provided.add(buildGeneration(resource));
  const violations: (string | NoteNumber)[] = [];
  for (const [from, resource] of after.configuration) {
    for (const [field, to] of listReferences(resource)) {
      if (!provided.has(to)) violations.push(attribute(from, to, field));
    }
  }
  for (const [from, other] of findAmbiguousRoutes(before, after, own))
    violations.push(attribute(from, other, ''));
  return violations;
}

function buildGeneration(resource: Resource | undefined): ResourceKey | undefined {
  if (resource?.kind !== 'route') return undefined;
  return `generation/${resource.generation}` as ResourceKey;
}

function listReferences(resource: Resource): [field: string, to: ResourceKey][] {
  if (resource.kind === 'route') {
    return [
      ['.service', `service/${resource.service}` as ResourceKey],
      ['.request_kind', `request-kind/${resource.requestKind}` as ResourceKey],
    ];
  }
  if (resource.kind !== 'split') return [];
  return resource.shares.map(({ generation }, index) => {
    return [`.shares[${index}].generation`, `generation/${generation}` as ResourceKey];
  });
}

function findAmbiguousRoutes(
  before: FoldedNotes,
  after: FoldedNotes,
  own: readonly NaiveAction[],
): [from: ResourceKey, other: ResourceKey][] {
  const groups = new Map<string, ResourceKey[]>();
  const rank = (key: ResourceKey) => {
    if (
      formatCanonical(before.configuration.get(key)) ===
      formatCanonical(after.configuration.get(key))
    )
      return -1;
    const index = own.findIndex((one) => one.key === key);
    return index < 0 ? own.length : index;
  };
  const keys = [...after.configuration.keys()].sort((a, b) => rank(a) - rank(b));
  for (const key of keys) {
    const route = after.configuration.get(key);
    if (route?.kind !== 'route') continue;
    const pattern = `${route.generation} ${route.method} ${route.pathPrefix}`;
    groups.set(pattern, [...(groups.get(pattern) ?? []), key]);
  }
  return [...groups.values()].flatMap(([first, ...others]) =>
    first === undefined ? [] : others.map((from): [ResourceKey, ResourceKey] => [from, first]),
  );
}
