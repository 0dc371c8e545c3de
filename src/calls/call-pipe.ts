/**
 * Composes the filters of the call path (classify → allowance → intake → claim → attempt → guard) into one filter.
 * Forwarded attempts with large bodies pass the body filter between intake and guard.
 */
import type { AllowanceIn, AllowanceOut, AllowanceState } from '../allowances/index.js';
import { AllowanceFilter } from '../allowances/index.js';
import type { Address, AttemptId, CallId, HostId, Instant, ProxyLife } from '../ids.js';
import type {
  AttemptFailure,
  CallHead,
  MemberEvent,
  RefusalReason,
  ServerLoad,
} from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { AttemptIn, AttemptOut } from './attempt-messages.js';
import type { AttemptState } from './attempt-state.js';
import { AttemptFilter } from './attempt-filter.js';
import type { BodyIn, BodyOut, BodyState } from './body-filter.js';
import { BodyFilter } from './body-filter.js';
import { addBodies, addBodyTime } from './body-load.js';
import type { ClaimIn, ClaimOut, ClaimState } from './claim-filter.js';
import { ClaimFilter } from './claim-filter.js';
import type { ClassifyIn, ClassifyOut, ClassifyState, RoutedCall } from './classify-filter.js';
import { ClassifyFilter } from './classify-filter.js';
import type { GuardIn, GuardOut, GuardState, RunEnding } from './guard-filter.js';
import { GuardFilter } from './guard-filter.js';
import type { CallIn, CallOut } from './call-pipe-messages.js';
import { buildExplanation } from './explain-call.js';
import type { ForwardedAttempt, IntakeIn, IntakeOut, IntakeState } from './intake-filter.js';
import { IntakeFilter } from './intake-filter.js';
import type { HedgingOptions } from './hedging.js';
import type { Picker } from './picker.js';
import type { RetryBudgetLimits } from './retry-budget.js';
import type { Locality } from './server-table.js';
import { RunObserver } from './run-observer.js';
import type { SlotPolicy } from './slot-policy.js';

/** Options of {@link CallPipe}. */
export interface CallPipeOptions {
  readonly place: Locality;
  readonly picker: Picker;
  readonly createPolicy: () => SlotPolicy;
  readonly retries?: RetryBudgetLimits | undefined;
  readonly hedging?: HedgingOptions | undefined;
  /** Whether keys are accepted only until the instant of the last `keys-trusted`. */
  readonly isRevocationStrict?: boolean | undefined;
  /** The bandwidth of the link of this host, if configured; large bodies then need a permission. */
  readonly linkBytesPerSecond?: number | undefined;
  /** Identifies this life of the process to the grantor of allowances. */
  readonly life?: ProxyLife | undefined;
  /** See {@link AttemptOptions.versionPhase}. */
  readonly versionPhase?: (() => number) | undefined;
}

/** The states of the filters, and the attempts at backend servers beside this proxy. */
export interface CallPipeState {
  classify: ClassifyState;
  allowance: AllowanceState<RoutedCall>;
  intake: IntakeState;
  claim: ClaimState;
  attempt: AttemptState;
  /** Undefined if the bandwidth of the link is not configured. */
  bodies: BodyState | undefined;
  guard: GuardState;
  readonly guarded: Map<AttemptId, GuardedAttempt>;
  /** The runs beside this proxy that a roll-out counts. */
  readonly runs: RunObserver;
  /** Servers beside this proxy with a failed forwarded attempt and no answered one since. */
  readonly failing: Set<Address>;
  isDraining: boolean;
}

/** Routes each message to its filter, and the outputs of each filter to the next one. */
export class CallPipe extends Filter<CallPipeState, CallIn, CallOut> {
  readonly #host: HostId;
  readonly #picker: Picker;
  readonly #classify: ClassifyFilter;
  readonly #allowance: AllowanceFilter<RoutedCall>;
  readonly #intake = new IntakeFilter();
  readonly #claim = new ClaimFilter();
  readonly #attempt: AttemptFilter;
  readonly #bodies: BodyFilter | undefined;
  readonly #guard: GuardFilter;

