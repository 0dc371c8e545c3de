/** Counts the runs at the backend servers beside a proxy while roll-outs run, and reports them to the sources. */
import { addMs } from '../clock.js';
import type {
  Address,
  HostId,
  Instant,
  RequestKindName,
  ServerVersion,
  ServiceName,
} from '../ids.js';
import type {
  Announcement,
  MemberEvent,
  RolloutEvidence,
  RolloutMessage,
  RunCounts,
} from '../messages/index.js';
import type { Configuration } from '../notes/index.js';
import type { Step, Tick, WakeRequest } from '../pipe/index.js';
import { Filter } from '../pipe/index.js';
import { TURN_MS } from './rollout-decision.js';
import { findBucket, RUN_TIME_BUCKETS } from './run-times.js';
import type { VersionRule } from './version-rule.js';
import { VersionShares } from './version-shares.js';

/** A run at a backend server beside this proxy has begun. */
export interface RunBegun {
  readonly kind: 'run-begun';
  readonly server: Address;
  readonly requestKind: RequestKindName;
}

/** The first byte of the answer of a run has arrived, or the run has ended without one. */
export interface RunOver {
  readonly kind: 'run-over';
  readonly server: Address;
  readonly requestKind: RequestKindName;
  readonly startedAt: Instant;
  /** `ignored`: the run says nothing about its server, for example because its caller has left. */
  readonly result: 'answered' | 'failed' | 'timed-out' | 'ignored';
}

/** Inputs of the evidence filter. */
export type EvidenceIn =
  | { readonly kind: 'whole'; readonly configuration: Configuration }
  | MemberEvent
  | RunBegun
  | RunOver
  | { readonly kind: 'received'; readonly address: Address; readonly body: RolloutMessage }
  | Tick;

/** Outputs of the evidence filter. */
export type EvidenceOut =
  | { readonly kind: 'send'; readonly to: Address; readonly body: RolloutMessage }
  /** A leader has heard a report; the proxy needs no judgement of its own until this instant. */
  | { readonly kind: 'leader-heard'; readonly until: Instant }
  /** A run has been counted; used only for metrics. */
  | {
      readonly kind: 'counted';
      readonly service: ServiceName;
      readonly version: ServerVersion | undefined;
      readonly result: RunOver['result'];
    }
  | WakeRequest;

/** The state of the evidence filter; the tables are updated in place. */
export interface EvidenceState {
  readonly versions: VersionShares;
  readonly sources: Map<HostId, Address>;
  readonly servers: Map<Address, LocalServer>;
  readonly rollouts: Map<ServiceName, OpenRollout>;
  /** The source that last heard a report. */
  leader: { readonly address: Address; readonly until: Instant } | undefined;
  turns: number;
  isAwake: boolean;
}

/**
 * Reports while a roll-out runs: at each turn to the leader what has changed, and every few turns everything to all
 * sources, so that a new leader knows as much as the former one.
 */
export class EvidenceFilter extends Filter<EvidenceState, EvidenceIn, EvidenceOut> {
  readonly #host: HostId;
  readonly #trustMs: number;

  /** @param rollbackMs The time within which calls to a bad version end. */
  constructor(host: HostId, rollbackMs: number) {
    super();
    this.#host = host;
    this.#trustMs = rollbackMs * TRUST_SHARE;
  }

  override createState(): EvidenceState {
    return {
      versions: new VersionShares(() => 0),
      sources: new Map(),
      servers: new Map(),
      rollouts: new Map(),
      leader: undefined,
      turns: 0,
      isAwake: false,
    };
  }

