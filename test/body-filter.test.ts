/** Attempts with large bodies in the call pipe of their guard, without sockets. */
import test from 'ava';
import type { CallIn, CallOut } from '../src/calls/index.js';
import {
  buildForwardedAttempt,
  CallPipe,
  PrioritySlotPolicy,
  TwoChoicesPicker,
} from '../src/calls/index.js';
import { addMs } from '../src/clock.js';
import type {
  Address,
  AttemptId,
  CallId,
  DataCentreId,
  HostId,
  Instant,
  RegionId,
  RequestKindName,
} from '../src/ids.js';
import type { Announcement, AttemptHead } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { makeMember, makeServer, START } from './call-resources.js';

const SERVER = '10.0.0.1:80' as Address;
const LINK = 525_000;
const BYTES = 60_000;
const NOW = addMs(START, 60_000);

/** Drives the pipe of a guard with one server. */
class PipeDriver {
  readonly #pipe = new CallPipe({
    place: {
      host: 'guard' as HostId,
      dataCentre: 'a' as DataCentreId,
      region: 'hu-central' as RegionId,
    },
    picker: new TwoChoicesPicker(new SeededRandom(1)),
    createPolicy: () => new PrioritySlotPolicy(),
    linkBytesPerSecond: LINK,
  });
  readonly #state = this.#pipe.createState();

  constructor(server: Partial<Announcement> = {}) {
    const servers = [makeServer(SERVER, { slots: 1, ...server })];
    this.post({ kind: 'member-up', member: makeMember('guard', servers) }, START);
  }

  post(message: CallIn, now: Instant = NOW): CallOut[] {
    return [...this.#pipe.decide(this.#state, message, now).outputs];
  }

  /** Posts a message and returns what happened to which call. */
  list(message: CallIn, now?: Instant): string[] {
    return this.post(message, now).flatMap((output) => {
      if (output.kind === 'refuse') return [`${output.id} ${output.reason} ${output.outcome}`];
      if (output.kind === 'grant-body') return [`${output.id} granted`];
      return output.kind === 'run' ? [`${output.id} run`] : [];
    });
  }

  /** Forwards an attempt, which asks for the permission to send a body of `bodyBytes` if given. */
  forward(name: string, bodyBytes?: number, fields: Partial<AttemptHead> = {}): string[] {
    const id = name as CallId;
    const head: AttemptHead = {
      attempt: buildForwardedAttempt(id),
      server: SERVER,
      requestKind: 'upload' as RequestKindName,
      worth: 1,
      deadline: addMs(NOW, 2_000),
      subject: name,
      suspect: false,
      ...fields,
    };
    const asked = bodyBytes === undefined ? {} : { bodyBytes };
    this.post({ kind: 'forwarded', id, head, count: 1, ...asked });
    return this.list({ kind: 'turn' });
  }
}

function makeId(name: string): AttemptId {
  return buildForwardedAttempt(name as CallId);
}

test('an upload gets a slot when its body is here; a call without a body does not wait for it', (t) => {
  const pipe = new PipeDriver();
  t.deepEqual(pipe.forward('upload', BYTES), ['upload granted']);
  t.deepEqual(pipe.forward('small'), ['small run']);
  t.deepEqual(pipe.list({ kind: 'body-ready', attempt: makeId('upload') }), []);
  const answer = { kind: 'answer-complete', attempt: makeId('small'), answer: undefined } as const;
  t.deepEqual(pipe.list(answer), ['upload run']);
});

test('a guard that would not take the attempt refuses before the body is sent', (t) => {
  const stopped = new PipeDriver({ state: 'draining' });
  t.deepEqual(stopped.forward('upload', BYTES), ['upload draining not-run']);
  const busy = new PipeDriver();
  busy.forward('small');
  t.deepEqual(busy.forward('upload', BYTES, { onlyIfFree: true }), ['upload busy not-run']);
});

test('a busy link: the refusal reports the bodies as load', (t) => {
  const pipe = new PipeDriver();
  pipe.forward('first', BYTES);
  pipe.forward('second', BYTES);
  const declinable = { onlyIfFree: true, deadline: addMs(NOW, 1_000) };
  t.deepEqual(pipe.forward('third', BYTES, declinable), ['third busy not-run']);
  pipe.post({ kind: 'body-ready', attempt: makeId('first') });
  const attempt = makeId('first');
  const outputs = pipe.post({ kind: 'answer-started', attempt, status: 200, load: undefined });
  t.like(outputs[0], { kind: 'relay', load: { running: 0, waiting: 2 } });
});

test('a body that cannot arrive in time is refused at once', (t) => {
  const pipe = new PipeDriver();
  pipe.forward('first', BYTES);
  const deadline = addMs(NOW, 250);
  t.deepEqual(pipe.forward('late', BYTES, { deadline }), ['late overloaded not-run']);
});

test('a body that stalls is refused at its deadline, and what comes later is ignored', (t) => {
  const pipe = new PipeDriver();
  pipe.forward('first', BYTES);
  t.deepEqual(pipe.list({ kind: 'tick' }, addMs(NOW, 700)), []);
  t.deepEqual(pipe.list({ kind: 'tick' }, addMs(NOW, 900)), ['first deadline not-run']);
  t.deepEqual(pipe.list({ kind: 'body-ready', attempt: makeId('first') }, addMs(NOW, 901)), []);
});

test('an entry proxy that leaves frees its place', (t) => {
  const pipe = new PipeDriver();
  pipe.forward('first', BYTES);
  t.deepEqual(pipe.forward('second', BYTES), []);
  t.deepEqual(pipe.list({ kind: 'gone', id: 'first' as CallId }), ['second granted']);
});

test('the time of the body is no part of the round trip', (t) => {
  const pipe = new PipeDriver();
  for (const name of ['first', 'second']) {
    pipe.forward(name, BYTES);
    pipe.post({ kind: 'body-ready', attempt: makeId(name) }, addMs(NOW, 200));
    pipe.post({ kind: 'body-complete', attempt: makeId(name) }, addMs(NOW, 200));
    const started = { kind: 'answer-started', attempt: makeId(name), status: 200 } as const;
    const [output] = pipe.post({ ...started, load: undefined }, addMs(NOW, 300));
    if (name === 'second') t.like(output, { load: { heldMs: 300, runMs: 100 } });
    const complete = { kind: 'answer-complete', attempt: makeId(name), answer: undefined } as const;
    pipe.post(complete, addMs(NOW, 300));
    pipe.post({ kind: 'gone', id: name as CallId }, addMs(NOW, 300));
  }
});

test('a stop: waiting bodies are refused, and bodies are not sent past its end', (t) => {
  const pipe = new PipeDriver();
  pipe.forward('first', BYTES);
  pipe.forward('second', BYTES);
  const answerBy = addMs(NOW, 250);
  t.deepEqual(pipe.list({ kind: 'stopping', answerBy }), ['second overloaded not-run']);
  pipe.forward('third', 10_000);
  t.deepEqual(pipe.list({ kind: 'drain' }), ['third draining not-run']);
  t.deepEqual(pipe.forward('fourth', BYTES), ['fourth draining not-run']);
});
