/** Lets a call of a limited client account pass only with a token of the account's limit. */
import type { Instant, ProxyLife } from '../ids.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import { AllowanceDecision } from './allowance-decision.js';
import type { AllowanceIn, AllowanceOut, LimitedCall } from './allowance-messages.js';
import type { AllowanceState } from './allowance-state.js';
import { createAllowanceState } from './allowance-state.js';

/**
 * Charges each call of a limited account one token: of the proxy's share, or a single one that it asks the grantor
 * for. Other calls pass untouched, and without a limited account the filter sends nothing.
 */
export class AllowanceFilter<Call extends LimitedCall> extends Filter<
  AllowanceState<Call>,
  AllowanceIn<Call>,
  AllowanceOut<Call>
> {
  readonly #life: ProxyLife;

  /** @param life Identifies this life of the process; no other life has the same. */
  constructor(life: ProxyLife) {
    super();
    this.#life = life;
  }

  override createState(): AllowanceState<Call> {
    return createAllowanceState(this.#life);
  }

  override decide(
    state: AllowanceState<Call>,
    message: AllowanceIn<Call>,
    now: Instant,
  ): Step<AllowanceState<Call>, AllowanceOut<Call>> {
    if (message.kind === 'routed' && isUnlimited(state, message.call)) {
      return { state, outputs: [message] };
    }
    if (state.buckets.isEmpty && message.kind !== 'whole' && message.kind !== 'sources') {
      return { state, outputs: NO_OUTPUTS };
    }
    const decision = new AllowanceDecision(state, now);
    decision.handle(message);
    return { state, outputs: decision.finish() };
  }
}

// Internals.

const NO_OUTPUTS: readonly never[] = [];

function isUnlimited(state: AllowanceState<unknown>, { account }: LimitedCall): boolean {
  return account === undefined || state.buckets.find(account.name) === undefined;
}