  override decide(
    state: EvidenceState,
    message: EvidenceIn,
    now: Instant,
  ): Step<EvidenceState, EvidenceOut> {
    return { state, outputs: this.#handle(state, message, now) };
  }

  // Internals.

  #handle(state: EvidenceState, message: EvidenceIn, now: Instant): EvidenceOut[] {
    switch (message.kind) {
      case 'whole':
        for (const service of state.versions.update(message.configuration))
          updateRollout(state, service);
        return wakeIfNeeded(state, now);
      case 'member-up':
        if (message.member.isSource) state.sources.set(message.member.host, message.member.control);
        if (message.member.host === this.#host) updateServers(state, message.member.servers, now);
        return [];
      case 'member-gone':
        state.sources.delete(message.host);
        return [];
      case 'run-begun':
        beginRun(state, message);
        return [];
      case 'run-over':
        return endRun(state, message, now);
      case 'received':
        if (message.body.kind !== 'heard') return [];
        state.leader = { address: message.address, until: addMs(now, this.#trustMs) };
        return [{ kind: 'leader-heard', until: state.leader.until }];
      case 'tick':
        state.isAwake = false;
        return [...buildReports(state, now), ...wakeIfNeeded(state, now)];
    }
  }
}

// Internals.

/** After this part of the time without a word of the leader, a proxy brakes. */
const TRUST_SHARE = 0.3;
/** A full report once a second. */
const TURNS_PER_FULL_REPORT = 4;
/** Servers that do not say when they are warm are taken as cold for this time after they become ready. */
const COLD_MS = 5_000;

interface LocalServer {
  announcement: Announcement;
  warmAt: Instant;
  /** The runs in progress. */
  running: number;
}

/** The counts of one running roll-out. */
interface OpenRollout {
  readonly rule: VersionRule;
  readonly counts: Map<string, MutableCounts>;
  /** The counts that have changed since the last report. */
  readonly changed: Set<MutableCounts>;
}

interface MutableCounts extends RunCounts {
  begun: number;
  ended: number;
  failed: number;
  readonly runTimes: number[];
}

function updateRollout({ versions, rollouts }: EvidenceState, service: ServiceName): void {
  const rule = versions.findRule(service);
  const open = rollouts.get(service);
  if (rule?.isRunning !== true) rollouts.delete(service);
  else {
    const isSameOrder = open?.rule.rollout.order === rule.rollout.order;
    const counts = isSameOrder ? open.counts : new Map<string, MutableCounts>();
    rollouts.set(service, { rule, counts, changed: new Set(counts.values()) });
  }
}

function updateServers(
  { servers }: EvidenceState,
  announced: readonly Announcement[],
  now: Instant,
): void {
  const addresses = new Set(announced.map(({ address }) => address));
  for (const address of servers.keys()) if (!addresses.has(address)) servers.delete(address);
  for (const announcement of announced) {
    const known = servers.get(announcement.address);
    const isNew = known === undefined || known.announcement.version !== announcement.version;
    const warmAt = announcement.warmAt ?? (isNew ? addMs(now, COLD_MS) : known.warmAt);
    servers.set(announcement.address, {
      announcement,
      warmAt,
      running: isNew ? 0 : known.running,
    });
  }
}

function findCounts(
  { servers, rollouts }: EvidenceState,
  { server: address, requestKind }: RunBegun | RunOver,
): MutableCounts | undefined {
  const server = servers.get(address);
  if (server === undefined) return undefined;
  const { service, version } = server.announcement;
  const open = rollouts.get(service);
  if (open === undefined) return undefined;
  const key = `${address} ${requestKind}`;
  const counts = open.counts.get(key) ?? {
    server: address,
    requestKind,
    isOrdered: open.rule.matches('ordered', version),
    begun: 0,
    ended: 0,
    failed: 0,
    runTimes: Array.from({ length: RUN_TIME_BUCKETS }, () => 0),
  };
  open.counts.set(key, counts);
  open.changed.add(counts);
  return counts;
}

function beginRun(state: EvidenceState, run: RunBegun): void {
  const server = state.servers.get(run.server);
  if (server !== undefined) server.running += 1;
  const counts = findCounts(state, run);
  if (counts !== undefined) counts.begun += 1;
}

function endRun(state: EvidenceState, run: RunOver, now: Instant): EvidenceOut[] {
  const server = state.servers.get(run.server);
  if (server === undefined) return [];
  server.running = Math.max(0, server.running - 1);
  const counts = findCounts(state, run);
  if (counts === undefined || run.result === 'ignored') return [];
  counts.ended += 1;
  if (run.result === 'failed') counts.failed += 1;
  // A failure may be fast; a run that timed out would have taken longer still.
  else if (run.startedAt >= server.warmAt) {
    const bucket = findBucket(now - run.startedAt);
    counts.runTimes[bucket] = (counts.runTimes[bucket] ?? 0) + 1;
  }
  const { service, version } = server.announcement;
  return [{ kind: 'counted', service, version, result: run.result }];
}

function buildReports(state: EvidenceState, now: Instant): EvidenceOut[] {
  const { rollouts, sources, leader } = state;
  if (rollouts.size === 0) return [];
  state.turns += 1;
  const isFull = state.turns % TURNS_PER_FULL_REPORT === 0;
  const isHeard = leader !== undefined && leader.until > now;
  const body: RolloutMessage = {
    kind: 'evidence',
    rollouts: [...rollouts.values()].map((open) => buildEvidence(state, open, isFull || !isHeard)),
  };
  const addresses = isHeard && !isFull ? [leader.address] : [...sources.values()];
  return addresses.map((to) => ({ kind: 'send', to, body }));
}

function buildEvidence(
  { servers }: EvidenceState,
  { rule, counts, changed }: OpenRollout,
  isFull: boolean,
): RolloutEvidence {
  const { name: service, order, step } = rule.rollout;
  const inUse = [...servers.values()].filter(
    ({ announcement }) =>
      announcement.service === service && !rule.matches('ordered', announcement.version),
  );
  const reported = isFull ? [...counts.values()] : [...changed];
  changed.clear();
  return {
    service,
    order,
    step,
    runningInUse: inUse.reduce((sum, { running }) => sum + running, 0),
    counts: reported.map((one) => ({ ...one, runTimes: one.runTimes.slice() })),
  };
}

function wakeIfNeeded(state: EvidenceState, now: Instant): EvidenceOut[] {
  if (state.isAwake || state.rollouts.size === 0) return [];
  state.isAwake = true;
  return [{ kind: 'wake', at: addMs(now, TURN_MS) }];
}
