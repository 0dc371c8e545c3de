/** The membership of processes in the mesh, and of their local backend servers. */
import { addMs, NEVER } from '../clock.js';
import type { HostId, InstanceId, Instant } from '../ids.js';
import type { Announcement, MemberUpdate } from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import { handleDatagram } from './handle-datagram.js';
import { addSuspect, applyBroadcast, applyStatus, applyUpdates } from './apply-update.js';
import { runGossip, sendLeave } from './gossip.js';
import { addContact, passOnGrowth, runJoin, runReconnect, updateSeeds } from './join.js';
import type { MembersIn, MembersOptions, MembersOut, MembersState } from './members-state.js';
import { createMembersState } from './members-state.js';
import { publishSelf, notifyHeartbeat, updateLocalServers } from './own-record.js';
import { needsHelpers, runProbes } from './failure-detector.js';
import { findSyncDeadline, handleSync, runSync } from './anti-entropy.js';
import { findRecallDeadline, runRecall } from './run-recall.js';
import { buildBroadcastUpdate } from './seen-broadcasts.js';
import { LEAVE_FANOUT, PAUSE_GRACE_MS, PAUSE_THRESHOLD_MS, RUN_LEFT_MS } from './timing.js';
import { StepContext } from './step-context.js';

/**
 * Implements the membership protocol, based on SWIM (Das, Gupta and Motivala 2002).
 *
 * It emits a `member-up` or `member-gone` event for each member that changed, including this one. Its
 * first message should be a `tick`.
 */
export class MembersFilter extends Filter<MembersState, MembersIn, MembersOut> {
  readonly #options: MembersOptions;

  constructor(options: MembersOptions) {
    super();
    this.#options = options;
  }

