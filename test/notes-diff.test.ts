/** Differential tests of the note state against a naive reference implementation. */
import test from 'ava';
import fc from 'fast-check';
import type { Generation, NoteNumber, RequestKindName, Revision, ServiceName } from '../src/ids.js';
import type { Change, NoteAnswer, NoteEdit, NoteDraft, Resource } from '../src/messages/index.js';
import { buildKey } from '../src/messages/index.js';
import {
  applyDelta,
  applyChanges,
  checkConfiguration,
  EMPTY_CONFIGURATION,
  findDanglingReferences,
  formatCanonical,
  formatSetDigest,
  isConfigurationFault,
  NoteStore,
} from '../src/notes/index.js';
import type { Configuration } from '../src/notes/index.js';
import { listProvided, listReferences } from '../src/notes/references.js';
import { NaiveNoteStore } from './naive-note-store.js';

const SEED = 20261204;
const RUNS = 200;
const LENGTHS = { minLength: 20, maxLength: 40 };

/** Raw random choices; the resulting commands depend on the notes accepted so far. */
const rawAction = fc.record({
  resource: fc.nat({ max: 10 }),
  variant: fc.nat({ max: 5 }),
  mode: fc.constantFrom(...Array<'fit'>(12).fill('fit'), 'withdraw', 'add', 'change'),
});
const rawCommand = fc.record({
  kind: fc.constantFrom('submit', 'submit', 'submit', 'amend', 'withdraw', 'resend'),
  number: fc.integer({ min: 1, max: 30 }),
  actions: fc.array(rawAction, { minLength: 1, maxLength: 4 }),
  supersedes: fc.constantFrom('all', 'top', 'top', 'top', 'none', 'one'),
  stale: fc.constantFrom(0, 0, 0, 1),
  known: fc.constantFrom(true, true, true, true, false),
});
type RawCommand = typeof rawCommand extends fc.Arbitrary<infer T> ? T : never;

/** A first note that the random ones refer to. */
const FIRST_COMMAND = {
  kind: 'submit',
  draft: {
    number: 100 as NoteNumber,
    title: 'first',
    add: [0, 1, 2, 3, 4].map((index) => buildResource(index, 0)),
    change: [],
    withdraw: [],
    supersedes: [],
  },
} satisfies NoteEdit;

/** Resources of every kind, with routes of both generations and everything they refer to. */
const ALL_KINDS = [
  ...FIRST_COMMAND.draft.add,
  ...[5, 7, 9].map((index) => buildResource(index, index === 5 ? 0 : 1)),
];

test('same answers and configuration as the naive store', (t) => {
  const seen = new Map<string, number>();
  fc.assert(
    fc.property(fc.array(rawCommand, LENGTHS), (raws) => {
      runBoth(raws, (answer) => seen.set(answer.kind, (seen.get(answer.kind) ?? 0) + 1));
    }),
    { seed: SEED, numRuns: RUNS },
  );
  const kinds: NoteAnswer['kind'][] = [
    'accepted',
    'refused',
    'number-taken',
    'stale-revision',
    'would-undo',
    'rested-on',
    'unknown-note',
  ];
  t.log([...seen].map(([kind, count]) => `${kind} ${count}`).join(', '));
  for (const kind of kinds) t.true((seen.get(kind) ?? 0) > RUNS / 4, `${kind} was rare`);
});

test('restored snapshot behaves the same', (t) => {
  fc.assert(
    fc.property(fc.array(rawCommand, LENGTHS), (raws) => {
      const { book, commands } = runBoth(raws, () => undefined);
      const copy = NoteStore.open(JSON.parse(JSON.stringify(book.buildSnapshot())) as never);
      t.deepEqual(copy.buildConfigurationSnapshot(), book.buildConfigurationSnapshot());
      for (const command of commands) t.deepEqual(copy.apply(command), book.apply(command));
    }),
    { seed: SEED, numRuns: RUNS / 4 },
  );
});

/** Whether a resource of the configuration refers to a key that no resource provides. */
function hasDangling({ resources }: Configuration): boolean {
  const provided = new Set([...resources.values()].flatMap(listProvided));
  return [...resources.values()].flatMap(listReferences).some(({ to }) => !provided.has(to));
}

test('check of changes agrees with a full check', (t) => {
  const [whole, counts] = [
    applyChanges(EMPTY_CONFIGURATION, buildPuts(ALL_KINDS)),
    { whole: 0, broken: 0 },
  ];
  t.deepEqual(findDanglingReferences(whole), []);
  fc.assert(
    fc.property(fc.array(rawAction, { minLength: 1, maxLength: 4 }), (actions) => {
      const changes = actions.map(({ resource, variant, mode }): Change => {
        const one = buildResource(resource, variant);
        return mode === 'withdraw'
          ? { op: 'remove', key: buildKey(one) }
          : { op: 'put', resource: one };
      });
      const next = applyChanges(whole, changes);
      const isBroken = hasDangling(next);
      const found = checkConfiguration(next, formatSetDigest(next.setDigest));
      t.is('kind' in found, isBroken);
      t.is(findDanglingReferences(next).length > 0, isBroken);
      counts[isBroken ? 'broken' : 'whole'] += 1;
    }),
    { seed: SEED, numRuns: 2_000 },
  );
  t.log(counts);
  t.true(counts.whole > 100 && counts.broken > 100);
});

