/** The state of the allowance filter. */
import { NEVER } from '../clock.js';
import type { CallId, ClientAccountName, Instant, ProxyLife } from '../ids.js';
import { AccountBuckets } from './account-buckets.js';
import { AllowanceLease } from './allowance-lease.js';
import { GrantorFinder } from './grantor-finder.js';
import { LimitTable } from './limit-table.js';
import { TokenQueue } from './token-queue.js';

/** A call that holds a token. */
export interface ChargedCall {
  readonly account: ClientAccountName;
  isSent: boolean;
}

/** The state of the allowance filter; updated in place. */
export interface AllowanceState<Call> {
  readonly table: LimitTable;
  readonly buckets: AccountBuckets;
  readonly lease: AllowanceLease;
  readonly finder: GrantorFinder;
  readonly queue: TokenQueue<Call>;
  /** The calls that hold a token, with their account and whether they were sent to a backend server. */
  readonly charged: Map<CallId, ChargedCall>;
  hasLease: boolean;
  /** When the next report is due. */
  reportAt: Instant;
  reportedAt: Instant;
  /** When the wait for the answer to a report ends; {@link NEVER} if none is awaited. */
  answerBy: Instant;
  /** When the wait for single tokens ends; {@link NEVER} if none were asked for. */
  tokensBy: Instant;
  /** Whether the last wait for an answer was in vain. */
  isSilent: boolean;
  /** The earliest tick that was requested. */
  wakeAt: Instant;
}

/** Creates the state of a process that has just started. */
export function createAllowanceState<Call>(life: ProxyLife): AllowanceState<Call> {
  return {
    table: new LimitTable(),
    buckets: new AccountBuckets(),
    lease: new AllowanceLease(life),
    finder: new GrantorFinder(),
    queue: new TokenQueue(),
    charged: new Map(),
    hasLease: false,
    reportAt: NEVER,
    reportedAt: 0 as Instant,
    answerBy: NEVER,
    tokensBy: NEVER,
    isSilent: false,
    wakeAt: NEVER,
  };
}