  override createState(): MembersState {
    return createMembersState(this.#options);
  }

  override decide(
    state: MembersState,
    message: MembersIn,
    now: Instant,
  ): Step<MembersState, MembersOut> {
    if (state.hasLeft) return { state, outputs: [] };
    const context = new StepContext(now);
    if (!state.isStarted) start(state, context);
    checkPause(state, context);
    handle(state, message, context);
    passOnGrowth(state, context);
    state.expectedBy = findDeadline(state, now);
    context.add({ kind: 'wake', at: state.expectedBy });
    return { state, outputs: context.outputs };
  }
}

// Internals.

/** Bounds the time for which broken links keep this process from probing other members in turn. */
const MAX_LINK_TARGETS = 8;

function start(state: MembersState, context: StepContext): void {
  state.isStarted = true;
  state.expectedBy = context.now;
  publishSelf(state, state.self.incarnation, context);
}

/** Detects by a late wake-up that this process was paused, so that a missing answer is no evidence against a peer. */
function checkPause(state: MembersState, context: StepContext): void {
  if (context.now - state.expectedBy <= PAUSE_THRESHOLD_MS) return;
  state.counts.pauses += 1;
  state.localHealth.addFailure();
  state.probe = undefined;
  state.graceUntil = addMs(context.now, PAUSE_GRACE_MS);
  state.recall.start(context.now);
}

function handle(state: MembersState, message: MembersIn, context: StepContext): void {
  switch (message.kind) {
    case 'announce':
      handleAnnouncement(state, message.announcement, context);
      return;
    case 'observed':
      if (message.host === state.self.host) state.servers.observe(message, context.now);
      else if (message.outcome === 'failed') state.priorityTargets.add(message.host);
      updateLocalServers(state, context);
      return;
    case 'server-left': {
      const life = state.servers.removeInstance(message.instance, message.life);
      if (life !== undefined) notifyRunLeft(state, message.instance, life, context);
      updateLocalServers(state, context);
      return;
    }
    case 'seeds':
      updateSeeds(state, message.seeds, context);
      runJoin(state, context);
      return;
    case 'broadcast':
      applyBroadcast(state, message.item, context);
      return;
    case 'remembered':
      applyRemembered(state, message.updates, context);
      return;
    case 'held':
      state.self = { ...state.self, version: message.version };
      return;
    case 'drain':
      state.servers.drain();
      updateLocalServers(state, context);
      return;
    case 'leave':
      sendLeave(state, context);
      state.hasLeft = true;
      return;
    case 'datagram':
      handleDatagram(state, message.from, message.message, context);
      return;
    case 'link-up':
      addContact(state, message.host, message.address, context);
      return;
    case 'link-down':
      handleLinkDown(state, message.host);
      return;
    case 'received':
      handleSync(state, message.address, message.body, context);
      return;
    case 'tick':
      runDue(state, context);
  }
}

/** Applies items that are on the disk of this process already. */
function applyRemembered(
  state: MembersState,
  updates: readonly MemberUpdate[],
  context: StepContext,
): void {
  const inner = new StepContext(context.now);
  applyUpdates(state, updates, inner, false);
  for (const output of inner.outputs) if (output.kind !== 'remember') context.add(output);
}

/** Probes a member soon whose link has broken: its process may have ended, or may already be back. */
function handleLinkDown({ priorityTargets, table }: MembersState, host: HostId | undefined): void {
  if (host === undefined || !table.probeOrder.has(host)) return;
  if (priorityTargets.size < MAX_LINK_TARGETS) priorityTargets.add(host);
}

/** Publishes a changed announcement; a heartbeat without a change goes only to the pipes of this process. */
function handleAnnouncement(
  state: MembersState,
  announcement: Announcement,
  context: StepContext,
): void {
  const isAccepted = state.servers.apply(announcement, context.now);
  if (!isAccepted) state.counts.ignoredAnnouncements += 1;
  const { incarnation } = state.self;
  const { state: announced, instance, life } = announcement;
  const takesCalls = announced === 'ready' || announced === 'starting';
  if (isAccepted && !takesCalls && instance !== undefined && life !== undefined)
    notifyRunLeft(state, instance, life, context);
  updateLocalServers(state, context);
  if (isAccepted && state.self.incarnation === incarnation) notifyHeartbeat(state, context);
}

/**
 * Tells other members that a run takes no new calls. A few hear it at once, before the announcement is
 * acknowledged, so that it is not forgotten if this process ends. Sources are among them, which keep it on disk.
 */
function notifyRunLeft(
  state: MembersState,
  instance: InstanceId,
  life: number,
  context: StepContext,
): void {
  const until = addMs(context.now, RUN_LEFT_MS);
  const { host } = state.self;
  const item = { kind: 'run-left', host, instance, life, until } as const;
  state.servers.addLeftRun(instance, life);
  if (!applyBroadcast(state, item, context)) return;
  const updates = [buildBroadcastUpdate(item, context.now)];
  const { table, random } = state;
  const told = [
    ...table.pickSources(random, LEAVE_FANOUT),
    ...table.pickRandom(random, LEAVE_FANOUT),
  ];
  for (const control of new Set(told.map((member) => member.control))) {
    context.send(control, { kind: 'gossip', from: host, updates });
  }
}

/** Runs the periodic actions that are due. */
function runDue(state: MembersState, context: StepContext): void {
  updateLocalServers(state, context);
  runSuspects(state, context);
  runTombstones(state, context);
  runProbes(state, context);
  runJoin(state, context);
  runReconnect(state, context);
  runSync(state, context);
  runRecall(state, context);
  runGossip(state, context);
}

/** Declares suspects dead that did not refute the suspicion in time. */
function runSuspects(state: MembersState, context: StepContext): void {
  if (context.now < state.graceUntil) return;
  for (;;) {
    const status = state.suspects.removeDue(context.now);
    if (status === undefined) return;
    const entry = state.table.find(status.host);
    if (entry?.liveness !== 'suspect' || entry.incarnation !== status.incarnation) continue;
    const dataCentre = entry.member?.dataCentre;
    if (dataCentre !== undefined && state.contacts.isUnreachable(dataCentre)) {
      addSuspect(state, status, context.now);
      continue;
    }
    const { host, incarnation } = status;
    applyStatus(state, { kind: 'status', host, incarnation, liveness: 'dead' }, context);
  }
}

/** Removes dead members whose tombstones have expired. */
function runTombstones(state: MembersState, context: StepContext): void {
  for (;;) {
    const status = state.tombstones.removeDue(context.now);
    if (status === undefined) return;
    const entry = state.table.find(status.host);
    if (entry?.liveness !== status.liveness || entry.incarnation !== status.incarnation) continue;
    state.table.forget(status.host);
    state.reconnectCandidates.remove(status.host);
  }
}

function findDeadline(state: MembersState, now: Instant): Instant {
  const { probe } = state;
  const deadlines = [
    state.probeAt,
    probe !== undefined && needsHelpers(probe) ? probe.indirectAt : NEVER,
    state.updateQueue.size > 0 ? state.gossipAt : NEVER,
    findSyncDeadline(state),
    state.introductions.deadline,
    state.seedAt,
    state.reconnectAt,
    findRecallDeadline(state),
    Math.max(state.suspects.deadline, state.graceUntil),
    state.tombstones.deadline,
    state.servers.findDeadline(now),
    findRelayDeadline(state),
  ];
  return Math.max(now, Math.min(...deadlines)) as Instant;
}

function findRelayDeadline(state: MembersState): Instant {
  for (const { deadline } of state.relayedProbes.values()) return deadline;
  return NEVER;
}