  constructor(options: CallPipeOptions) {
    super();
    const { place, picker, createPolicy, retries, hedging, isRevocationStrict } = options;
    const { linkBytesPerSecond: link, versionPhase } = options;
    this.#allowance = new AllowanceFilter(options.life ?? (place.host as string as ProxyLife));
    this.#host = place.host;
    this.#picker = picker;
    this.#classify = new ClassifyFilter(place.host, isRevocationStrict);
    const asksForBodies = link !== undefined;
    this.#attempt = new AttemptFilter({
      place,
      picker,
      retries,
      hedging,
      asksForBodies,
      versionPhase,
    });
    this.#bodies = link === undefined ? undefined : new BodyFilter(link);
    this.#guard = new GuardFilter(createPolicy);
  }

  override createState(): CallPipeState {
    return {
      classify: this.#classify.createState(),
      allowance: this.#allowance.createState(),
      intake: this.#intake.createState(),
      claim: this.#claim.createState(),
      attempt: this.#attempt.createState(),
      bodies: this.#bodies?.createState(),
      guard: this.#guard.createState(),
      guarded: new Map(),
      runs: new RunObserver(),
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
    const context = new MessageContext(state, now, outputs);
    this.#route(context, message);
    if (state.allowance.charged.size > 0) this.#settleTokens(context);
    return { state, outputs };
  }

  // Internals.

  #route(context: MessageContext, message: CallIn): void {
    const { state } = context;
    switch (message.kind) {
      case 'whole':
        this.#passToClassify(context, message);
        this.#passToAllowance(context, message);
        if (state.attempt.versions !== undefined) this.#passToAttempt(context, message);
        return;
      case 'time-of-day':
      case 'sources':
      case 'allowance-reply':
        this.#passToAllowance(context, message);
        return;
      case 'stale':
      case 'keys-trusted':
        this.#passToClassify(context, message);
        return;
      case 'leader-heard':
        this.#passToAttempt(context, message);
        return;
      case 'arrived':
        this.#accept(context, message.head);
        return;
      case 'forwarded':
      case 'turn':
      case 'turn-over':
        this.#passToIntake(context, message);
        return;
      case 'body-part':
      case 'body-ready':
      case 'body-complete':
        this.#passToBodies(context, message);
        return;
      case 'member-up':
      case 'member-gone':
        this.#updateMembers(context, message);
        return;
      case 'answer-started':
        this.#handleAnswer(context, message);
        return;
      case 'answer-complete':
        this.#completeAnswer(context, message);
        return;
      case 'attempt-failed':
        this.#handleFailure(context, message);
        return;
      case 'gone':
        this.#handleGone(context, message.id);
        return;
      case 'ledger-answer':
        this.#passToClaim(context, message);
        return;
      case 'broadcast':
      case 'probed':
        this.#passToGuard(context, message);
        return;
      case 'stopping':
        this.#passToClassify(context, message);
        this.#passToIntake(context, message);
        this.#passToAttempt(context, message);
        this.#passToBodies(context, message);
        this.#passToGuard(context, message);
        return;
      case 'explain': {
        const { id, query } = message;
        const explanation = buildExplanation(state, this.#picker, query, context.now);
        context.outputs.push({ kind: 'explained', id, explanation });
        return;
      }
      case 'drain':
        state.isDraining = true;
        this.#passToBodies(context, message);
        this.#passToGuard(context, message);
        return;
      case 'tick':
        this.#passToAllowance(context, message);
        this.#passToClaim(context, message);
        this.#passToAttempt(context, message);
        this.#passToBodies(context, message);
        this.#passToGuard(context, message);
        return;
    }
  }

  #accept(context: MessageContext, head: CallHead): void {
    if (context.state.isDraining) {
      context.outputs.push({ kind: 'refuse', id: head.id, reason: 'draining', outcome: 'not-run' });
      return;
    }
    this.#passToClassify(context, { kind: 'arrived', head });
  }

  #updateMembers(context: MessageContext, event: MemberEvent): void {
    this.#passToAttempt(context, event);
    if (event.kind === 'member-gone' || event.member.host !== this.#host) return;
    this.#passToGuard(context, { kind: 'servers', servers: event.member.servers });
  }

  #handleAnswer(
    context: MessageContext,
    message: Extract<CallIn, { kind: 'answer-started' }>,
  ): void {
    const { attempt } = message;
    const guarded = context.state.guarded.get(attempt);
    const server = context.state.guard.serversByAttempt.get(attempt);
    const measured = server?.measureLoadAfter(attempt, context.now);
    const { bodies } = context.state;
    const load = addBodies(bodies, addBodyTime(bodies, attempt, measured, context.now));
    context.outputs.push(...context.state.runs.handleAnswer(attempt, message.status));
    if (guarded?.isForwarded !== true)
      this.#passToAttempt(context, { ...message, load: load ?? message.load });
    else context.outputs.push({ kind: 'relay', id: guarded.id, attempt, load });
  }

  #completeAnswer(
    context: MessageContext,
    message: Extract<CallIn, { kind: 'answer-complete' }>,
  ): void {
    const { attempt } = message;
    const open = context.state.attempt.attempts.get(attempt);
    this.#endGuarded(context, attempt, 'answered');
    if (open !== undefined) {
      const { id } = open.call.routed.head;
      this.#passToClaim(context, { kind: 'answered', id, answer: message.answer });
    }
    this.#passToAttempt(context, { kind: 'answer-complete', attempt });
  }

  #handleFailure(
    context: MessageContext,
    message: Extract<CallIn, { kind: 'attempt-failed' }>,
  ): void {
    const { attempt, failure, ending } = message;
    const guarded = context.state.guarded.get(attempt);
    this.#endGuarded(context, attempt, ending);
    if (guarded?.isForwarded !== true) this.#passToAttempt(context, message);
    else context.outputs.push({ kind: 'refuse', id: guarded.id, ...failure });
  }

  #endGuarded(context: MessageContext, attempt: AttemptId, ending: RunEnding): void {
    const { state } = context;
    const server = state.guard.serversByAttempt.get(attempt)?.address;
    const isForwarded = state.guarded.get(attempt)?.isForwarded === true;
    if (!state.guarded.delete(attempt)) return;
    context.outputs.push(...state.runs.handleEnd(attempt, ending));
    this.#passToGuard(context, { kind: 'run-ended', attempt, ending });
    if (isForwarded && server !== undefined) this.#observe(context, server, ending);
  }

  /**
   * Reports the outcome of a forwarded attempt to the membership; the entry proxy reports only to its own membership.
   */
  #observe(context: MessageContext, server: Address, ending: RunEnding): void {
    const { failing } = context.state;
    if (ending === 'cancelled' || ending === 'shed') return;
    const hasFailed = ending !== 'answered';
    if (hasFailed) failing.add(server);
    else if (!failing.delete(server)) return;
    const outcome = hasFailed ? 'failed' : 'answered';
    context.outputs.push({ kind: 'observed', host: this.#host, server, outcome });
  }

  /** A call with a granted claim continues without its caller, so that a resend gets the stored answer. */
  #handleGone(context: MessageContext, id: CallId): void {
    // A call that continues may still run, so it keeps its token.
    if (this.#claim.hasGranted(context.state.claim, id)) {
      this.#passToAllowance(context, { kind: 'sent', id });
    }
    this.#passToAllowance(context, { kind: 'gone', id });
    this.#passToIntake(context, { kind: 'gone', id });
    this.#withdrawForwarded(context, id);
    this.#passToClaim(context, { kind: 'gone', id });
    if (this.#claim.hasGranted(context.state.claim, id)) return;
    this.#passToAttempt(context, { kind: 'gone', id });
  }

  #withdrawForwarded(context: MessageContext, id: CallId): void {
    const attempt = buildForwardedAttempt(id);
    if (context.state.guarded.has(attempt)) this.#withdraw(context, attempt);
    this.#passToBodies(context, { kind: 'ended', attempt });
  }

  /** Removes a waiting attempt immediately; a running one ends when its connection closes. */
  #withdraw(context: MessageContext, attempt: AttemptId): void {
    this.#passToGuard(context, { kind: 'withdraw', attempt });
    if (!context.state.guard.serversByAttempt.has(attempt)) context.state.guarded.delete(attempt);
  }

  /** Cancels a local attempt; one that was still waiting fails as `not-run`. */
  #stopLocal(context: MessageContext, attempt: AttemptId): void {
    this.#withdraw(context, attempt);
    if (context.state.guarded.has(attempt)) return;
    const failure = { outcome: 'not-run', reason: 'deadline' } as const;
    this.#passToAttempt(context, { kind: 'attempt-failed', attempt, failure });
  }

  #passToClassify(context: MessageContext, message: ClassifyIn): void {
    const step = this.#classify.decide(context.state.classify, message, context.now);
    context.state.classify = step.state;
    for (const output of step.outputs) this.#routeClassified(context, output);
  }

  #routeClassified(context: MessageContext, output: ClassifyOut): void {
    const { outputs } = context;
    if (output.kind === 'limits') {
      outputs.push(output);
    } else if (output.kind === 'routed') {
      const { head, version, verified: account } = output.call;
      outputs.push({ kind: 'classified', id: head.id, version, account });
      this.#passToAllowance(context, output);
    } else {
      const { id, reason, version } = output;
      if (version !== undefined) outputs.push({ kind: 'classified', id, version });
      outputs.push({ kind: 'refuse', id, reason, outcome: 'not-run' });
    }
  }

  #passToAllowance(context: MessageContext, message: AllowanceIn<RoutedCall>): void {
    const step = this.#allowance.decide(context.state.allowance, message, context.now);
    context.state.allowance = step.state;
    for (const output of step.outputs) this.#routeAllowed(context, output);
  }

  #routeAllowed(context: MessageContext, output: AllowanceOut<RoutedCall>): void {
    if (output.kind === 'routed') this.#passToIntake(context, output);
    else context.outputs.push(output);
  }

  /** Tells the allowance filter which calls were sent to a backend server, and which have ended without a run. */
  #settleTokens(context: MessageContext): void {
    const { charged } = context.state.allowance;
    for (const output of context.outputs) {
      const message = buildSettlement(output);
      if (message !== undefined && charged.has(message.id)) this.#passToAllowance(context, message);
    }
  }

  #passToIntake(context: MessageContext, message: IntakeIn): void {
    const step = this.#intake.decide(context.state.intake, message, context.now);
    context.state.intake = step.state;
    for (const output of step.outputs) this.#routeIntake(context, output);
  }

  #routeIntake(context: MessageContext, output: IntakeOut): void {
    switch (output.kind) {
      case 'routed':
        this.#passToClaim(context, output);
        return;
      case 'forwarded':
        context.state.guarded.set(output.head.attempt, buildGuardedForward(output));
        this.#askForBody(context, output);
        return;
      case 'refuse':
      case 'want-turn':
        context.outputs.push(output);
        return;
    }
  }

  /** Passes an attempt whose body needs a permission to the body filter, and any other one to the guard. */
  #askForBody(context: MessageContext, work: ForwardedAttempt): void {
    const { state, now } = context;
    const { head, bodyBytes: bytes } = work;
    if (bytes === undefined || this.#bodies === undefined) {
      this.#passToGuard(context, { kind: 'admit', head });
      return;
    }
    const judged = this.#guard.judgeArrival(state.guard, head, now);
    if (typeof judged === 'number') {
      this.#passToBodies(context, { kind: 'ask', work, bytes, runMs: judged });
    } else {
      this.#rejectGuarded(context, head.attempt, buildFailure(judged, judged.load));
    }
  }

  #passToBodies(context: MessageContext, message: BodyIn): void {
    const { bodies } = context.state;
    if (this.#bodies === undefined || bodies === undefined) return;
    if (bodies.asked.size === 0 && message.kind !== 'ask' && message.kind !== 'stopping') return;
    for (const output of this.#bodies.decide(bodies, message, context.now).outputs) {
      this.#routeBody(context, output);
    }
  }

  #routeBody(context: MessageContext, output: BodyOut): void {
    if (output.kind === 'forwarded') {
      this.#passToGuard(context, { kind: 'admit', head: output.head });
      return;
    }
    context.outputs.push(output);
    if (output.kind !== 'reject-body') return;
    const server = context.state.guard.servers.get(output.server);
    const load = addBodies(context.state.bodies, server?.measureLoad());
    this.#rejectGuarded(context, output.attempt, buildFailure(output, load));
  }

  #passToClaim(context: MessageContext, message: ClaimIn): void {
    const step = this.#claim.decide(context.state.claim, message, context.now);
    context.state.claim = step.state;
    for (const output of step.outputs) this.#routeClaimed(context, output);
  }

  #routeClaimed(context: MessageContext, output: ClaimOut): void {
    if (output.kind === 'claimed') this.#passToAttempt(context, output);
    else context.outputs.push(output);
  }

  #passToAttempt(context: MessageContext, message: AttemptIn): void {
    const step = this.#attempt.decide(context.state.attempt, message, context.now);
    context.state.attempt = step.state;
    for (const output of step.outputs) this.#routeAttempt(context, output);
  }

  #routeAttempt(context: MessageContext, output: AttemptOut): void {
    const { guarded } = context.state;
    switch (output.kind) {
      case 'dispatch':
        if (output.target.host !== this.#host) break;
        guarded.set(output.head.attempt, buildLocalAttempt(output));
        this.#passToGuard(context, { kind: 'admit', head: output.head });
        return;
      case 'cancel':
        if (!guarded.has(output.attempt)) break;
        this.#stopLocal(context, output.attempt);
        return;
      case 'refuse':
        this.#passToClaim(context, { kind: 'failed', id: output.id, outcome: output.outcome });
        break;
      case 'relay':
        context.outputs.push({ ...output, load: undefined });
        return;
      default:
        break;
    }
    context.outputs.push(output);
  }

  #passToGuard(context: MessageContext, message: GuardIn): void {
    const step = this.#guard.decide(context.state.guard, message, context.now);
    context.state.guard = step.state;
    for (const output of step.outputs) this.#routeGuarded(context, output);
  }

  #routeGuarded(context: MessageContext, output: GuardOut): void {
    const { guarded } = context.state;
    if (output.kind === 'run') {
      const call = guarded.get(output.head.attempt);
      if (call === undefined) return;
      const { id, count, keepsAnswer } = call;
      if (context.state.attempt.versions?.hasRunning === true)
        context.outputs.push(context.state.runs.handleStart(output.head, context.now));
      context.outputs.push({ ...output, id, count, keepsAnswer });
    } else if (output.kind === 'reject') {
      const load = addBodies(context.state.bodies, output.load);
      this.#rejectGuarded(context, output.attempt, buildFailure(output, load));
    } else {
      if (output.kind === 'stop-run') context.state.runs.handleStop(output);
      context.outputs.push(output);
    }
  }

  #rejectGuarded(context: MessageContext, attempt: AttemptId, failure: AttemptFailure): void {
    const call = context.state.guarded.get(attempt);
    context.state.guarded.delete(attempt);
    if (call?.isForwarded === true)
      context.outputs.push({ kind: 'refuse', id: call.id, ...failure });
    else this.#passToAttempt(context, { kind: 'attempt-failed', attempt, failure });
  }
}

