/** The guard: grants the slots of the backend servers beside this proxy. */
import { addMs, NEVER } from '../clock.js';
import type { Address, AttemptId, Instant } from '../ids.js';
import type { Announcement, AttemptHead, Broadcast } from '../messages/index.js';
import type { Wake } from '../pipe/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import { CrashTable, formFingerprint } from './crash-table.js';
import { DeadlineHeap } from './deadline-heap.js';
import type { Admission } from './guarded-server.js';
import { GuardedServer } from './guarded-server.js';
import type { SlotPolicy } from './slot-policy.js';

/** How a run at a backend server ended. */
export type RunEnding =
  | 'answered'
  /** The backend server itself said that it did not run the attempt. */
  | 'shed'
  /** The connection broke after the request was sent. */
  | 'lost'
  /** The connection was closed by this proxy. */
  | 'cancelled'
  /** Nothing of the request was sent. */
  | 'not-sent';

/** What the guard is told. */
export type GuardIn =
  /** The backend servers beside this proxy. */
  | { readonly kind: 'servers'; readonly servers: readonly Announcement[] }
  | { readonly kind: 'admit'; readonly head: AttemptHead }
  /** Nobody waits for this attempt any longer. */
  | { readonly kind: 'withdraw'; readonly attempt: AttemptId }
  | { readonly kind: 'run-ended'; readonly attempt: AttemptId; readonly ending: RunEnding }
  | { readonly kind: 'probed'; readonly server: Address; readonly accepts: boolean }
  | { readonly kind: 'broadcast'; readonly item: Broadcast }
  /** This process stops; no attempt has a later deadline. */
  | { readonly kind: 'stopping'; readonly answerBy: Instant }
  /** This process stops: nothing new runs. */
  | { readonly kind: 'drain' }
  | { readonly kind: 'tick' };

/** What the guard sends on. */
export type GuardOut =
  /** The attempt runs now, or certainly does not run. */
  | Admission
  /** Closes the connection of a run; its slot comes back when the run has ended. */
  | {
      readonly kind: 'stop-run';
      readonly attempt: AttemptId;
      /** `draining`: this process stops, and the call itself may have time left. */
      readonly reason: 'deadline' | 'draining' | 'withdrawn';
    }
  /** Asks whether the server still accepts connections. */
  | { readonly kind: 'probe'; readonly server: Address }
  | { readonly kind: 'broadcast'; readonly item: Broadcast }
  | Wake;

/** The state of the guard. */
export interface GuardState {
  readonly servers: Map<Address, GuardedServer>;
  /** The server of each attempt that waits or runs. */
  readonly places: Map<AttemptId, GuardedServer>;
  readonly crashes: CrashTable;
  /** Requests whose connection to a server broke, until it is known whether the server died. */
  readonly lost: Map<Address, string[]>;
  readonly deadlines: DeadlineHeap<AttemptId>;
  /** The end of a planned stop; no attempt has a later deadline. */
  answerBy: Instant;
  isDraining: boolean;
}

/** Decides which attempts run at the backend servers beside this proxy, and when. */
export class GuardFilter extends Filter<GuardState, GuardIn, GuardOut> {
  readonly #createPolicy: () => SlotPolicy;

  /** Each backend server gets a policy of its own. */
  constructor(createPolicy: () => SlotPolicy) {
    super();
    this.#createPolicy = createPolicy;
  }

  override createState(): GuardState {
    return {
      servers: new Map(),
      places: new Map(),
      crashes: new CrashTable(),
      lost: new Map(),
      deadlines: new DeadlineHeap(),
      answerBy: NEVER,
      isDraining: false,
    };
  }

