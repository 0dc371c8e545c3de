/** Acknowledgements that wait for the proxies. */
import test from 'ava';
import { addMs, NEVER } from '../src/clock.js';
import type { Digest, Instant, NoteNumber, RequestId, Revision, Version } from '../src/ids.js';
import type { CoverageReport, NoteAnswer } from '../src/messages/index.js';
import { DelayedAcknowledgements } from '../src/notes/delayed-acknowledgements.js';

const START = 1_000 as Instant;
const HOLD_MS = 500;
const ID = 'first' as RequestId;
const OTHER = 'other' as RequestId;

function accept(version: number): NoteAnswer {
  const receipt = {
    number: version as NoteNumber,
    revision: 1 as Revision,
    version: version as Version,
    digest: 'd' as Digest,
  };
  return { kind: 'accepted', receipt };
}

function cover(version: number, holding: number, known = 3): CoverageReport {
  const others = { version: (version - 1) as Version, count: known - holding };
  return { known, held: [others, { version: version as Version, count: holding }], stragglers: [] };
}

function startHeld(): DelayedAcknowledgements {
  const held = new DelayedAcknowledgements();
  held.addVersion(2 as Version, START);
  held.add(ID, accept(2), cover(2, 0), START);
  return held;
}

test('some proxies lack the version: held until its deadline', (t) => {
  const held = startHeld();
  t.is(held.deadline, addMs(START, HOLD_MS));
  t.deepEqual(held.removeDue(cover(2, 2), addMs(START, HOLD_MS - 1)), []);
  t.deepEqual(held.removeDue(cover(2, 2), addMs(START, HOLD_MS)), [{ id: ID, answer: accept(2) }]);
  t.deepEqual(held.removeDue(cover(2, 3), addMs(START, HOLD_MS)), []);
});

test('all proxies have it: due at once', (t) => {
  const held = startHeld();
  t.deepEqual(held.removeDue(cover(2, 3), START), [{ id: ID, answer: accept(2) }]);
  t.is(held.deadline, NEVER);
});

test('all proxies have a later version: due', (t) => {
  t.is(startHeld().removeDue(cover(3, 3), START).length, 1);
});

test('no known proxies, refused command, version committed long ago: not held', (t) => {
  const held = startHeld();
  t.false(held.add(OTHER, accept(2), cover(2, 0, 0), START));
  t.false(held.add(OTHER, { kind: 'refused', faults: [] }, cover(2, 0), START));
  t.false(held.add(OTHER, accept(1), cover(2, 0), START));
});

test('command sent again: held until the deadline of the first one', (t) => {
  const held = startHeld();
  t.true(held.add(OTHER, accept(2), cover(2, 0), addMs(START, 400)));
  t.is(held.removeDue(cover(2, 0), addMs(START, HOLD_MS)).length, 2);
  t.false(held.add(OTHER, accept(2), cover(2, 0), addMs(START, HOLD_MS)));
});

test('operator disconnects: forgotten', (t) => {
  const held = startHeld();
  held.remove(ID);
  t.deepEqual(held.removeAll(), []);
});

test('process stops: due at once, and none is delayed any more', (t) => {
  const held = startHeld();
  t.deepEqual(held.stop(), [{ id: ID, answer: accept(2) }]);
  t.false(held.add(OTHER, accept(2), cover(2, 0), START));
});