/** Returns the id that the guard uses for an attempt forwarded by another proxy. */
export function buildForwardedAttempt(id: CallId): AttemptId {
  return `${id}.forwarded` as AttemptId;
}

// Internals.

/** An attempt at a backend server beside this proxy. */
interface GuardedAttempt {
  readonly id: CallId;
  readonly count: number;
  readonly isForwarded: boolean;
  readonly keepsAnswer: boolean;
}

function buildLocalAttempt(dispatch: Extract<AttemptOut, { kind: 'dispatch' }>): GuardedAttempt {
  const { id, count, keepsAnswer } = dispatch;
  return { id, count, isForwarded: false, keepsAnswer };
}

function buildGuardedForward({ id, count }: ForwardedAttempt): GuardedAttempt {
  return { id, count, isForwarded: true, keepsAnswer: false };
}

function buildFailure(
  { reason }: { readonly reason: RefusalReason },
  load: ServerLoad | undefined,
): AttemptFailure {
  return { outcome: 'not-run', reason, ...(load === undefined ? {} : { load }) };
}

type Settlement = Extract<AllowanceIn<RoutedCall>, { kind: 'sent' | 'sent-again' | 'ended' }>;

/** Builds what an output means for the token of its call. */
function buildSettlement(output: CallOut): Settlement | undefined {
  switch (output.kind) {
    case 'dispatch':
    case 'run':
      return { kind: 'sent', id: output.id };
    case 'sent-again':
      return output.outcome === 'unknown' ? { kind: 'sent-again', id: output.id } : undefined;
    case 'refuse':
      return { kind: 'ended', id: output.id, isNotRun: output.outcome === 'not-run' };
    case 'replay':
      return { kind: 'ended', id: output.id, isNotRun: true };
    default:
      return undefined;
  }
}

/** The state, time and outputs of the handling of one message. */
class MessageContext {
  readonly state: CallPipeState;
  readonly now: Instant;
  readonly outputs: CallOut[];

  constructor(state: CallPipeState, now: Instant, outputs: CallOut[]) {
    this.state = state;
    this.now = now;
    this.outputs = outputs;
  }
}
