/** The canonical text of values, by which digests are built and resources compared. */
import test from 'ava';
import fc from 'fast-check';
import { formatCanonical, isSameValue } from '../src/notes/digest.js';

const SEED = 20261208;
/** Names of members are never numbers, which JSON.stringify would put first. */
const name = fc.stringMatching(/^[a-z_"\\é]{1,6}$/);
const { value } = fc.letrec((tie) => ({
  value: fc.oneof(
    { maxDepth: 4 },
    fc.string(),
    fc.double({ noNaN: true, noDefaultInfinity: true }),
    fc.boolean(),
    fc.constant(null),
    fc.array(tie('value'), { maxLength: 4 }),
    fc.dictionary(name, fc.oneof(tie('value'), fc.constant(undefined)), { maxKeys: 5 }),
  ),
}));

function sortMembers(_: string, member: unknown): unknown {
  if (member === null || typeof member !== 'object' || Array.isArray(member)) return member;
  return Object.fromEntries(
    Object.entries(member).sort(([left], [right]) => (left < right ? -1 : 1)),
  );
}

test('canonical text: JSON with sorted members', (t) => {
  fc.assert(
    fc.property(value, (any) => {
      t.is(formatCanonical(any), JSON.stringify(any, sortMembers));
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});

test('same value: the same canonical text', (t) => {
  fc.assert(
    fc.property(value, value, (left, right) => {
      const isSame = JSON.stringify(left, sortMembers) === JSON.stringify(right, sortMembers);
      t.is(isSameValue(left, right), isSame);
      t.true(isSameValue(left, structuredClone(left)));
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});
