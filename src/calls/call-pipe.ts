/** The call pipe: classify → intake → claim → attempt → guard, as one filter that a task can run. */
import type { Address, AttemptId, CallId, HostId, Instant } from '../ids.js';
import type { AttemptFailure, CallHead, MemberEvent } from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { AttemptIn, AttemptOut } from './attempt-messages.js';
import type { AttemptState } from './attempt-state.js';
import { AttemptFilter } from './attempt-filter.js';
import type { ClaimIn, ClaimOut, ClaimState } from './claim-filter.js';
import { ClaimFilter } from './claim-filter.js';
import type { ClassifyIn, ClassifyOut, ClassifyState } from './classify-filter.js';
import { ClassifyFilter } from './classify-filter.js';
import type { GuardIn, GuardOut, GuardState, RunEnding } from './guard-filter.js';
import { GuardFilter } from './guard-filter.js';
import type { CallIn, CallOut } from './call-pipe-messages.js';
import type { ForwardedAttempt, IntakeIn, IntakeOut, IntakeState } from './intake-filter.js';
import { IntakeFilter } from './intake-filter.js';
import type { Picker } from './picker.js';
import type { RetryAllowance } from './retry-budget.js';
import type { Place } from './server-table.js';
import type { SlotPolicy } from './slot-policy.js';

/** What the call pipe needs. */
export interface CallPipeOptions {
  readonly place: Place;
  readonly picker: Picker;
  readonly createPolicy: () => SlotPolicy;
  readonly retries?: RetryAllowance | undefined;
}

/** The states of the filters, and which call each guarded attempt belongs to. */
export interface CallPipeState {
  classify: ClassifyState;
  intake: IntakeState;
  claim: ClaimState;
  attempt: AttemptState;
  guard: GuardState;
  readonly guarded: Map<AttemptId, GuardedCall>;
  /** Servers beside this proxy at which a forwarded attempt failed and none was answered since. */
  readonly failing: Set<Address>;
  isDraining: boolean;
}

/** Hands each message to the filter that it is for, and the outputs of each filter to the next. */
export class CallPipe extends Filter<CallPipeState, CallIn, CallOut> {
  readonly #host: HostId;
  readonly #classify: ClassifyFilter;
  readonly #intake = new IntakeFilter();
  readonly #claim = new ClaimFilter();
  readonly #attempt: AttemptFilter;
  readonly #guard: GuardFilter;

  constructor({ place, picker, createPolicy, retries }: CallPipeOptions) {
    super();
    this.#host = place.host;
    this.#classify = new ClassifyFilter(place.host);
    this.#attempt = new AttemptFilter({ place, picker, retries });
    this.#guard = new GuardFilter(createPolicy);
  }

  override createState(): CallPipeState {
    return {
      classify: this.#classify.createState(),
      intake: this.#intake.createState(),
      claim: this.#claim.createState(),
      attempt: this.#attempt.createState(),
      guard: this.#guard.createState(),
      guarded: new Map(),
      failing: new Set(),
      isDraining: false,
    };
  }

  override decide(
    state: CallPipeState,
    message: CallIn,
    now: Instant,
  ): Step<CallPipeState, CallOut> {
    const outputs: CallOut[] = [];
    this.#route(new Turn(state, now, outputs), message);
    return { state, outputs };
  }

  // Internals.

