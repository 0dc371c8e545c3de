/** Membership: which processes take part, and which backend servers stand beside them. */
import { addMs, NEVER } from '../clock.js';
import type { Instant } from '../ids.js';
import type { Announcement } from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import { handleDatagram } from './handle-datagram.js';
import { addSuspect, applyBroadcast, applyStatus } from './apply-update.js';
import { runGossip, sendLeave } from './gossip.js';
import { runJoin, runReconnect } from './join.js';
import type { MembersIn, MembersOptions, MembersOut, MembersState } from './members-state.js';
import { createMembersState } from './members-state.js';
import { publishSelf, showHeartbeat, updateOwnServers } from './own-record.js';
import { needsHelpers, runProbes } from './failure-detector.js';
import { handleSync, runSync } from './anti-entropy.js';
import { GRACE_MS, PAUSE_MS } from './timing.js';
import { Turn } from './step-context.js';

/**
 * Decides which members and backend servers are known, after SWIM (Das, Gupta and Motivala 2002).
 *
 * It emits `member-up` and `member-gone` for one member at a time, this one included. Its first message
 * should be a `tick`.
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
    const turn = new Turn(now);
    if (!state.isStarted) start(state, turn);
    checkPause(state, turn);
    handle(state, message, turn);
    state.turnBy = findDeadline(state, now);
    turn.add({ kind: 'wake', at: state.turnBy });
    return { state, outputs: turn.outputs };
  }
}

// Internals.

function start(state: MembersState, turn: Turn): void {
  state.isStarted = true;
  state.turnBy = turn.now;
  publishSelf(state, state.self.incarnation, turn);
}

/** A late turn shows that this process was paused: what it waited for proves nothing about others. */
function checkPause(state: MembersState, turn: Turn): void {
  if (turn.now - state.turnBy <= PAUSE_MS) return;
  state.counts.pauses += 1;
  state.health.addFailure();
  state.probe = undefined;
  state.graceUntil = addMs(turn.now, GRACE_MS);
}

function handle(state: MembersState, message: MembersIn, turn: Turn): void {
  switch (message.kind) {
    case 'announce':
      handleAnnouncement(state, message.announcement, turn);
      return;
    case 'observed':
      if (message.host === state.self.host) state.servers.observe(message, turn.now);
      else if (message.outcome === 'failed') state.urgent.add(message.host);
      updateOwnServers(state, turn);
      return;
    case 'server-left':
      state.servers.removeInstance(message.instance, message.life);
      updateOwnServers(state, turn);
      return;
    case 'seeds':
      state.seeds = message.seeds;
      state.seedAt = turn.now;
      runJoin(state, turn);
      return;
    case 'broadcast':
      applyBroadcast(state, message.item, turn.now);
      return;
    case 'held':
      state.self = { ...state.self, version: message.version };
      return;
    case 'drain':
      state.servers.drain();
      updateOwnServers(state, turn);
      return;
    case 'leave':
      sendLeave(state, turn);
      state.hasLeft = true;
      return;
    case 'datagram':
      handleDatagram(state, message.from, message.message, turn);
      return;
    case 'received':
      handleSync(state, message.address, message.body, turn);
      return;
    case 'tick':
      runDue(state, turn);
  }
}

/** Publishes what changed; a mere heartbeat is shown to the pipes of this process only. */
function handleAnnouncement(state: MembersState, announcement: Announcement, turn: Turn): void {
  const isTaken = state.servers.apply(announcement, turn.now);
  if (!isTaken) state.counts.ignoredAnnouncements += 1;
  const { incarnation } = state.self;
  updateOwnServers(state, turn);
  if (isTaken && state.self.incarnation === incarnation) showHeartbeat(state, turn);
}

/** Does everything that is due at this instant. */
function runDue(state: MembersState, turn: Turn): void {
  updateOwnServers(state, turn);
  runSuspects(state, turn);
  runTombstones(state, turn);
  runProbes(state, turn);
  runJoin(state, turn);
  runReconnect(state, turn);
  runSync(state, turn);
  runGossip(state, turn);
}

/** Declares suspects dead that have not refuted in time. */
function runSuspects(state: MembersState, turn: Turn): void {
  if (turn.now < state.graceUntil) return;
  for (;;) {
    const status = state.suspects.pickDue(turn.now);
    if (status === undefined) return;
    const entry = state.table.find(status.host);
    if (entry?.liveness !== 'suspect' || entry.incarnation !== status.incarnation) continue;
    const dataCentre = entry.member?.dataCentre;
    if (dataCentre !== undefined && state.contacts.isSilent(dataCentre)) {
      addSuspect(state, status, turn.now);
      continue;
    }
    const { host, incarnation } = status;
    applyStatus(state, { kind: 'status', host, incarnation, liveness: 'dead' }, turn);
  }
}

/** Forgets members that have been dead for long. */
function runTombstones(state: MembersState, turn: Turn): void {
  for (;;) {
    const status = state.tombstones.pickDue(turn.now);
    if (status === undefined) return;
    const entry = state.table.find(status.host);
    if (entry?.liveness !== status.liveness || entry.incarnation !== status.incarnation) continue;
    state.table.forget(status.host);
    state.remembered.remove(status.host);
  }
}

function findDeadline(state: MembersState, now: Instant): Instant {
  const { probe } = state;
  const deadlines = [
    state.probeAt,
    probe !== undefined && needsHelpers(probe) ? probe.indirectAt : NEVER,
    state.queue.size > 0 ? state.gossipAt : NEVER,
    state.syncAt,
    state.seedAt,
    state.reconnectAt,
    Math.max(state.suspects.deadline, state.graceUntil),
    state.tombstones.deadline,
    state.servers.findDeadline(now),
    findRelayDeadline(state),
  ];
  return Math.max(now, Math.min(...deadlines)) as Instant;
}

function findRelayDeadline(state: MembersState): Instant {
  for (const { deadline } of state.relays.values()) return deadline;
  return NEVER;
}
