/** The evidence that a proxy counts and sends, without a network. */
import test from 'ava';
import { addMs } from '../src/clock.js';
import { encodeRolloutMessage, readRolloutMessage } from '../src/edge/index.js';
import type {
  Address,
  HostId,
  Instant,
  RequestKindName,
  ServerVersion,
  Version,
} from '../src/ids.js';
import type { RolloutResource, RunCounts } from '../src/messages/index.js';
import type { EvidenceIn, EvidenceOut, RunOver } from '../src/rollouts/index.js';
import { EvidenceFilter, findBucket, TURN_MS } from '../src/rollouts/index.js';
import { makeConfiguration, makeMember, makeServer, START } from './call-resources.js';

const HOST = 'proxy-0' as HostId;
const OLD = '10.0.0.1:1' as Address;
const FRESH = '10.0.0.1:2' as Address;
const KIND = 'read' as RequestKindName;
const SOURCES = ['10.1.0.1:1', '10.1.0.2:1'] as Address[];

const ROLLOUT: RolloutResource = {
  kind: 'rollout',
  name: makeServer(OLD).service,
  state: 'running',
  from: 'v1' as ServerVersion,
  to: 'v2' as ServerVersion,
  share: 0.1,
  order: 3 as Version,
  step: 1,
  startedAt: START,
  deadline: addMs(START, 12_000),
};

class Driver {
  readonly #filter = new EvidenceFilter(HOST, 5_000);
  readonly #state = this.#filter.createState();
  now: Instant = addMs(START, 20_000);

  constructor() {
    const servers = [
      makeServer(OLD, { version: 'v1' as ServerVersion, warmAt: START }),
      makeServer(FRESH, { version: 'v2' as ServerVersion, warmAt: addMs(this.now, 1_000) }),
    ];
    this.post({ kind: 'member-up', member: makeMember(HOST, servers) });
    for (const [index, control] of SOURCES.entries()) {
      const member = makeMember(`source-${index}`, [], { control, isSource: true });
      this.post({ kind: 'member-up', member });
    }
    this.post({ kind: 'whole', configuration: makeConfiguration(ROLLOUT) });
  }

  post(message: EvidenceIn): readonly EvidenceOut[] {
    return this.#filter.decide(this.#state, message, this.now).outputs;
  }

  run(server: Address, result: RunOver['result'], ms: number): void {
    this.post({ kind: 'run-begun', server, requestKind: KIND });
    const startedAt = this.now;
    this.now = addMs(this.now, ms);
    this.post({ kind: 'run-over', server, requestKind: KIND, startedAt, result });
  }

  /** Sends the reports of one turn; returns their addresses, and the counts by server. */
  report(): { to: Address[]; counts: Map<Address, RunCounts>; running: number } {
    this.now = addMs(this.now, TURN_MS);
    const sent = this.post({ kind: 'tick' }).filter((output) => output.kind === 'send');
    const body = sent[0]?.body;
    const read = body === undefined ? undefined : readRolloutMessage(encodeRolloutMessage(body));
    const evidence = read?.kind === 'evidence' ? read.rollouts[0] : undefined;
    return {
      to: sent.map(({ to }) => to),
      counts: new Map((evidence?.counts ?? []).map((one) => [one.server, one])),
      running: evidence?.runningInUse ?? -1,
    };
  }
}

test('runs: totals by server, without run times of failures and of cold servers', (t) => {
  const driver = new Driver();
  driver.run(FRESH, 'answered', 300);
  driver.run(OLD, 'answered', 40);
  driver.run(OLD, 'failed', 1);
  driver.run(OLD, 'ignored', 1);
  driver.post({ kind: 'run-begun', server: OLD, requestKind: KIND });
  const { counts, running } = driver.report();
  t.is(running, 1);
  t.like(counts.get(OLD), { isOrdered: false, begun: 4, ended: 2, failed: 1 });
  t.is(counts.get(OLD)?.runTimes[findBucket(40)], 1);
  t.like(counts.get(FRESH), { isOrdered: true, begun: 1, ended: 1, failed: 0 });
  t.true(counts.get(FRESH)?.runTimes.every((runs) => runs === 0));
  driver.now = addMs(driver.now, 1_000);
  driver.run(FRESH, 'timed-out', 700);
  t.is(driver.report().counts.get(FRESH)?.runTimes[findBucket(700)], 1);
});

test('reports: to all sources, or what has changed to the leader that hears them', (t) => {
  const driver = new Driver();
  t.deepEqual(driver.report().to, SOURCES);
  const [leader = OLD] = SOURCES;
  const heard = driver.post({ kind: 'received', address: leader, body: { kind: 'heard' } });
  t.like(heard, [{ kind: 'leader-heard', until: addMs(driver.now, 1_500) }]);
  driver.run(OLD, 'answered', 10);
  const second = driver.report();
  t.deepEqual([second.to, second.counts.size], [[leader], 1]);
  t.is(driver.report().counts.size, 0, 'nothing has changed');
  const full = driver.report();
  t.deepEqual([full.to, full.counts.size], [SOURCES, 1], 'everything once a second');
});

test('no roll-out: nothing is counted or sent', (t) => {
  const driver = new Driver();
  const ended: RolloutResource = { ...ROLLOUT, state: 'completed', share: 1 };
  driver.post({ kind: 'whole', configuration: makeConfiguration(ended) });
  driver.run(OLD, 'answered', 10);
  t.deepEqual(driver.report().to, []);
});

test('malformed messages: rejected', (t) => {
  for (const body of [
    undefined,
    {},
    [],
    [2],
    [0],
    [0, [['shop']]],
    [1, []],
    [0, [['shop', 1, 1, -1, []]]],
  ])
    t.is(readRolloutMessage(body), undefined);
  t.deepEqual(readRolloutMessage([1]), { kind: 'heard' });
});