  #route(turn: Turn, message: CallIn): void {
    const { state } = turn;
    switch (message.kind) {
      case 'whole':
        this.#passToClassify(turn, message);
        return;
      case 'arrived':
        this.#accept(turn, message.head);
        return;
      case 'forwarded':
      case 'turn':
      case 'turn-over':
        this.#passToIntake(turn, message);
        return;
      case 'member-up':
      case 'member-gone':
        this.#updateMembers(turn, message);
        return;
      case 'answer-started':
        this.#handleAnswer(turn, message);
        return;
      case 'answer-complete':
        this.#completeAnswer(turn, message);
        return;
      case 'attempt-failed':
        this.#handleFailure(turn, message);
        return;
      case 'gone':
        this.#handleGone(turn, message.id);
        return;
      case 'ledger-answer':
        this.#passToClaim(turn, message);
        return;
      case 'broadcast':
      case 'probed':
        this.#passToGuard(turn, message);
        return;
      case 'stopping':
        this.#passToClassify(turn, message);
        this.#passToIntake(turn, message);
        this.#passToAttempt(turn, message);
        this.#passToGuard(turn, message);
        return;
      case 'drain':
        state.isDraining = true;
        this.#passToGuard(turn, message);
        return;
      case 'tick':
        this.#passToClaim(turn, message);
        this.#passToAttempt(turn, message);
        this.#passToGuard(turn, message);
        return;
    }
  }

  #accept(turn: Turn, head: CallHead): void {
    if (turn.state.isDraining) {
      turn.outputs.push({ kind: 'refuse', id: head.id, reason: 'draining', outcome: 'not-run' });
      return;
    }
    this.#passToClassify(turn, { kind: 'arrived', head });
  }

  #updateMembers(turn: Turn, event: MemberEvent): void {
    this.#passToAttempt(turn, event);
    if (event.kind === 'member-gone' || event.member.host !== this.#host) return;
    this.#passToGuard(turn, { kind: 'servers', servers: event.member.servers });
  }

  #handleAnswer(turn: Turn, message: Extract<CallIn, { kind: 'answer-started' }>): void {
    const { attempt } = message;
    const guarded = turn.state.guarded.get(attempt);
    const load = turn.state.guard.places.get(attempt)?.measureLoadAfter(attempt, turn.now);
    if (guarded?.isForwarded !== true)
      this.#passToAttempt(turn, { ...message, load: load ?? message.load });
    else turn.outputs.push({ kind: 'relay', id: guarded.id, attempt, load });
  }

  #completeAnswer(turn: Turn, message: Extract<CallIn, { kind: 'answer-complete' }>): void {
    const { attempt } = message;
    const open = turn.state.attempt.attempts.get(attempt);
    this.#endGuarded(turn, attempt, 'answered');
    if (open !== undefined) {
      const { id } = open.call.routed.head;
      this.#passToClaim(turn, { kind: 'answered', id, answer: message.answer });
    }
    this.#passToAttempt(turn, { kind: 'answer-complete', attempt });
  }

  #handleFailure(turn: Turn, message: Extract<CallIn, { kind: 'attempt-failed' }>): void {
    const { attempt, failure, ending } = message;
    const guarded = turn.state.guarded.get(attempt);
    this.#endGuarded(turn, attempt, ending);
    if (guarded?.isForwarded !== true) this.#passToAttempt(turn, message);
    else turn.outputs.push({ kind: 'refuse', id: guarded.id, ...failure });
  }

  #endGuarded(turn: Turn, attempt: AttemptId, ending: RunEnding): void {
    const { state } = turn;
    const server = state.guard.places.get(attempt)?.address;
    const isForwarded = state.guarded.get(attempt)?.isForwarded === true;
    if (!state.guarded.delete(attempt)) return;
    this.#passToGuard(turn, { kind: 'run-ended', attempt, ending });
    if (isForwarded && server !== undefined) this.#observe(turn, server, ending);
  }

  /** Tells what a forwarded attempt saw; the entry proxy tells only its own membership. */
  #observe(turn: Turn, server: Address, ending: RunEnding): void {
    const { failing } = turn.state;
    if (ending === 'cancelled' || ending === 'shed') return;
    const hasFailed = ending !== 'answered';
    if (hasFailed) failing.add(server);
    else if (!failing.delete(server)) return;
    const outcome = hasFailed ? 'failed' : 'answered';
    turn.outputs.push({ kind: 'observed', host: this.#host, server, outcome });
  }

  /** A claimed call runs on without its caller, so that a resend finds its answer. */
  #handleGone(turn: Turn, id: CallId): void {
    this.#passToIntake(turn, { kind: 'gone', id });
    this.#withdrawForwarded(turn, id);
    this.#passToClaim(turn, { kind: 'gone', id });
    if (this.#claim.hasGranted(turn.state.claim, id)) return;
    this.#passToAttempt(turn, { kind: 'gone', id });
  }

  #withdrawForwarded(turn: Turn, id: CallId): void {
    const attempt = formForwardedAttempt(id);
    if (turn.state.guarded.has(attempt)) this.#withdraw(turn, attempt);
  }

  /** An attempt that only waited is gone at once; one that ran ends when its connection closes. */
  #withdraw(turn: Turn, attempt: AttemptId): void {
    this.#passToGuard(turn, { kind: 'withdraw', attempt });
    if (!turn.state.guard.places.has(attempt)) turn.state.guarded.delete(attempt);
  }

  /** An attempt that only waited has ended, and certainly did not run. */
  #stopLocal(turn: Turn, attempt: AttemptId): void {
    this.#withdraw(turn, attempt);
    if (turn.state.guarded.has(attempt)) return;
    const failure = { outcome: 'not-run', reason: 'deadline' } as const;
    this.#passToAttempt(turn, { kind: 'attempt-failed', attempt, failure });
  }

  #passToClassify(turn: Turn, message: ClassifyIn): void {
    const step = this.#classify.decide(turn.state.classify, message, turn.now);
    turn.state.classify = step.state;
    for (const output of step.outputs) this.#routeClassified(turn, output);
  }

  #routeClassified(turn: Turn, output: ClassifyOut): void {
    if (output.kind === 'routed') this.#passToIntake(turn, output);
    else if (output.kind === 'limits') turn.outputs.push(output);
    else turn.outputs.push({ ...output, kind: 'refuse', outcome: 'not-run' });
  }

  #passToIntake(turn: Turn, message: IntakeIn): void {
    const step = this.#intake.decide(turn.state.intake, message, turn.now);
    turn.state.intake = step.state;
    for (const output of step.outputs) this.#routeTaken(turn, output);
  }

  #routeTaken(turn: Turn, output: IntakeOut): void {
    switch (output.kind) {
      case 'routed':
        this.#passToClaim(turn, output);
        return;
      case 'forwarded':
        turn.state.guarded.set(output.head.attempt, formForwardedCall(output));
        this.#passToGuard(turn, { kind: 'admit', head: output.head });
        return;
      case 'refuse':
      case 'want-turn':
        turn.outputs.push(output);
        return;
    }
  }

  #passToClaim(turn: Turn, message: ClaimIn): void {
    const step = this.#claim.decide(turn.state.claim, message, turn.now);
    turn.state.claim = step.state;
    for (const output of step.outputs) this.#routeClaimed(turn, output);
  }

  #routeClaimed(turn: Turn, output: ClaimOut): void {
    if (output.kind === 'claimed') this.#passToAttempt(turn, output);
    else turn.outputs.push(output);
  }

  #passToAttempt(turn: Turn, message: AttemptIn): void {
    const step = this.#attempt.decide(turn.state.attempt, message, turn.now);
    turn.state.attempt = step.state;
    for (const output of step.outputs) this.#routeAttempt(turn, output);
  }

  #routeAttempt(turn: Turn, output: AttemptOut): void {
    const { guarded } = turn.state;
    switch (output.kind) {
      case 'dispatch':
        if (output.target.host !== this.#host) break;
        guarded.set(output.head.attempt, formLocalCall(output));
        this.#passToGuard(turn, { kind: 'admit', head: output.head });
        return;
      case 'cancel':
        if (!guarded.has(output.attempt)) break;
        this.#stopLocal(turn, output.attempt);
        return;
      case 'refuse':
        this.#passToClaim(turn, { kind: 'failed', id: output.id, outcome: output.outcome });
        break;
      case 'relay':
        turn.outputs.push({ ...output, load: undefined });
        return;
      default:
        break;
    }
    turn.outputs.push(output);
  }

  #passToGuard(turn: Turn, message: GuardIn): void {
    const step = this.#guard.decide(turn.state.guard, message, turn.now);
    turn.state.guard = step.state;
    for (const output of step.outputs) this.#routeGuarded(turn, output);
  }

  #routeGuarded(turn: Turn, output: GuardOut): void {
    const { guarded } = turn.state;
    if (output.kind === 'run') {
      const call = guarded.get(output.head.attempt);
      if (call === undefined) return;
      const { id, count, keepsAnswer } = call;
      turn.outputs.push({ ...output, id, count, keepsAnswer });
    } else if (output.kind === 'reject') {
      const { attempt, reason, load } = output;
      const told = load === undefined ? {} : { load };
      this.#rejectGuarded(turn, attempt, { outcome: 'not-run', reason, ...told });
    } else {
      turn.outputs.push(output);
    }
  }

  #rejectGuarded(turn: Turn, attempt: AttemptId, failure: AttemptFailure): void {
    const call = turn.state.guarded.get(attempt);
    turn.state.guarded.delete(attempt);
    if (call?.isForwarded === true) turn.outputs.push({ kind: 'refuse', id: call.id, ...failure });
    else this.#passToAttempt(turn, { kind: 'attempt-failed', attempt, failure });
  }
}

/** Forms the id under which the guard knows an attempt that another proxy has sent. */
export function formForwardedAttempt(id: CallId): AttemptId {
  return `${id}.forwarded` as AttemptId;
}

// Internals.

/** An attempt at a server beside this proxy. */
interface GuardedCall {
  readonly id: CallId;
  readonly count: number;
  readonly isForwarded: boolean;
  readonly keepsAnswer: boolean;
}

function formLocalCall(dispatch: Extract<AttemptOut, { kind: 'dispatch' }>): GuardedCall {
  const { id, count, keepsAnswer } = dispatch;
  return { id, count, isForwarded: false, keepsAnswer };
}

function formForwardedCall({ id, count }: ForwardedAttempt): GuardedCall {
  return { id, count, isForwarded: true, keepsAnswer: false };
}

/** The handling of one message. */
class Turn {
  readonly state: CallPipeState;
  readonly now: Instant;
  readonly outputs: CallOut[];

  constructor(state: CallPipeState, now: Instant, outputs: CallOut[]) {
    this.state = state;
    this.now = now;
    this.outputs = outputs;
  }
}
