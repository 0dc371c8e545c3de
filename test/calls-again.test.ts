/** The reports of ended attempts and of calls that were sent again. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { request } from 'undici';
import { waitFor } from '../bench/mesh.js';
import { PlatformCallFront } from '../platform/platform-call-front.js';
import { AttemptFilter } from '../src/calls/attempt-filter.js';
import type { AttemptIn, AttemptOut } from '../src/calls/attempt-messages.js';
import type { AttemptEnd, ObservedCall, RunEnding, SentAgain } from '../src/calls/index.js';
import { CallObserver, TwoChoicesPicker } from '../src/calls/index.js';
import { addMs } from '../src/clock.js';
import { AttemptReport } from '../src/edge/attempt-report.js';
import type {
  Address,
  AttemptId,
  DataCentreId,
  HostId,
  RegionId,
  ServiceName,
  Version,
} from '../src/ids.js';
import type { RefusalOutcome, RequestKindResource } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { CallMesh } from './call-mesh.js';
import {
  makeHead,
  makeKind,
  makeMember,
  makeRoute,
  makeServer,
  makeConfiguration,
  START,
} from './call-resources.js';
import type { RequestHandler } from './test-server.js';

const NOW = addMs(START, 60_000);

/** Opens a call `c` with two servers, ends its attempt with `end`, and lists the reports of calls sent again. */
function listRetries(kind: Partial<RequestKindResource>, end: AttemptIn): SentAgain[] {
  const filter = new AttemptFilter({
    place: {
      host: 'entry' as HostId,
      dataCentre: 'a' as DataCentreId,
      region: 'hu-central' as RegionId,
    },
    picker: new TwoChoicesPicker(new SeededRandom(1)),
  });
  const state = filter.createState();
  const post = (message: AttemptIn): readonly AttemptOut[] =>
    filter.decide(state, message, NOW).outputs;
  for (const index of [0, 1]) {
    const server = makeServer(`10.0.0.${index}:1`);
    post({ kind: 'member-up', member: makeMember(`host-${index}`, [server]) });
  }
  const requestKind = makeKind('k', { timeoutMs: 1e6, ...kind });
  const deadline = addMs(NOW, requestKind.timeoutMs);
  const service = 'shop' as ServiceName;
  const version = 3 as Version;
  const call = {
    head: makeHead('c'),
    version,
    service,
    requestKind,
    worth: 1,
    deadline,
    subject: 'c',
  };
  post({ kind: 'claimed', call });
  return post(end).flatMap((output) => (output.kind === 'sent-again' ? [output] : []));
}

const attempt = 'c.0' as AttemptId;

test('sent again: reason and servers', (t) => {
  const failure = { outcome: 'not-run', reason: 'shed' } as const;
  const [again, ...others] = listRetries(
    { idempotent: false },
    { kind: 'attempt-failed', attempt, failure },
  );
  t.deepEqual(others, []);
  t.like(again, { attempt: 2, reason: 'shed', outcome: 'not-run', isIdempotent: false });
  t.deepEqual([again?.from, again?.to].sort(), ['10.0.0.0:1', '10.0.0.1:1']);
});

test('sent again: no free slot', (t) => {
  const failure = { outcome: 'not-run', reason: 'busy' } as const;
  const [again] = listRetries({}, { kind: 'attempt-failed', attempt, failure });
  t.like(again, { attempt: 2, reason: 'busy', outcome: 'not-run', isIdempotent: true });
});

test('sent again: status 500', (t) => {
  const answer = { kind: 'answer-started', attempt, status: 500, load: undefined } as const;
  const [again] = listRetries({}, answer);
  t.like(again, { reason: 'server-error', outcome: 'unknown', isIdempotent: true });
});

test('not sent again: may have run', (t) => {
  const failure = { outcome: 'unknown', reason: 'upstream-failed' } as const;
  const end = { kind: 'attempt-failed', attempt, failure } as const;
  t.deepEqual(listRetries({ idempotent: false }, end), []);
});

/** Records events. */
class Recorder extends CallObserver {
  readonly ends: AttemptEnd[] = [];
  readonly again: (readonly [request: string | undefined, again: SentAgain])[] = [];

  override endAttempt(end: AttemptEnd): void {
    this.ends.push(end);
  }

  override sendAgain(call: ObservedCall | undefined, again: SentAgain): void {
    this.again.push([call?.requestId, again]);
  }

  /** Lists the ends of local attempts, or those of forwarded attempts at the entry proxy. */
  listEnds(isLocal: boolean): string[] {
    const ends = this.ends.filter((end) => end.isLocal === isLocal);
    return ends.map((end) => `${end.attempt} ${end.outcome} ${end.proof}`);
  }
}

