/** The guard: admission control for the backend servers beside this proxy. */
import { addMs, NEVER } from '../clock.js';
import type { Address, AttemptId, Instant } from '../ids.js';
import type { Announcement, AttemptHead, CrashSeen } from '../messages/index.js';
import type { WakeRequest } from '../pipe/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import { CrashTable, buildFingerprint } from './crash-table.js';
import { DeadlineHeap } from './deadline-heap.js';
import type { Admission, Rejection } from './guarded-server.js';
import { GuardedServer } from './guarded-server.js';
import type { SlotPolicy } from './slot-policy.js';

/** How a run at a backend server ended. */
export type RunEnding =
  | 'answered'
  /** The backend server stated that it did not run the attempt. */
  | 'shed'
  /** The connection broke after the request was sent. */
  | 'lost'
  /** This proxy closed the connection. */
  | 'cancelled'
  /** No byte of the request was sent. */
  | 'not-sent';

/** Inputs of the guard filter. */
export type GuardIn =
  /** The backend servers beside this proxy. */
  | { readonly kind: 'servers'; readonly servers: readonly Announcement[] }
  | { readonly kind: 'admit'; readonly head: AttemptHead }
  /** The result of this attempt is no longer needed. */
  | { readonly kind: 'withdraw'; readonly attempt: AttemptId }
  | { readonly kind: 'run-ended'; readonly attempt: AttemptId; readonly ending: RunEnding }
  | { readonly kind: 'probed'; readonly server: Address; readonly accepts: boolean }
  | { readonly kind: 'broadcast'; readonly item: CrashSeen }
  /** The process is stopping; every deadline is capped at `answerBy`. */
  | { readonly kind: 'stopping'; readonly answerBy: Instant }
  /** The process is stopping: no further attempt starts. */
  | { readonly kind: 'drain' }
  | { readonly kind: 'tick' };

/** Outputs of the guard filter. */
export type GuardOut =
  /** Starts or rejects an attempt. */
  | Admission
  /** Closes the connection of a run; its slot is released when the run has ended. */
  | {
      readonly kind: 'stop-run';
      readonly attempt: AttemptId;
      /** `draining`: the process is stopping before the deadline of the call. */
      readonly reason: 'deadline' | 'draining' | 'withdrawn';
    }
  /** Checks whether the server still accepts connections. */
  | { readonly kind: 'probe'; readonly server: Address }
  | { readonly kind: 'broadcast'; readonly item: CrashSeen }
  | WakeRequest;

/** The state of the guard filter. */
export interface GuardState {
  readonly servers: Map<Address, GuardedServer>;
  /** The server of each waiting or running attempt. */
  readonly serversByAttempt: Map<AttemptId, GuardedServer>;
  readonly crashes: CrashTable;
  /** Requests whose connection to a server broke, until a probe shows whether the server has crashed. */
  readonly lostSubjects: Map<Address, string[]>;
  readonly deadlines: DeadlineHeap<AttemptId>;
  /** The end of a planned stop; every deadline is capped at it. */
  answerBy: Instant;
  isDraining: boolean;
}

/** Decides which attempts run at the backend servers beside this proxy, and when. */
export class GuardFilter extends Filter<GuardState, GuardIn, GuardOut> {
  readonly #createPolicy: () => SlotPolicy;

  /** @param createPolicy Creates the slot policy of each backend server. */
  constructor(createPolicy: () => SlotPolicy) {
    super();
    this.#createPolicy = createPolicy;
  }

  override createState(): GuardState {
    return {
      servers: new Map(),
      serversByAttempt: new Map(),
      crashes: new CrashTable(),
      lostSubjects: new Map(),
      deadlines: new DeadlineHeap(),
      answerBy: NEVER,
      isDraining: false,
    };
  }