  override decide(state: GuardState, message: GuardIn, now: Instant): Step<GuardState, GuardOut> {
    return { state, outputs: this.#handle(state, message, now) };
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

function admitAttempt(state: GuardState, head: AttemptHead, now: Instant): GuardOut[] {
  const { attempt } = head;
  if (state.isDraining) return [{ kind: 'reject', attempt, reason: 'draining' }];
  const server = state.servers.get(head.server);
  if (server === undefined) return [{ kind: 'reject', attempt, reason: 'draining' }];
  const verdict = state.crashes.findVerdict(head.subject, now);
  if (verdict === 'quarantined') return [{ kind: 'reject', attempt, reason: 'quarantined' }];
  const deadline = Math.min(head.deadline, state.answerBy) as Instant;
  const replyBy = Math.min(head.replyBy ?? deadline, deadline) as Instant;
  const suspect = head.suspect || verdict === 'suspect';
  const judged = { ...head, deadline, replyBy, suspect };
  state.places.set(attempt, server);
  const admissions = server.admit(judged, now);
  const runs = server.findRun(attempt) !== undefined;
  state.deadlines.add(runs ? deadline : replyBy, attempt);
  return passAdmissions(state, server, admissions, now);
}

function withdrawAttempt(state: GuardState, attempt: AttemptId, now: Instant): GuardOut[] {
  const server = state.places.get(attempt);
  if (server === undefined) return [];
  if (!server.withdraw(attempt)) return [{ kind: 'stop-run', attempt, reason: 'withdrawn' }];
  state.places.delete(attempt);
  return passAdmissions(state, server, server.startWaiting(now), now);
}

function endRun(
  state: GuardState,
  attempt: AttemptId,
  ending: RunEnding,
  now: Instant,
): GuardOut[] {
  const server = state.places.get(attempt);
  const head = server?.findRun(attempt);
  if (server === undefined || head === undefined) return [];
  state.places.delete(attempt);
  if (ending === 'answered') state.crashes.addAnswer(head.subject, now);
  server.endRun(attempt, ending === 'lost' || ending === 'not-sent' ? 'failed' : ending, now);
  const started = passAdmissions(state, server, server.startWaiting(now), now);
  return ending === 'lost' ? [...started, ...noteLoss(state, server, head)] : started;
}

/** One broken connection proves little; the server is asked whether it still accepts others. */
function noteLoss(state: GuardState, server: GuardedServer, head: AttemptHead): GuardOut[] {
  const { address } = server;
  if (!server.hasSpareConnection()) return [];
  const lost = state.lost.get(address);
  lost?.push(head.subject);
  if (lost !== undefined) return [];
  state.lost.set(address, [head.subject]);
  return [{ kind: 'probe', server: address }];
}

function handleProbe(
  state: GuardState,
  address: Address,
  accepts: boolean,
  now: Instant,
): GuardOut[] {
  const lost = state.lost.get(address) ?? [];
  state.lost.delete(address);
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

/** A request that was answered here lately is no suspect, however often it is asked for. */
function reportCrash(
  state: GuardState,
  server: Address,
  subject: string,
  now: Instant,
): GuardOut[] {
  if (state.crashes.hasAnswered(subject, now)) return [];
  const until = addMs(now, QUARANTINE_MS);
  const item: Broadcast = {
    kind: 'crash-seen',
    fingerprint: formFingerprint(subject),
    server,
    until,
  };
  state.crashes.addCrash(item);
  return [{ kind: 'broadcast', item }];
}

function limitRuns(state: GuardState, latest: Instant): GuardOut[] {
  state.answerBy = latest;
  for (const attempt of state.places.keys()) state.deadlines.add(latest, attempt);
  return state.places.size === 0 ? [] : [{ kind: 'wake', at: latest }];
}

function startDrain(state: GuardState): GuardOut[] {
  state.isDraining = true;
  const rejected = [...state.servers.values()].flatMap((one) => one.rejectWaiting('draining'));
  return forgetRejected(state, rejected);
}

function handleTick(state: GuardState, now: Instant): GuardOut[] {
  const outputs: GuardOut[] = [];
  for (const attempt of state.deadlines.takeDue(now)) {
    const run = state.places.get(attempt)?.findRun(attempt);
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
  // A run may outlast the entry of its server.
  return [...outputs, ...formWake(state)];
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
  const at = server.findNextTurn(now);
  const outputs = [...forgetRejected(state, admissions), ...formWake(state)];
  return at === undefined ? outputs : [...outputs, { kind: 'wake', at }];
}

function formWake(state: GuardState): GuardOut[] {
  const at = state.deadlines.findNext((attempt) => state.places.has(attempt));
  return at === undefined ? [] : [{ kind: 'wake', at }];
}

function forgetRejected(state: GuardState, admissions: readonly Admission[]): GuardOut[] {
  for (const admission of admissions) {
    if (admission.kind === 'reject') state.places.delete(admission.attempt);
  }
  return [...admissions];
}