/** Makes a call that is not idempotent through a proxy without a backend server. */
async function callOnce(
  t: ExecutionContext,
  answers: readonly RequestHandler[],
): Promise<Recorder> {
  const observer = new Recorder();
  const mesh = await CallMesh.start({
    configuration: makeConfiguration(
      makeKind('unsafe', { idempotent: false, timeoutMs: 10_000 }),
      makeRoute('/book/', 'unsafe', { host: 'shop.example' }),
    ),
    answers: [undefined, ...answers],
    front: new PlatformCallFront(),
    observer,
  });
  t.teardown(() => mesh.stop());
  const headers = { host: 'shop.example', 'x-attempt-id': 'a-1' };
  const url = `http://${mesh.at(0).calls}/book/x`;
  const { body } = await request(url, { method: 'POST', headers });
  await body.text();
  await waitFor('the end of the attempts', () => {
    const local = observer.ends.filter((end) => end.isLocal);
    return local.length >= answers.length || undefined;
  });
  return observer;
}

function shed(incoming: IncomingMessage, response: ServerResponse): void {
  incoming.resume();
  const id = incoming.headers['x-attempt-id'] ?? '';
  response.writeHead(503, { 'X-Not-Executed': '1', 'X-Attempt-Id': id }).end();
}

test('proof: answer with the request id', async (t) => {
  const observer = await callOnce(t, [shed]);
  t.deepEqual(observer.listEnds(true), ['1 not-run marked-answer']);
  t.deepEqual(observer.listEnds(false), ['1 not-run guard-answer']);
});

test('proof: none for a broken connection', async (t) => {
  const observer = await callOnce(t, [(incoming) => incoming.socket.destroy()]);
  t.deepEqual(observer.listEnds(true), ['1 unknown none']);
  t.deepEqual(observer.listEnds(false), ['1 unknown guard-answer']);
});

test('same request id at the entry proxy and the guards', async (t) => {
  const observer = await callOnce(t, [shed, shed]);
  t.deepEqual(observer.listEnds(true), ['1 not-run marked-answer', '2 not-run marked-answer']);
  t.deepEqual(new Set(observer.ends.map((end) => end.request)), new Set(['a-1']));
  t.deepEqual(
    observer.again.map(([id, { attempt: number, reason }]) => [id, number, reason]),
    [['a-1', 2, 'shed']],
  );
});

const SERVER = '10.0.0.1:80' as Address;
const LOCAL = {
  server: SERVER,
  request: 'a-1',
  version: 3 as Version,
  attempt: 1,
  isLocal: true,
  startedAt: NOW,
};

function findProof(report: AttemptReport, ending: RunEnding, outcome: RefusalOutcome) {
  const failure = { outcome, reason: 'upstream-failed' } as const;
  return report.handle({ kind: 'attempt-failed', attempt, failure, ending }, NOW)?.proof;
}

test('proof: answer without a request id', (t) => {
  const report = new AttemptReport(LOCAL);
  report.handleHead(false);
  report.handleEnd(503, undefined);
  t.is(findProof(report, 'shed', 'not-run'), 'unmarked-answer');
});

test('proof: nothing was sent', (t) => {
  const refused = new AttemptReport(LOCAL);
  refused.handleEnd(undefined, 'connect ECONNREFUSED');
  t.is(findProof(refused, 'not-sent', 'not-run'), 'nothing-sent');
  const late = new AttemptReport(LOCAL);
  late.handleUnsent();
  t.is(findProof(late, 'cancelled', 'not-run'), 'nothing-sent');
});

test('proof: none for an incomplete answer', (t) => {
  const report = new AttemptReport({ ...LOCAL, isLocal: false });
  report.handle({ kind: 'answer-started', attempt, status: 200, load: undefined }, NOW);
  report.handleEnd(200, undefined);
  t.is(findProof(report, 'answered', 'unknown'), 'none');
});

test('proof: cancelled before it was sent', (t) => {
  const report = new AttemptReport({ ...LOCAL, isLocal: false });
  report.handleEnd(undefined, 'withdrawn');
  t.is(findProof(report, 'cancelled', 'not-run'), 'nothing-sent');
});

test('proof: incomplete refusal of a guard', (t) => {
  const report = new AttemptReport({ ...LOCAL, isLocal: false });
  report.handleEnd(503, 'read ECONNRESET');
  t.is(findProof(report, 'answered', 'not-run'), 'guard-answer');
});
