/** Orders of roll-outs and their record: answers, races with replacements, snapshots and replay. */
import test from 'ava';
import { PlatformOperatorFront } from '../platform/platform-operator-front.js';
import type { OperatorFront } from '../src/edge/index.js';
import { DefaultOperatorFront } from '../src/edge/index.js';
import { readDistributionMessage } from '../src/edge/distribution-codec.js';
import type {
  Digest,
  Instant,
  LogIndex,
  NoteNumber,
  RequestId,
  ServerVersion,
  ServiceName,
  Term,
} from '../src/ids.js';
import type {
  NoteAnswer,
  NoteCommand,
  Replacement,
  Resource,
  RolloutOrder,
  RolloutPosition,
  RolloutResource,
} from '../src/messages/index.js';
import type { NotesIn, NotesOut, NotesState } from '../src/notes/index.js';
import {
  applyDelta,
  EMPTY_CONFIGURATION,
  isConfigurationFault,
  NotesFilter,
  NoteStore,
} from '../src/notes/index.js';
import { buildService, submit } from './note-drafts.js';

const ID = 'request' as RequestId;
const SHOP = 'shop' as ServiceName;
const [V1, V2, V3] = ['v1', 'v2', 'v3'] as ServerVersion[] as [
  ServerVersion,
  ServerVersion,
  ServerVersion,
];
const SERVICE: Resource = { kind: 'service', name: SHOP };
const OTHER: Resource = { kind: 'service', name: 'stock' as ServiceName };

function replace(number: number, base: number, resources: readonly Resource[]): Replacement {
  const text = JSON.stringify([number, base, resources]);
  return {
    number: number as NoteNumber,
    base: base === 0 ? undefined : (base as NoteNumber),
    resources,
    document: Buffer.from(text),
    digest: `digest of ${text}` as Digest,
  };
}

function apply(store: NoteStore, replacement: Replacement): NoteAnswer {
  return store.apply(store.buildReplaceCommand(replacement)).answer;
}

function order(to: ServerVersion, startedAt = 1_000, durationMs = 12_000): NoteCommand {
  return {
    kind: 'start-rollout',
    service: SHOP,
    to,
    startedAt: startedAt as Instant,
    deadline: (startedAt + durationMs) as Instant,
  };
}

function adopt(version: ServerVersion): NoteCommand {
  return { kind: 'adopt-version', service: SHOP, version, startedAt: 500 as Instant };
}

function readAt(store: NoteStore): RolloutPosition {
  const { name, order: at, step } = readRollout(store);
  return { service: name, order: at, step };
}

function step(store: NoteStore, share: number): NoteCommand {
  return { kind: 'step-rollout', at: readAt(store), share };
}

function end(store: NoteStore, state: 'completed' | 'rolled-back'): NoteCommand {
  return { kind: 'end-rollout', at: readAt(store), state, reason: 'as the test says' };
}

function readRollout(store: NoteStore): RolloutResource {
  const rollout = store.findRollout(SHOP);
  if (rollout === undefined) throw new Error('no record');
  return rollout;
}

/** Creates a store with a service whose version v1 is in use. */
function createStore(): NoteStore {
  const store = new NoteStore();
  apply(store, replace(1, 0, [SERVICE, OTHER]));
  store.apply(adopt(V1));
  return store;
}

test('order: accepted, stepped, completed', (t) => {
  const store = createStore();
  t.like(store.apply(order(V2)).answer, { kind: 'rollout', rollout: { from: V1, to: V2 } });
  t.like(readRollout(store), { state: 'running', share: 0, step: 0 });
  t.is(store.apply(end(store, 'completed')).answer.kind, 'rollout-moved', 'calls not moved yet');
  store.apply(step(store, 0.1));
  store.apply(step(store, 1));
  store.apply(end(store, 'completed'));
  t.like(readRollout(store), { state: 'completed', share: 1, to: V2, reason: 'as the test says' });
});