  override decide(state: GuardState, message: GuardIn, now: Instant): Step<GuardState, GuardOut> {
    return { state, outputs: this.#handle(state, message, now) };
  }

  /** Returns the rejection that an attempt would get now, or the milliseconds until its expected end. */
  judgeArrival(state: GuardState, head: AttemptHead, now: Instant): Rejection | number {
    const judged = judgeAttempt(state, head, now);
    if (judged.kind === 'reject') return judged;
    const { server } = judged;
    return server.findReject(judged.head, now) ?? server.measureExpectedMs(judged.head, now);
  }

  // Internals.

  #handle(state: GuardState, message: GuardIn, now: Instant): GuardOut[] {
    switch (message.kind) {
      case 'servers':
        return this.#updateServers(state, message.servers, now);
      case 'admit':
        return admitAttempt(state, message.head, now);
      case 'withdraw':
        return withdrawAttempt(state, message.attempt, now);
      case 'run-ended':
        return endRun(state, message.attempt, message.ending, now);
      case 'probed':
        return handleProbe(state, message.server, message.accepts, now);
      case 'broadcast':
        state.crashes.addCrash(message.item);
        return [];
      case 'stopping':
        return limitRuns(state, message.answerBy);
      case 'drain':
        return startDrain(state);
      case 'tick':
        return handleTick(state, now);
    }
  }

  #updateServers(state: GuardState, servers: readonly Announcement[], now: Instant): GuardOut[] {
    const outputs: GuardOut[] = [];
    const present = new Set(servers.map(({ address }) => address));
    for (const [address, server] of state.servers) {
      if (present.has(address)) continue;
      state.servers.delete(address);
      outputs.push(...passAdmissions(state, server, server.rejectWaiting('draining'), now));
    }
    for (const announcement of servers) {
      const known = state.servers.get(announcement.address);
      const server = known ?? new GuardedServer(announcement, this.#createPolicy(), now);
      state.servers.set(announcement.address, server);
      outputs.push(...passAdmissions(state, server, server.update(announcement, now), now));
    }
    return outputs;
  }
}

// Internals.

const QUARANTINE_MS = 60_000;

/** An attempt that may be admitted, with its deadlines capped. */
interface JudgedAttempt {
  readonly kind: 'judged';
  readonly server: GuardedServer;
  readonly head: AttemptHead & { readonly replyBy: Instant };
}

function judgeAttempt(
  state: GuardState,
  head: AttemptHead,
  now: Instant,
): JudgedAttempt | Rejection {
  const { attempt } = head;
  if (state.isDraining) return { kind: 'reject', attempt, reason: 'draining' };
  const server = state.servers.get(head.server);
  if (server === undefined) return { kind: 'reject', attempt, reason: 'draining' };
  const verdict = state.crashes.findVerdict(head.subject, now);
  if (verdict === 'quarantined') return { kind: 'reject', attempt, reason: 'quarantined' };
  const deadline = Math.min(head.deadline, state.answerBy) as Instant;
  const replyBy = Math.min(head.replyBy ?? deadline, deadline) as Instant;
  const suspect = head.suspect || verdict === 'suspect';
  return { kind: 'judged', server, head: { ...head, deadline, replyBy, suspect } };
}

function admitAttempt(state: GuardState, head: AttemptHead, now: Instant): GuardOut[] {
  const judged = judgeAttempt(state, head, now);
  if (judged.kind === 'reject') return [judged];
  const { server } = judged;
  const { attempt, deadline, replyBy } = judged.head;
  state.serversByAttempt.set(attempt, server);
  const admissions = server.admit(judged.head, now);
  const runs = server.findRun(attempt) !== undefined;
  state.deadlines.add(runs ? deadline : replyBy, attempt);
  return passAdmissions(state, server, admissions, now);
}

function withdrawAttempt(state: GuardState, attempt: AttemptId, now: Instant): GuardOut[] {
  const server = state.serversByAttempt.get(attempt);
  if (server === undefined) return [];
  if (!server.withdraw(attempt)) return [{ kind: 'stop-run', attempt, reason: 'withdrawn' }];
  state.serversByAttempt.delete(attempt);
  return passAdmissions(state, server, server.startWaiting(now), now);
}

function endRun(
  state: GuardState,
  attempt: AttemptId,
  ending: RunEnding,
  now: Instant,
): GuardOut[] {
  const server = state.serversByAttempt.get(attempt);
  const head = server?.findRun(attempt);
  if (server === undefined || head === undefined) return [];
  state.serversByAttempt.delete(attempt);
  if (ending === 'answered') state.crashes.addAnswer(head.subject, now);
  server.endRun(attempt, ending === 'lost' || ending === 'not-sent' ? 'failed' : ending, now);
  const started = passAdmissions(state, server, server.startWaiting(now), now);
  return ending === 'lost' ? [...started, ...handleLostRun(state, server, head)] : started;
}

