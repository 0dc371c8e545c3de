/** The leader of roll-outs: adoption, steps, a change of the leader, and what it hears, without a network. */
import test from 'ava';
import { addMs } from '../src/clock.js';
import type {
  Address,
  Digest,
  HostId,
  Instant,
  ServerVersion,
  ServiceName,
  Version,
} from '../src/ids.js';
import type { Change, RolloutCommand, RolloutResource } from '../src/messages/index.js';
import type { RolloutIn, RolloutOut } from '../src/rollouts/index.js';
import { RolloutFilter, TURN_MS } from '../src/rollouts/index.js';
import { makeMember, makeServer, START } from './call-resources.js';

const SHOP = 'shop' as ServiceName;
const PROXY = 'proxy-0' as HostId;
const SERVICE: Change = { op: 'put', resource: { kind: 'service', name: SHOP } };

/** Drives the filter of one source; commands are committed by the test. */
class Source {
  readonly #filter = new RolloutFilter({ share: 0.1, slack: 50 }, 5_000);
  readonly #state = this.#filter.createState();
  now: Instant = START;

  post(message: RolloutIn): readonly RolloutOut[] {
    return this.#filter.decide(this.#state, message, this.now).outputs;
  }

  apply(...changes: Change[]): void {
    const delta = { version: 1 as Version, changes, digest: 'd' as Digest };
    this.post({ kind: 'version', delta });
  }

  addServers(...versions: string[]): void {
    const servers = versions.map((version, index) =>
      makeServer(`10.0.0.1:${index + 1}`, { version: version as ServerVersion }),
    );
    this.post({ kind: 'member-up', member: makeMember(PROXY, servers) });
  }

  report(rollout: RolloutResource, from = PROXY): readonly RolloutOut[] {
    const { name: service, order, step } = rollout;
    const rollouts = [{ service, order, step, runningInUse: 0, counts: [] }];
    const address = '10.0.0.1:9' as Address;
    return this.post({
      kind: 'received',
      from,
      address,
      body: { kind: 'evidence', rollouts },
    });
  }

  /** Lets time pass by turns; returns the first command that is proposed. */
  waitForCommand(ms: number): RolloutCommand | undefined {
    for (const end = addMs(this.now, ms); this.now < end;) {
      this.now = addMs(this.now, TURN_MS);
      const output = this.post({ kind: 'tick' }).find(({ kind }) => kind === 'propose');
      if (output?.kind === 'propose') return output.command;
    }
    return undefined;
  }
}

function makeRollout(fields: Partial<RolloutResource> = {}): RolloutResource {
  return {
    kind: 'rollout',
    name: SHOP,
    state: 'running',
    from: 'v1' as ServerVersion,
    to: 'v2' as ServerVersion,
    share: 0,
    order: 3 as Version,
    step: 0,
    startedAt: START,
    deadline: addMs(START, 12_000),
    ...fields,
  };
}

function put(rollout: RolloutResource): Change {
  return { op: 'put', resource: rollout };
}

test('service without a record: its version is adopted by the leader only', (t) => {
  const source = new Source();
  source.apply(SERVICE);
  source.addServers('v1', 'v1', 'v2');
  t.is(source.waitForCommand(1_000), undefined);
  source.post({ kind: 'leading', leading: true });
  t.like(source.waitForCommand(1_000), { kind: 'adopt-version', version: 'v1' });
  source.apply(put(makeRollout({ state: 'initial', to: 'v1' as ServerVersion })));
  t.is(source.waitForCommand(1_000), undefined);
});

test('change of the leader: the new one goes on from the record', (t) => {
  const source = new Source();
  const rollout = makeRollout({ share: 0.2, step: 2 });
  source.apply(SERVICE, put(rollout));
  source.addServers('v1', 'v2');
  source.now = addMs(START, 8_500);
  source.post({ kind: 'leading', leading: true });
  const next = source.waitForCommand(1_000);
  t.like(next, { kind: 'step-rollout', at: { order: 3, step: 2 } });
  source.apply(put({ ...rollout, share: 1, step: 3 }));
  source.report({ ...rollout, step: 3 });
  t.is(source.waitForCommand(TURN_MS), undefined, 'calls may be on their way to old servers');
  source.report({ ...rollout, step: 3 });
  t.like(source.waitForCommand(1_000), { kind: 'end-rollout', state: 'completed' });
});

// Guards against a leader that has just started and ends a roll-out by the few proxies that its membership knows.
test('leader with an incomplete membership: completes after all proxies', (t) => {
  for (const firstReportMs of [0, 1_000]) {
    const source = new Source();
    const former = makeRollout({ share: 0.75, step: 3 });
    const rollout = { ...former, share: 1, step: 4 };
    source.now = addMs(START, 8_500);
    source.apply(SERVICE, put(rollout));
    source.addServers('v1', 'v2');
    source.post({ kind: 'leading', leading: true });
    for (let ms = 0; ms < 2_000; ms += TURN_MS) {
      source.report(rollout);
      if (ms >= firstReportMs) source.report(former, 'proxy-1' as HostId);
      t.is(source.waitForCommand(TURN_MS), undefined, `${firstReportMs}: ${ms}`);
    }
    source.report(rollout, 'proxy-1' as HostId);
    source.report(rollout);
    t.is(source.waitForCommand(TURN_MS), undefined);
    source.report(rollout, 'proxy-1' as HostId);
    source.report(rollout);
    t.like(source.waitForCommand(TURN_MS), { kind: 'end-rollout', state: 'completed' });
  }
});

test('leader after the deadline: ends the roll-out', (t) => {
  const source = new Source();
  source.now = addMs(START, 60_000);
  source.post({
    kind: 'restored',
    configuration: {
      version: 5 as Version,
      digest: 'd' as Digest,
      resources: [makeRollout({ share: 0.2, step: 2 })],
    },
  });
  source.addServers('v1', 'v2');
  source.post({ kind: 'leading', leading: true });
  t.like(source.waitForCommand(1_000), { kind: 'end-rollout', state: 'rolled-back' });
});

test('clock of a former leader that was ahead: not more than the whole time', (t) => {
  const source = new Source();
  const startedAt = addMs(START, 3_600_000);
  source.apply(SERVICE, put(makeRollout({ startedAt, deadline: addMs(startedAt, 12_000) })));
  source.addServers('v1', 'v2');
  source.post({ kind: 'leading', leading: true });
  t.like(source.waitForCommand(11_000), { kind: 'step-rollout' });
});

test('reports: heard by a leader whose commands are committed', (t) => {
  const source = new Source();
  const rollout = makeRollout();
  source.apply(SERVICE, put(rollout));
  source.addServers('v1', 'v2');
  t.deepEqual(source.report(rollout), [], 'no leader');
  source.post({ kind: 'leading', leading: true });
  t.like(source.report(rollout), [{ kind: 'send', body: { kind: 'heard' } }]);
  t.like(source.waitForCommand(11_000), { kind: 'step-rollout' });
  source.now = addMs(source.now, 2_000);
  t.deepEqual(source.report(rollout), [], 'its command is not committed');
});