test('repeated order, other order: in progress', (t) => {
  const store = createStore();
  store.apply(order(V2));
  const { version } = store;
  const same = store.apply(order(V2, 9_000)).answer;
  const other = store.apply(order(V3, 9_000)).answer;
  t.like(same, { kind: 'rollout-in-progress', rollout: { to: V2 } });
  t.like(other, { kind: 'rollout-in-progress', rollout: { to: V2 } });
  t.regex(same.kind === 'rollout-in-progress' ? same.message : '', /to v2 has been accepted/);
  t.regex(other.kind === 'rollout-in-progress' ? other.message : '', /is running; wait .* v3/);
  t.is(store.version, version);
});

test('order sent again after its end: nothing starts again', (t) => {
  const store = createStore();
  store.apply(order(V2, 1_000));
  store.apply(end(store, 'rolled-back'));
  t.is(store.apply(order(V2, 4_000)).answer.kind, 'rollout-in-progress');
  t.is(readRollout(store).state, 'rolled-back');
  t.is(store.apply(order(V2, 20_000)).answer.kind, 'rollout', 'a later order is a new one');
});

test('unknown service, version in use: refused with a reason', (t) => {
  const store = createStore();
  const unknown = { ...order(V2), service: 'nowhere' as ServiceName } as NoteCommand;
  t.deepEqual(store.apply(unknown).answer, {
    kind: 'rollout-refused',
    faults: [{ place: 'service', message: 'nowhere is not a service of the configuration' }],
  });
  const inUse: NoteAnswer = {
    kind: 'rollout-refused',
    faults: [{ place: 'to', message: 'v1 is the version of shop in use' }],
  };
  t.deepEqual(store.apply(order(V1)).answer, inUse);
  store.apply(order(V2));
  store.apply(end(store, 'rolled-back'));
  t.deepEqual(store.apply(order(V1, 90_000)).answer, inUse, 'also after a roll-back');
});

test('step or end of another position: no effect', (t) => {
  const store = createStore();
  store.apply(order(V2));
  const [stale, ended] = [step(store, 0.1), end(store, 'rolled-back')];
  store.apply(step(store, 0.05));
  t.is(store.apply(stale).answer.kind, 'rollout-moved');
  t.is(store.apply(ended).answer.kind, 'rollout-moved');
  t.like(readRollout(store), { state: 'running', share: 0.05 });
  const late = step(store, 0.5);
  store.apply(end(store, 'rolled-back'));
  store.apply(order(V2, 90_000));
  t.is(store.apply(late).answer.kind, 'rollout-moved', 'a step of a former order');
  t.is(readRollout(store).share, 0);
});

test('version in use: adopted once, for services only', (t) => {
  const store = createStore();
  t.is(store.apply(adopt(V2)).answer.kind, 'rollout-moved');
  t.like(readRollout(store), { state: 'initial', to: V1 });
  const empty = new NoteStore();
  t.is(empty.apply(adopt(V1)).answer.kind, 'rollout-moved');
  t.is(empty.version, 0 as typeof empty.version);
});

test('replacement: keeps the roll-out', (t) => {
  const store = createStore();
  store.apply(order(V2));
  store.apply(step(store, 0.1));
  const before = readRollout(store);
  t.is(apply(store, replace(2, 1, [SERVICE])).kind, 'accepted');
  t.deepEqual(readRollout(store), before);
  t.is(store.apply(step(store, 0.2)).answer.kind, 'rollout', 'steps go on');
});

test('replacement overtaken by steps: accepted', (t) => {
  const store = createStore();
  store.apply(order(V2));
  const command = store.buildReplaceCommand(replace(2, 1, [SERVICE]));
  store.apply(step(store, 0.1));
  store.apply(step(store, 0.2));
  t.is(store.apply(command).answer.kind, 'accepted');
  t.is(readRollout(store).share, 0.2);
  t.is(store.apply(command).answer.kind, 'accepted', 'a resend gets its receipt');
});