/** A single broken connection does not prove a crash, so the server is probed for new connections. */
function handleLostRun(state: GuardState, server: GuardedServer, head: AttemptHead): GuardOut[] {
  const { address } = server;
  if (!server.hasSpareConnection()) return [];
  const lost = state.lostSubjects.get(address);
  lost?.push(head.subject);
  if (lost !== undefined) return [];
  state.lostSubjects.set(address, [head.subject]);
  return [{ kind: 'probe', server: address }];
}

function handleProbe(
  state: GuardState,
  address: Address,
  accepts: boolean,
  now: Instant,
): GuardOut[] {
  const lost = state.lostSubjects.get(address) ?? [];
  state.lostSubjects.delete(address);
  const server = state.servers.get(address);
  if (server === undefined) return [];
  if (accepts) {
    server.markUp(now);
    return [];
  }
  const running = server.listRunning().map(({ subject }) => subject);
  const suspects = new Set([...lost, ...running]);
  const rejected = passAdmissions(state, server, server.markDown(now), now);
  return [...rejected, ...[...suspects].flatMap((one) => reportCrash(state, address, one, now))];
}

/** A request that was recently answered is not reported, however often it was in flight at crashes. */
function reportCrash(
  state: GuardState,
  server: Address,
  subject: string,
  now: Instant,
): GuardOut[] {
  if (state.crashes.hasAnswered(subject, now)) return [];
  const until = addMs(now, QUARANTINE_MS);
  const item: CrashSeen = {
    kind: 'crash-seen',
    fingerprint: buildFingerprint(subject),
    server,
    until,
  };
  state.crashes.addCrash(item);
  return [{ kind: 'broadcast', item }];
}

function limitRuns(state: GuardState, answerBy: Instant): GuardOut[] {
  state.answerBy = answerBy;
  for (const attempt of state.serversByAttempt.keys()) state.deadlines.add(answerBy, attempt);
  return state.serversByAttempt.size === 0 ? [] : [{ kind: 'wake', at: answerBy }];
}

function startDrain(state: GuardState): GuardOut[] {
  state.isDraining = true;
  const rejected = [...state.servers.values()].flatMap((one) => one.rejectWaiting('draining'));
  return forgetRejected(state, rejected);
}

function handleTick(state: GuardState, now: Instant): GuardOut[] {
  const outputs: GuardOut[] = [];
  for (const attempt of state.deadlines.takeDue(now)) {
    const run = state.serversByAttempt.get(attempt)?.findRun(attempt);
    if (run === undefined) continue;
    const deadline = Math.min(run.deadline, state.answerBy) as Instant;
    if (deadline > now) state.deadlines.add(deadline, attempt);
    else outputs.push({ kind: 'stop-run', attempt, reason: findStopReason(state, now) });
  }
  for (const server of state.servers.values()) {
    if (server.needsProbe(now)) outputs.push({ kind: 'probe', server: server.address });
    const admissions = [...server.rejectLate(now), ...server.startWaiting(now)];
    outputs.push(...passAdmissions(state, server, admissions, now));
  }
  // A run may outlast the entry of its server, so the wake-up does not depend on the servers.
  return [...outputs, ...buildWake(state)];
}

function findStopReason({ answerBy }: GuardState, now: Instant): 'deadline' | 'draining' {
  return answerBy <= now ? 'draining' : 'deadline';
}

function passAdmissions(
  state: GuardState,
  server: GuardedServer,
  admissions: readonly Admission[],
  now: Instant,
): GuardOut[] {
  const at = server.findNextCheck(now);
  const outputs = [...forgetRejected(state, admissions), ...buildWake(state)];
  return at === undefined ? outputs : [...outputs, { kind: 'wake', at }];
}

function buildWake(state: GuardState): GuardOut[] {
  const at = state.deadlines.findNext((attempt) => state.serversByAttempt.has(attempt));
  return at === undefined ? [] : [{ kind: 'wake', at }];
}

function forgetRejected(state: GuardState, admissions: readonly Admission[]): GuardOut[] {
  for (const admission of admissions) {
    if (admission.kind === 'reject') state.serversByAttempt.delete(admission.attempt);
  }
  return [...admissions];
}
