/** Differential tests: the note book against a plain list that is folded anew each time. */
import test from 'ava';
import fc from 'fast-check';
import type { Generation, NoteNumber, RequestKindName, Revision, ServiceName } from '../src/ids.js';
import type { Change, NoteAnswer, NoteEdit, NoteDraft, Resource } from '../src/messages/index.js';
import { formKey } from '../src/messages/index.js';
import {
  applyDelta,
  buildNext,
  checkNext,
  checkWhole,
  EMPTY_WHOLE,
  findDangling,
  formatCanonical,
  formatSum,
  isApplyFault,
  NoteBook,
} from '../src/notes/index.js';
import { NaiveBook } from './naive-note-store.js';

const SEED = 20261204;
const RUNS = 200;
const LENGTHS = { minLength: 20, maxLength: 40 };

/** Raw choices; what they come to depends on the notes that have been accepted so far. */
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

/** A note on which the random ones can build. */
const FIRST_COMMAND = {
  kind: 'submit',
  draft: {
    number: 100 as NoteNumber,
    title: 'first',
    add: [0, 1, 2, 3, 4].map((index) => formResource(index, 0)),
    change: [],
    withdraw: [],
    supersedes: [],
  },
} satisfies NoteEdit;

/** One of each kind of resource, with both generations and all that they refer to. */
const MANY = [
  ...FIRST_COMMAND.draft.add,
  ...[5, 7, 9].map((index) => formResource(index, index === 5 ? 0 : 1)),
];

test('same as naive', (t) => {
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

test('snapshot changes nothing', (t) => {
  fc.assert(
    fc.property(fc.array(rawCommand, LENGTHS), (raws) => {
      const { book, commands } = runBoth(raws, () => undefined);
      const copy = NoteBook.open(JSON.parse(JSON.stringify(book.formSnapshot())) as never);
      t.deepEqual(copy.formWholeSnapshot(), book.formWholeSnapshot());
      for (const command of commands) t.deepEqual(copy.apply(command), book.apply(command));
    }),
    { seed: SEED, numRuns: RUNS / 4 },
  );
});

test('partial check finds all', (t) => {
  const [whole, counts] = [buildNext(EMPTY_WHOLE, formPuts(MANY)), { whole: 0, broken: 0 }];
  t.deepEqual(findDangling(whole), []);
  fc.assert(
    fc.property(fc.array(rawAction, { minLength: 1, maxLength: 4 }), (actions) => {
      const changes = actions.map(({ resource, variant, mode }): Change => {
        const one = formResource(resource, variant);
        return mode === 'withdraw'
          ? { op: 'remove', key: formKey(one) }
          : { op: 'put', resource: one };
      });
      const next = buildNext(whole, changes);
      const expected = checkWhole(next, formatSum(next.sum));
      const found = checkNext(whole, next, changes, formatSum(next.sum));
      t.is('kind' in found, 'kind' in expected);
      counts['kind' in expected ? 'broken' : 'whole'] += 1;
    }),
    { seed: SEED, numRuns: 2_000 },
  );
  t.log(counts);
  t.true(counts.whole > 100 && counts.broken > 100);
});

/** Applies commands to both books and compares answers, versions and wholes after each. */
function runBoth(raws: readonly RawCommand[], notice: (answer: NoteAnswer) => void) {
  const [book, naive, commands] = [new NoteBook(), new NaiveBook(), [] as NoteEdit[]];
  let proxy = EMPTY_WHOLE;
  for (const raw of [undefined, ...raws]) {
    const command = raw === undefined ? FIRST_COMMAND : formCommand(raw, naive, commands);
    commands.push(command);
    const { answer, delta } = book.apply(command);
    const expected = naive.apply(command);
    expectEqual(formComparable(answer), formComparable(expected), command);
    if (delta !== undefined) {
      const next = applyDelta(proxy, delta);
      if (isApplyFault(next)) throw new Error(`a proxy refuses the delta: ${next.kind}`);
      proxy = next;
    }
    expectEqual([book.version, proxy.version], [naive.version, naive.version], command);
    expectEqual(new Map([...proxy.resources].sort()), new Map([...naive.whole].sort()), command);
    notice(answer);
  }
  return { book, commands };
}

function formPuts(resources: readonly Resource[]): Change[] {
  return resources.map((resource) => ({ op: 'put', resource }));
}

function expectEqual(found: unknown, expected: unknown, command: NoteEdit): void {
  const [left, right] = [found, expected].map((one) =>
    formatCanonical(one instanceof Map ? [...one] : one),
  );
  if (left !== right) throw new Error(`${formatCanonical(command)}: ${left} is not ${right}`);
}

function formComparable(answer: NoteAnswer): unknown {
  if (answer.kind !== 'refused') return answer;
  return { kind: answer.kind, places: answer.faults.map(({ place }) => place).sort() };
}

function formCommand(raw: RawCommand, naive: NaiveBook, history: readonly NoteEdit[]): NoteEdit {
  const resent = history[history.length - raw.number];
  if (raw.kind === 'resend' && resent !== undefined) return resent;
  const known = naive.notes[raw.number % naive.notes.length]?.number;
  const number = raw.known && known !== undefined ? known : (raw.number as NoteNumber);
  const readAt = (naive.readRevision(number) + raw.stale) as Revision;
  if (raw.kind === 'withdraw') return { kind: 'withdraw', number, readAt };
  const draft = formDraft(raw, naive, raw.kind === 'amend' ? number : (raw.number as NoteNumber));
  return raw.kind === 'amend' ? { kind: 'amend', draft, readAt } : { kind: 'submit', draft };
}

function formDraft(raw: RawCommand, naive: NaiveBook, number: NoteNumber): NoteDraft {
  const lists = { add: [] as Resource[], change: [] as Resource[], withdraw: [] as Resource[] };
  for (const { resource, variant, mode } of raw.actions) {
    const one = formResource(resource, variant);
    const fit = naive.whole.has(formKey(one)) ? 'change' : 'add';
    lists[mode === 'fit' ? fit : mode].push(one);
  }
  const others = naive.notes.map((note) => note.number).filter((one) => one !== number);
  const top = raw.actions.map((one) => formKey(formResource(one.resource, one.variant)));
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
    withdraw: lists.withdraw.map((one) => formKey(one)),
    supersedes: named[raw.supersedes],
  };
}

function formResource(index: number, variant: number): Resource {
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
