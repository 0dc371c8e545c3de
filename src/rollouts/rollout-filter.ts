/** Leads the roll-outs at a source host: adopts versions, and proposes the steps and the end of each order. */
import { addMs } from '../clock.js';
import type { Address, HostId, Instant, ServerVersion, ServiceName, Version } from '../ids.js';
import type {
  Change,
  ConfigurationSnapshot,
  Member,
  MemberEvent,
  RolloutCommand,
  RolloutMessage,
  RolloutResource,
  VersionDelta,
} from '../messages/index.js';
import type { Step, Tick, WakeRequest } from '../pipe/index.js';
import { Filter } from '../pipe/index.js';
import type { ExposureBounds, RolloutFigures, RolloutView } from './rollout-decision.js';
import { RolloutDecision, TURN_MS } from './rollout-decision.js';
import { findCommonVersion, VersionRule } from './version-rule.js';

/** Inputs of the rollout filter. */
export type RolloutIn =
  | { readonly kind: 'version'; readonly delta: VersionDelta }
  | { readonly kind: 'restored'; readonly configuration: ConfigurationSnapshot }
  | { readonly kind: 'leading'; readonly leading: boolean }
  | MemberEvent
  | {
      readonly kind: 'received';
      readonly from: HostId;
      readonly address: Address;
      readonly body: RolloutMessage;
    }
  | Tick;

/** Outputs of the rollout filter. */
export type RolloutOut =
  | {
      readonly kind: 'propose';
      readonly command: RolloutCommand;
      /** What the command was based on. */
      readonly figures?: RolloutFigures;
    }
  | { readonly kind: 'send'; readonly to: Address; readonly body: RolloutMessage }
  /** A record has changed. */
  | { readonly kind: 'recorded'; readonly rollout: RolloutResource }
  | WakeRequest;

/** The state of the rollout filter; the tables are updated in place. */
export interface RolloutState {
  readonly services: Set<ServiceName>;
  readonly records: Map<ServiceName, RolloutResource>;
  readonly running: Map<ServiceName, RunningRollout>;
  readonly members: Map<HostId, Member>;
  isLeading: boolean;
  isAwake: boolean;
}

/** Every source collects the evidence, so that a new leader goes on from the record at once. */
export class RolloutFilter extends Filter<RolloutState, RolloutIn, RolloutOut> {
  readonly #bounds: ExposureBounds;
  readonly #stuckMs: number;

  /** @param rollbackMs The time within which calls to a bad version end. */
  constructor(bounds: ExposureBounds, rollbackMs: number) {
    super();
    this.#bounds = bounds;
    this.#stuckMs = rollbackMs * STUCK_SHARE;
  }

  override createState(): RolloutState {
    return {
      services: new Set(),
      records: new Map(),
      running: new Map(),
      members: new Map(),
      isLeading: false,
      isAwake: false,
    };
  }

  override decide(
    state: RolloutState,
    message: RolloutIn,
    now: Instant,
  ): Step<RolloutState, RolloutOut> {
    return { state, outputs: this.#handle(state, message, now) };
  }

  // Internals.

  #handle(state: RolloutState, message: RolloutIn, now: Instant): RolloutOut[] {
    switch (message.kind) {
      case 'version': {
        const recorded = this.#applyChanges(state, message.delta.changes, now);
        return [...recorded, ...wakeIfNeeded(state, now)];
      }
      case 'restored': {
        state.services.clear();
        state.records.clear();
        const changes = message.configuration.resources.map((resource): Change => {
          return { op: 'put', resource };
        });
        this.#applyChanges(state, changes, now);
        for (const service of state.running.keys())
          if (!state.records.has(service)) state.running.delete(service);
        return wakeIfNeeded(state, now);
      }
      case 'leading':
        state.isLeading = message.leading;
        return wakeIfNeeded(state, now);
      case 'member-up':
        state.members.set(message.member.host, message.member);
        return wakeIfNeeded(state, now);
      case 'member-gone':
        state.members.delete(message.host);
        return [];
      case 'received':
        return this.#handleReport(state, message, now);
      case 'tick':
        state.isAwake = false;
        return [...decideAll(state, now), ...wakeIfNeeded(state, now)];
    }
  }