/** Applies commands to both implementations, and compares answers, versions and configurations after each. */
function runBoth(raws: readonly RawCommand[], onAnswer: (answer: NoteAnswer) => void) {
  const [book, naive, commands] = [new NoteStore(), new NaiveNoteStore(), [] as NoteEdit[]];
  let proxy = EMPTY_CONFIGURATION;
  for (const raw of [undefined, ...raws]) {
    const command = raw === undefined ? FIRST_COMMAND : buildCommand(raw, naive, commands);
    commands.push(command);
    const { answer, delta } = book.apply(command);
    const expected = naive.apply(command);
    expectEqual(buildComparable(answer), buildComparable(expected), command);
    if (delta !== undefined) {
      const next = applyDelta(proxy, delta);
      if (isConfigurationFault(next)) throw new Error(`the delta does not apply: ${next.kind}`);
      proxy = next;
    }
    expectEqual([book.version, proxy.version], [naive.version, naive.version], command);
    expectEqual(
      new Map([...proxy.resources].sort()),
      new Map([...naive.configuration].sort()),
      command,
    );
    onAnswer(answer);
  }
  return { book, commands };
}

function buildPuts(resources: readonly Resource[]): Change[] {
  return resources.map((resource) => ({ op: 'put', resource }));
}

function expectEqual(found: unknown, expected: unknown, command: NoteEdit): void {
  const [left, right] = [found, expected].map((one) =>
    formatCanonical(one instanceof Map ? [...one] : one),
  );
  if (left !== right) throw new Error(`${formatCanonical(command)}: ${left} is not ${right}`);
}

function buildComparable(answer: NoteAnswer): unknown {
  if (answer.kind !== 'refused') return answer;
  return { kind: answer.kind, places: answer.faults.map(({ place }) => place).sort() };
}

function buildCommand(
  raw: RawCommand,
  naive: NaiveNoteStore,
  history: readonly NoteEdit[],
): NoteEdit {
  const resent = history[history.length - raw.number];
  if (raw.kind === 'resend' && resent !== undefined) return resent;
  const known = naive.notes[raw.number % naive.notes.length]?.number;
  const number = raw.known && known !== undefined ? known : (raw.number as NoteNumber);
  const readAt = (naive.readRevision(number) + raw.stale) as Revision;
  if (raw.kind === 'withdraw') return { kind: 'withdraw', number, readAt };
  const draft = buildDraft(raw, naive, raw.kind === 'amend' ? number : (raw.number as NoteNumber));
  return raw.kind === 'amend' ? { kind: 'amend', draft, readAt } : { kind: 'submit', draft };
}

function buildDraft(raw: RawCommand, naive: NaiveNoteStore, number: NoteNumber): NoteDraft {
  const lists = { add: [] as Resource[], change: [] as Resource[], withdraw: [] as Resource[] };
  for (const { resource, variant, mode } of raw.actions) {
    const one = buildResource(resource, variant);
    const fit = naive.configuration.has(buildKey(one)) ? 'change' : 'add';
    lists[mode === 'fit' ? fit : mode].push(one);
  }
  const others = naive.notes.map((note) => note.number).filter((one) => one !== number);
  const top = raw.actions.map((one) => buildKey(buildResource(one.resource, one.variant)));
  const setters = top.flatMap((key) => naive.findSetter(key) ?? []);
  const named = {
    all: others,
    top: setters.filter((one) => one !== number),
    none: [],
    one: [((number % 7) + 1) as NoteNumber],
  };
  return {
    number,
    title: `note ${number}`,
    ...lists,
    withdraw: lists.withdraw.map((one) => buildKey(one)),
    supersedes: named[raw.supersedes],
  };
}

function buildResource(index: number, variant: number): Resource {
  const generation = (variant % 2 === 0 ? 'old' : 'new') as Generation;
  const kindName = `kind-${variant % 2}` as RequestKindName;
  if (index < 3) return { kind: 'service', name: `service-${index}` as ServiceName };
  if (index < 5) {
    const name = `kind-${index - 3}` as RequestKindName;
    const rest = { worth: 1, timeoutMs: 1000, claim: false, hedge: false };
    return { kind: 'request-kind', name, idempotent: variant % 2 === 0, ...rest };
  }
  if (index < 9) {
    return {
      kind: 'route',
      name: `route-${index - 5}`,
      generation,
      pathPrefix: index < 7 ? '/a' : '/b',
      method: variant < 4 ? '*' : 'GET',
      service: `service-${variant % 3}` as ServiceName,
      requestKind: kindName,
    };
  }
  const old = { generation: 'old' as Generation, share: variant * 1000 };
  const next = { generation: 'new' as Generation, share: 10_000 - old.share };
  return { kind: 'split', name: `split-${index}`, shares: variant === 0 ? [next] : [old, next] };
}
