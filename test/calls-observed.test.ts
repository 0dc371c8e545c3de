/** The observations of forwarded attempts that a guard reports to the membership. */
import test from 'ava';
import { addMs } from '../src/clock.js';
import {
  CallPipe,
  buildForwardedAttempt,
  TwoChoicesPicker,
  PrioritySlotPolicy,
} from '../src/calls/index.js';
import type { CallIn, CallOut, RunEnding } from '../src/calls/index.js';
import type {
  Address,
  CallId,
  DataCentreId,
  HostId,
  Instant,
  RegionId,
  RequestKindName,
} from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import { makeMember, makeServer } from './call-resources.js';

const NOW = 1_000_000 as Instant;
const HOST = 'guard' as HostId;
const SERVER = '127.0.0.1:9000' as Address;

/** Runs forwarded attempts with the given endings, and lists the observations. */
function listObservations(endings: readonly RunEnding[]): string[] {
  const pipe = new CallPipe({
    place: { host: HOST, dataCentre: 'a' as DataCentreId, region: 'r' as RegionId },
    picker: new TwoChoicesPicker(new SeededRandom(1)),
    createPolicy: () => new PrioritySlotPolicy(),
  });
  let state = pipe.createState();
  const outputs: CallOut[] = [];
  const post = (message: CallIn): void => {
    const step = pipe.decide(state, message, NOW);
    state = step.state;
    outputs.push(...step.outputs);
  };
  post({ kind: 'member-up', member: makeMember(HOST, [makeServer(SERVER)]) });
  endings.forEach((ending, index) => {
    const id = `call-${index}` as CallId;
    const attempt = buildForwardedAttempt(id);
    const head = {
      attempt,
      server: SERVER,
      requestKind: 'read' as RequestKindName,
      worth: 1,
      deadline: addMs(NOW, 60_000),
      subject: id,
      suspect: false,
    };
    post({ kind: 'forwarded', id, head, count: 1 });
    post({ kind: 'turn' });
    if (ending === 'answered') post({ kind: 'answer-complete', attempt, answer: undefined });
    else {
      const failure = { reason: 'upstream-failed', outcome: 'unknown', message: ending } as const;
      post({ kind: 'attempt-failed', attempt, failure, ending });
    }
  });
  return outputs.flatMap((output) =>
    output.kind === 'observed' ? [`${output.host} ${output.outcome}`] : [],
  );
}

test('failures are reported', (t) => {
  t.deepEqual(listObservations(['not-sent', 'not-sent']), ['guard failed', 'guard failed']);
});

test('first answer after a failure is reported', (t) => {
  t.deepEqual(listObservations(['not-sent', 'answered', 'answered']), [
    'guard failed',
    'guard answered',
  ]);
});

test('cancellation is not a failure', (t) => {
  t.deepEqual(listObservations(['cancelled', 'answered']), []);
});