  #applyChanges(state: RolloutState, changes: readonly Change[], now: Instant): RolloutOut[] {
    const outputs: RolloutOut[] = [];
    for (const change of changes) {
      if (change.op === 'remove') removeResource(state, change.key);
      else if (change.resource.kind === 'service') state.services.add(change.resource.name);
      else if (change.resource.kind === 'rollout') {
        this.#updateRecord(state, change.resource, now);
        outputs.push({ kind: 'recorded', rollout: change.resource });
      }
    }
    return outputs;
  }

  #handleReport(
    state: RolloutState,
    { from, address, body }: Extract<RolloutIn, { kind: 'received' }>,
    now: Instant,
  ): RolloutOut[] {
    if (body.kind !== 'evidence') return [];
    for (const report of body.rollouts) {
      const open = state.running.get(report.service);
      if (open?.order === report.order) open.decision.add(from, report, now);
    }
    if (!state.isLeading || isStuck(state, addMs(now, -this.#stuckMs))) return [];
    return [{ kind: 'send', to: address, body: { kind: 'heard' } }];
  }

  #updateRecord({ records, running }: RolloutState, rollout: RolloutResource, now: Instant): void {
    records.set(rollout.name, rollout);
    const open = running.get(rollout.name);
    if (rollout.state !== 'running') running.delete(rollout.name);
    else if (open?.order !== rollout.order) {
      // The clocks of two hosts may differ; the time left is never more than the whole.
      const durationMs = rollout.deadline - rollout.startedAt;
      const deadline = Math.min(rollout.deadline, addMs(now, durationMs)) as Instant;
      const startedAt = addMs(deadline, -durationMs);
      const decision = new RolloutDecision(this.#bounds, startedAt, deadline, now);
      running.set(rollout.name, { order: rollout.order, decision, proposed: undefined });
    }
  }
}

// Internals.

/** A command is proposed again after this time, because its proposal may have been lost. */
const PROPOSE_AGAIN_MS = 1_000;
/** After this part of the time without a commit, a leader confirms no reports, so that the proxies brake. */
const STUCK_SHARE = 0.3;

interface RunningRollout {
  readonly order: Version;
  readonly decision: RolloutDecision;
  /** The step after which a command has been proposed, since when, and when last. */
  proposed: { readonly step: number; readonly since: Instant; readonly at: Instant } | undefined;
}

function removeResource({ services, records, running }: RolloutState, key: string): void {
  const [kind, name = ''] = key.split('/', 2);
  if (kind === 'service') services.delete(name as ServiceName);
  if (kind !== 'rollout') return;
  records.delete(name as ServiceName);
  running.delete(name as ServiceName);
}

/** Whether a command of this leader has not been committed since an instant; it may have been replaced unknown. */
function isStuck({ running, records }: RolloutState, since: Instant): boolean {
  return [...running].some(([service, { proposed }]) => {
    if (proposed === undefined || records.get(service)?.step !== proposed.step) return false;
    return proposed.since < since;
  });
}

function decideAll(state: RolloutState, now: Instant): RolloutOut[] {
  if (!state.isLeading) return [];
  const adopted = listAdoptions(state, now);
  return [
    ...adopted,
    ...[...state.running].flatMap(([service, open]) => {
      const rollout = state.records.get(service);
      return rollout === undefined ? [] : decideOne(state, rollout, open, now);
    }),
  ];
}

function decideOne(
  state: RolloutState,
  rollout: RolloutResource,
  open: RunningRollout,
  now: Instant,
): RolloutOut[] {
  const { name: service, order, step } = rollout;
  const verdict = open.decision.decide(rollout, buildView(state, rollout), now);
  if (verdict === undefined) return [];
  const proposed = open.proposed?.step === step ? open.proposed : undefined;
  if (proposed !== undefined && addMs(proposed.at, PROPOSE_AGAIN_MS) > now) return [];
  open.proposed = { step, since: proposed?.since ?? now, at: now };
  const at = { service, order, step };
  const command: RolloutCommand =
    verdict.kind === 'step'
      ? { kind: 'step-rollout', at, share: verdict.share }
      : { kind: 'end-rollout', at, state: verdict.state, reason: verdict.reason };
  return [{ kind: 'propose', command, figures: open.decision.figures }];
}

function buildView({ members }: RolloutState, rollout: RolloutResource): RolloutView {
  const rule = new VersionRule(rollout);
  let [orderedSlots, inUseSlots] = [0, 0];
  const proxies: HostId[] = [];
  for (const { host, control, calls, servers } of members.values()) {
    if (calls !== control) proxies.push(host);
    for (const { service, state, version, slots } of servers) {
      if (service !== rollout.name || state !== 'ready') continue;
      if (rule.matches('ordered', version)) orderedSlots += slots;
      else if (rule.matches('in-use', version)) inUseSlots += slots;
    }
  }
  return { orderedSlots, inUseSlots, proxies };
}

/** Proposes to record the version in use of each service whose servers announce one. */
function listAdoptions(state: RolloutState, now: Instant): RolloutOut[] {
  return listUnrecorded(state).flatMap((service): RolloutOut[] => {
    const version = findServiceVersion(state, service);
    if (version === undefined) return [];
    return [
      { kind: 'propose', command: { kind: 'adopt-version', service, version, startedAt: now } },
    ];
  });
}

function listUnrecorded({ services, records }: RolloutState): ServiceName[] {
  return [...services].filter((service) => !records.has(service));
}

function findServiceVersion(
  { members }: RolloutState,
  service: ServiceName,
): ServerVersion | undefined {
  const servers = [...members.values()].flatMap((member) => member.servers);
  const ready = servers.filter((one) => one.service === service && one.state === 'ready');
  return findCommonVersion(ready.map(({ version }) => version));
}

function wakeIfNeeded(state: RolloutState, now: Instant): RolloutOut[] {
  if (!state.isLeading || state.isAwake) return [];
  if (state.running.size === 0 && listUnrecorded(state).length === 0) return [];
  state.isAwake = true;
  return [{ kind: 'wake', at: addMs(now, state.running.size > 0 ? TURN_MS : PROPOSE_AGAIN_MS) }];
}