test('replacement overtaken by a note and a step: refused', (t) => {
  const store = createStore();
  store.apply(order(V2));
  const command = store.buildReplaceCommand(replace(2, 1, [SERVICE]));
  store.apply(submit(7, buildService('jobs')));
  store.apply(step(store, 0.1));
  const reopened = NoteStore.open(store.buildSnapshot());
  t.is(store.apply(command).answer.kind, 'stale-base');
  t.is(reopened.apply(command).answer.kind, 'stale-base', 'also after a restart');
});

test('service withdrawn: its roll-out ends as rolled back', (t) => {
  const store = createStore();
  store.apply(order(V2));
  store.apply(step(store, 1));
  t.is(apply(store, replace(2, 1, [OTHER])).kind, 'accepted');
  t.like(readRollout(store), { state: 'rolled-back', share: 0 });
  t.regex(readRollout(store).reason ?? '', /withdrew the service/);
  t.is(store.apply(order(V3, 90_000)).answer.kind, 'rollout-refused');
  apply(store, replace(3, 2, [SERVICE]));
  t.like(readRollout(store), { state: 'rolled-back' }, 'reads never go backward');
});

test('service withdrawn without an order: adopted again later', (t) => {
  const store = createStore();
  apply(store, replace(2, 1, [OTHER]));
  t.is(store.findRollout(SHOP), undefined);
  t.notThrows(() => NoteStore.open(store.buildSnapshot()));
  apply(store, replace(3, 2, [SERVICE]));
  t.is(store.apply(adopt(V3)).answer.kind, 'rollout');
});

test('snapshot: keeps records, and has no field without them', (t) => {
  const store = createStore();
  store.apply(order(V2));
  store.apply(step(store, 0.1));
  const reopened = NoteStore.open(store.buildSnapshot());
  t.deepEqual(readRollout(reopened), readRollout(store));
  t.deepEqual(reopened.apply(step(store, 0.3)), store.apply(step(store, 0.3)));
  t.is(reopened.digest, store.digest);
  const plain = new NoteStore();
  apply(plain, replace(1, 0, [SERVICE]));
  t.false('rollouts' in plain.buildSnapshot());
});

test('replay: proxies and replicas reach the same digest', (t) => {
  const [store, replica] = [new NoteStore(), new NoteStore()];
  let configuration = EMPTY_CONFIGURATION;
  const run = (command: NoteCommand) => {
    const { delta } = store.apply(command);
    replica.apply(structuredClone(command));
    if (delta === undefined) return;
    const spans = [{ ...delta, after: configuration.version }];
    const mark = { version: delta.version, digest: delta.digest };
    const message = readDistributionMessage({ kind: 'push', spans, newest: mark });
    const changes = message?.kind === 'push' ? (message.spans[0]?.changes ?? []) : [];
    const next = applyDelta(configuration, { ...delta, changes });
    if (isConfigurationFault(next)) throw new Error(JSON.stringify(next));
    configuration = next;
  };
  run(store.buildReplaceCommand(replace(1, 0, [SERVICE, OTHER])));
  run(adopt(V1));
  run(order(V2));
  run(step(store, 0.25));
  run(store.buildReplaceCommand(replace(2, 1, [SERVICE])));
  run(step(store, 1));
  run(end(store, 'completed'));
  run(store.buildReplaceCommand(replace(3, 2, [])));
  t.is(replica.digest, store.digest);
  t.deepEqual(replica.buildSnapshot().rollouts, store.buildSnapshot().rollouts);
  t.deepEqual(configuration.resources.get('rollout/shop' as never), readRollout(store));
});

/** Drives one notes filter. */
class Driver {
  readonly #filter: NotesFilter;
  #state: NotesState;
  #index = 0;
  now = 1_000 as Instant;

  constructor(hasRollouts = true) {
    this.#filter = new NotesFilter({ hasRollouts });
    this.#state = this.#filter.createState();
    this.commit(new NoteStore().buildReplaceCommand(replace(1, 0, [SERVICE])));
  }

  send(message: NotesIn): NotesOut[] {
    const next = this.#filter.decide(this.#state, message, this.now);
    this.#state = next.state;
    return next.outputs.filter((output) => output.kind !== 'report');
  }

  order(fields: Partial<RolloutOrder> = {}): NotesOut[] {
    const full = { service: SHOP, to: V2, durationMs: 12_000, ...fields };
    return this.send({ kind: 'order', id: ID, order: full });
  }

  confirm(): NotesOut[] {
    return this.send({ kind: 'log', notice: { kind: 'confirmed', id: ID } });
  }

  commit(command: NoteCommand, id?: RequestId): NotesOut[] {
    this.#index += 1;
    const [index, term] = [this.#index as LogIndex, 1 as Term];
    return this.send({ kind: 'log', notice: { kind: 'committed', index, term, command, id } });
  }

  /** Sends an order and commits what it proposes. */
  start(fields: Partial<RolloutOrder> = {}): NotesOut[] {
    const [output] = this.order(fields);
    if (output?.kind !== 'log' || output.request.kind !== 'propose') return [];
    return this.commit(output.request.command, ID);
  }
}

test('order: proposed with its deadline, answered at the commit', (t) => {
  const driver = new Driver();
  const command = { kind: 'start-rollout', startedAt: 1_000, deadline: 13_000 };
  t.like(driver.order(), [{ kind: 'log', request: { kind: 'propose', command } }]);
  t.like(driver.start(), [{ kind: 'version' }, { kind: 'answer', answer: { kind: 'rollout' } }]);
});

test('two orders at once: the second learns of the first', (t) => {
  const driver = new Driver();
  const second = driver.order({ to: V3 })[0];
  driver.start();
  if (second?.kind !== 'log' || second.request.kind !== 'propose') throw new Error('not proposed');
  t.like(driver.commit(second.request.command, ID), [
    { kind: 'answer', answer: { kind: 'rollout-in-progress', rollout: { to: V2 } } },
  ]);
});

test('order that is refused: only after a confirmation', (t) => {
  const driver = new Driver();
  driver.start();
  t.like(driver.order(), [{ kind: 'log', request: { kind: 'confirm' } }]);
  t.like(driver.confirm(), [{ kind: 'answer', answer: { kind: 'rollout-in-progress' } }]);
});

test('duration of zero, below it, above a day or not a number: refused', (t) => {
  for (const durationMs of [0, -1, 86_400_001, Number.NaN, Number.POSITIVE_INFINITY]) {
    t.like(new Driver().order({ durationMs }), [
      { kind: 'answer', answer: { kind: 'rollout-refused', faults: [{ place: 'duration' }] } },
    ]);
  }
  t.like(new Driver().order({ durationMs: 86_400_000 }), [{ kind: 'log' }]);
});

test('read: after a confirmation, unknown before the first order', (t) => {
  const driver = new Driver();
  const ask = () =>
    driver.send({ kind: 'question', id: ID, question: { kind: 'rollout', service: SHOP } });
  driver.commit(adopt(V1));
  t.like(ask(), [{ kind: 'log', request: { kind: 'confirm' } }]);
  t.like(driver.confirm(), [{ kind: 'rollout', rollout: undefined }]);
  ask();
  driver.start();
  t.like(driver.confirm(), [{ kind: 'rollout', rollout: { state: 'running', from: V1, to: V2 } }]);
});

test('settings without roll-outs: orders and reads are refused', (t) => {
  const driver = new Driver(false);
  const question = { kind: 'rollout', service: SHOP } as const;
  const off = [{ kind: 'answer', answer: { kind: 'rollouts-off' } }] as const;
  t.like(driver.order(), off);
  t.like(driver.send({ kind: 'question', id: ID, question }), off);
});

const CONTEXT = { url: '/', findOperator: () => undefined };

/** Sends a request through a front to a notes filter, and returns the HTTP answer. */
function request(front: OperatorFront, driver: Driver, url: string, body?: object) {
  const method = body === undefined ? 'GET' : 'POST';
  const text = body === undefined ? '' : JSON.stringify(body);
  const read = front.readRequest({ method, url, format: 'json', body: text });
  if (!read.ok) return read.error;
  if (read.value.kind === 'order') {
    const sent = driver.order(read.value.order);
    const [first] = sent;
    const isProposed = first?.kind === 'log' && first.request.kind === 'propose';
    const replies = isProposed ? driver.start(read.value.order) : [...sent, ...driver.confirm()];
    return buildAnswer(front, replies);
  }
  if (read.value.kind !== 'rollout') throw new Error(read.value.kind);
  const asked = driver.send({ kind: 'question', id: ID, question: read.value });
  return buildAnswer(front, [...asked, ...driver.confirm()]);
}

function buildAnswer(front: OperatorFront, outputs: readonly NotesOut[]) {
  const reply = outputs.find(({ kind }) => kind === 'answer' || kind === 'rollout');
  if (reply?.kind !== 'answer' && reply?.kind !== 'rollout') throw new Error('no answer');
  return front.buildAnswer(reply, CONTEXT);
}

test('platform: statuses and bodies of orders and reads', (t) => {
  const [front, driver] = [new PlatformOperatorFront(), new Driver()];
  const body = { service: 'shop', targetVersion: 'v2', durationS: 12 };
  const send = (fields: object) =>
    request(front, driver, '/rollouts/start', { ...body, ...fields }).status;
  const running = { status: 200, body: { state: 'running', targetVersion: 'v2' } };
  t.is(request(front, driver, '/rollouts/shop/get').status, 404);
  t.is(send({ service: 'nowhere' }), 400);
  t.is(send({ durationS: 0 }), 400);
  t.is(send({ durationS: 86_401 }), 400);
  t.is(send({ durationS: 'long' }), 400);
  t.is(send({ targetVersion: '' }), 400);
  t.is(send({ service: undefined }), 400);
  t.deepEqual(request(front, driver, '/rollouts/start', body), running);
  t.deepEqual(request(front, driver, '/rollouts/shop/get'), running);
  t.is(send({}), 409);
  t.is(send({ targetVersion: 'v3' }), 409);
  t.is(request(front, new Driver(false), '/rollouts/start', body).status, 404);
  const rollout = { ...readRolloutOf(driver), state: 'rolled-back' } as RolloutResource;
  const read = front.buildAnswer({ kind: 'rollout', id: ID, service: SHOP, rollout }, CONTEXT);
  t.like(read, { status: 200, body: { state: 'rolled_back', targetVersion: 'v2' } });
});

function readRolloutOf(driver: Driver): RolloutResource {
  driver.send({ kind: 'question', id: ID, question: { kind: 'rollout', service: SHOP } });
  const [output] = driver.confirm();
  if (output?.kind !== 'rollout' || output.rollout === undefined) throw new Error('no record');
  return output.rollout;
}

test('own front: statuses of orders and reads', (t) => {
  const [front, driver] = [new DefaultOperatorFront('secret'), new Driver()];
  const body = { version: 'v2', duration_ms: 12_000 };
  t.is(request(front, driver, '/rollouts/shop').status, 404);
  t.is(request(front, driver, '/rollouts/nowhere', body).status, 400);
  t.is(request(front, driver, '/rollouts/shop', { ...body, duration_ms: 0 }).status, 400);
  t.is(request(front, driver, '/rollouts/shop', { version: 'v2' }).status, 422);
  t.is(request(front, driver, '/rollouts/%20', body).status, 400);
  t.is(request(front, driver, '/rollouts/shop', body).status, 200);
  t.like(request(front, driver, '/rollouts/shop'), { status: 200, body: { state: 'running' } });
  t.is(request(front, driver, '/rollouts/shop', body).status, 409);
});
