/** Handles one message of the allowance filter. */
import { addMs, NEVER } from '../clock.js';
import type { Address, CallId, ClientAccountName, Instant } from '../ids.js';
import type { AllowanceReply } from '../messages/index.js';
import type { Configuration } from '../notes/index.js';
import type { AccountAllowance } from './account-allowance.js';
import type {
  AllowanceIn,
  AllowanceOut,
  AllowanceRefusal,
  LimitedCall,
} from './allowance-messages.js';
import type { AllowanceState } from './allowance-state.js';
import { ANSWER_TIMEOUT_MS, REPORT_MS, SHORT_REPORT_MS, SPOT_TOKEN_MS } from './lease-times.js';

/** The handling of one message. */
export class AllowanceDecision<Call extends LimitedCall> {
  readonly #state: AllowanceState<Call>;
  readonly #now: Instant;
  readonly #outputs: AllowanceOut<Call>[] = [];

  constructor(state: AllowanceState<Call>, now: Instant) {
    this.#state = state;
    this.#now = now;
  }

  handle(message: AllowanceIn<Call>): void {
    const state = this.#state;
    if (state.hasLease && !state.lease.isValid(this.#now)) this.#endLease();
    switch (message.kind) {
      case 'whole':
        this.#applyConfiguration(message.configuration);
        return;
      case 'sources':
        state.finder.updateSources(message.sources);
        return;
      case 'time-of-day':
        this.#checkClocks(message.at - this.#now);
        return;
      case 'routed':
        this.#admit(message.call);
        return;
      case 'allowance-reply':
        this.#handleReply(message.from, message.body);
        return;
      case 'sent':
        this.#markSent(message.id);
        return;
      case 'sent-again':
        this.#charge(message.id);
        return;
      case 'ended':
        this.#release(message.id, message.isNotRun);
        return;
      case 'gone':
        state.queue.remove(message.id);
        this.#release(message.id, state.charged.get(message.id)?.isSent === false);
        return;
      case 'tick':
        state.wakeAt = NEVER;
        return;
    }
  }

  /** Sends what is due, and returns the outputs. */
  finish(): readonly AllowanceOut<Call>[] {
    const state = this.#state;
    if (state.buckets.isEmpty) return this.#outputs;
    this.#refuseExpired();
    this.#endWaits();
    if (this.#now >= state.reportAt) this.#sendReport();
    this.#sendAsk();
    this.#requestTick();
    return this.#outputs;
  }

  // Internals.

  #applyConfiguration(configuration: Configuration): void {
    const { buckets, table } = this.#state;
    if (!table.update(configuration)) return;
    const wasEmpty = buckets.isEmpty;
    buckets.updateLimits(table.limits, this.#now);
    if (wasEmpty === buckets.isEmpty) return;
    this.#outputs.push({ kind: 'allowances', isLimited: !buckets.isEmpty });
    if (buckets.isEmpty) this.#stop();
    else this.#state.reportAt = this.#now;
  }

  /** No account has a limit any more: nothing is sent, and no call is held back. */
  #stop(): void {
    const state = this.#state;
    for (const { call } of state.queue.takeAll()) this.#outputs.push({ kind: 'routed', call });
    state.charged.clear();
    state.lease.end();
    state.lease.forgetRequests();
    state.hasLease = false;
    state.reportAt = NEVER;
    state.answerBy = NEVER;
    state.tokensBy = NEVER;
    state.wakeAt = NEVER;
  }

  #checkClocks(offset: number): void {
    if (this.#state.lease.handleClockOffset(offset)) this.#endLease();
  }

  /** Drops all shares, and refuses the calls that wait. */
  #endLease(): void {
    const state = this.#state;
    state.hasLease = false;
    state.lease.end();
    this.#restartRequests();
    state.buckets.dropAll(this.#now);
    state.reportAt = this.#now;
    this.#pushLease(false);
    for (const { id, account } of state.queue.takeAll()) this.#refuse(id, account, 'no-allowance');
  }

  #admit(call: Call): void {
    const { account: owner, head } = call;
    const name = owner?.name;
    const account = name === undefined ? undefined : this.#state.buckets.find(name);
    if (name === undefined || account === undefined) return;
    account.addCall();
    if (!this.#state.hasLease) this.#refuse(head.id, name, 'no-allowance');
    else if (account.takeToken(this.#now)) this.#pass(call, name);
    else this.#waitForToken(call, name, account);
  }

  #reportSoon(): void {
    const state = this.#state;
    const at = addMs(state.reportedAt, SHORT_REPORT_MS);
    state.reportAt = Math.min(state.reportAt, at) as Instant;
  }

  #pass(call: Call, account: ClientAccountName): void {
    this.#state.charged.set(call.head.id, { account, isSent: false });
    this.#outputs.push({ kind: 'routed', call });
  }

  #waitForToken(call: Call, name: ClientAccountName, account: AccountAllowance): void {
    const state = this.#state;
    const { id } = call.head;
    if (!account.isUnshared && account.hasRisen(this.#now)) this.#reportSoon();
    if (this.#now < account.refusedUntil) this.#refuseEmpty(id, name, account);
    else if (state.isSilent || state.queue.size >= MAX_WAITING_CALLS) {
      this.#refuse(id, name, 'no-allowance');
    } else {
      const until = findWaitEnd(call, this.#now);
      state.queue.add({ id, account: name, call, until, isAsked: false });
    }
  }

  /** Refuses a call for which the grantor has no token. */
  #refuseEmpty(id: CallId, name: ClientAccountName, { isLocked }: AccountAllowance): void {
    this.#refuse(id, name, isLocked ? 'no-allowance' : 'over-allowance');
  }

  #refuse(id: CallId, name: ClientAccountName, reason: AllowanceRefusal['reason']): void {
    const { buckets, lease } = this.#state;
    const account = buckets.find(name);
    this.#outputs.push({
      kind: 'refuse',
      id,
      reason,
      outcome: 'not-run',
      ...(reason === 'over-allowance' ? { retryAfterMs: this.#findRetryMs(account) } : {}),
      allowance: {
        left: account?.bucket.measure(this.#now) ?? 0,
        share: account?.bucket.share ?? 0,
        grantor: lease.grantor,
        term: lease.term,
      },
    });
  }

  /** A token is there when the share's bucket or the grantor's reserve has the next one. */
  #findRetryMs(account: AccountAllowance | undefined): number {
    if (account === undefined) return MS_UNKNOWN_RETRY;
    const next = Math.min(account.bucket.findNextAt(this.#now), account.refusedUntil);
    return Math.max(MIN_RETRY_MS, Math.ceil(next - this.#now));
  }

  #markSent(id: CallId): void {
    const charged = this.#state.charged.get(id);
    if (charged !== undefined) charged.isSent = true;
  }

  #charge(id: CallId): void {
    const { charged, buckets } = this.#state;
    const call = charged.get(id);
    if (call !== undefined) buckets.find(call.account)?.charge(this.#now);
  }

  /** Forgets a call; one that has not run gives its token back. */
  #release(id: CallId, isNotRun: boolean): void {
    const { charged, buckets, hasLease } = this.#state;
    const call = charged.get(id);
    charged.delete(id);
    if (call === undefined || !isNotRun || !hasLease) return;
    buckets.find(call.account)?.returnToken(this.#now);
  }

  #handleReply(from: Address, reply: AllowanceReply): void {
    switch (reply.kind) {
      case 'not-leader':
        this.#changeGrantor(from, reply.leader);
        return;
      case 'recall':
        this.#handleRecall(from, reply);
        return;
      case 'tokens':
        this.#handleTokens(from, reply);
        return;
      case 'grant':
        this.#handleGrant(from, reply);
        return;
    }
  }

  /** Tries the next source host at once, but asks no more often than a proxy that is short of tokens. */
  #changeGrantor(from: Address, leader: Address | undefined): void {
    const state = this.#state;
    if (from !== state.finder.current) return;
    state.finder.change(leader);
    this.#restartRequests();
    state.isSilent ||= leader === undefined;
    state.reportAt = leader === undefined ? addMs(state.reportedAt, SHORT_REPORT_MS) : this.#now;
  }

  #restartRequests(): void {
    const state = this.#state;
    state.lease.forgetRequests();
    state.queue.forgetAsked();
    state.answerBy = NEVER;
    state.tokensBy = NEVER;
  }

  #handleRecall(
    from: Address,
    { term, shares }: Extract<AllowanceReply, { kind: 'recall' }>,
  ): void {
    const state = this.#state;
    if (from !== state.finder.current || !state.lease.acceptRecall(term)) return;
    if (state.buckets.lowerShares(shares, this.#now)) state.reportAt = this.#now;
  }

  #handleGrant(from: Address, grant: Extract<AllowanceReply, { kind: 'grant' }>): void {
    const state = this.#state;
    const sentAt = state.lease.renew(from, grant, this.#now);
    if (sentAt === undefined) return;
    state.answerBy = NEVER;
    state.isSilent = false;
    const hasLowered = this.#lowers(grant.shares);
    state.buckets.applyShares(grant, sentAt, this.#now);
    // The grantor hands out what this proxy has given up only after the next report.
    // The first answer tells this life to the grantor, which counts it after the next report.
    if (hasLowered || grant.isWhole) state.reportAt = this.#now;
    if (state.hasLease) return;
    state.hasLease = true;
    this.#pushLease(true);
  }

  #lowers(shares: Extract<AllowanceReply, { kind: 'grant' }>['shares']): boolean {
    const { buckets } = this.#state;
    return shares.some(([name, share]) => (buckets.find(name)?.bucket.share ?? 0) > share);
  }

  #handleTokens(from: Address, reply: Extract<AllowanceReply, { kind: 'tokens' }>): void {
    const state = this.#state;
    const sentAt = state.lease.acceptReply(from, reply);
    if (sentAt === undefined) return;
    state.tokensBy = NEVER;
    state.isSilent = false;
    const endsAt = addMs(sentAt, SPOT_TOKEN_MS);
    if (this.#now >= endsAt || !state.hasLease) return;
    for (const [name, count, nextInMs, isLocked] of reply.tokens) {
      const account = state.buckets.find(name);
      if (account === undefined) continue;
      account.addSingleTokens(count, endsAt);
      account.isLocked = isLocked;
      const waiters = state.queue.takeAsked(name);
      if (count < waiters.length) account.refusedUntil = addMs(this.#now, nextInMs);
      for (const { call } of waiters) {
        if (account.takeToken(this.#now)) this.#pass(call, name);
        else this.#refuseEmpty(call.head.id, name, account);
      }
    }
  }

  /** A call whose wait has ended takes a token that has come meanwhile. */
  #refuseExpired(): void {
    const { queue, buckets } = this.#state;
    if (queue.size === 0) return;
    for (const { id, account, call } of queue.takeExpired(this.#now)) {
      if (buckets.find(account)?.takeToken(this.#now) === true) this.#pass(call, account);
      else this.#refuse(id, account, 'no-allowance');
    }
  }

  /** A source host that does not answer is replaced by the next one. */
  #endWaits(): void {
    const state = this.#state;
    if (this.#now < Math.min(state.answerBy, state.tokensBy)) return;
    state.isSilent = true;
    state.finder.change();
    this.#restartRequests();
    state.reportAt = this.#now;
  }

  #sendReport(): void {
    const state = this.#state;
    const to = state.finder.current;
    state.reportAt = addMs(this.#now, REPORT_MS);
    if (to === undefined) return;
    const { life, applied } = state.lease;
    const number = state.lease.addRequest(to, this.#now);
    const accounts = state.buckets.listUse(this.#now);
    const body = { kind: 'report', life, number, applied, accounts } as const;
    this.#outputs.push({ kind: 'allowance-request', to, body });
    state.reportedAt = this.#now;
    state.answerBy = Math.min(state.answerBy, addMs(this.#now, ANSWER_TIMEOUT_MS)) as Instant;
  }

  /** Asks for the tokens of all waiting calls at once; the next request waits for the answer. */
  #sendAsk(): void {
    const state = this.#state;
    const to = state.finder.current;
    if (to === undefined || state.queue.size === 0 || state.tokensBy < NEVER) return;
    const tokens = state.queue.takeUnasked();
    if (tokens.length === 0) return;
    const number = state.lease.addRequest(to, this.#now);
    const body = { kind: 'ask', life: state.lease.life, number, tokens } as const;
    this.#outputs.push({ kind: 'allowance-request', to, body });
    state.tokensBy = addMs(this.#now, ANSWER_TIMEOUT_MS);
  }

  #requestTick(): void {
    const state = this.#state;
    const { reportAt, answerBy, tokensBy, lease, hasLease, queue } = state;
    const leaseEnd = hasLease ? lease.until : NEVER;
    const waitEnd = queue.size === 0 ? NEVER : queue.findDeadline();
    const at = Math.min(reportAt, answerBy, tokensBy, leaseEnd, waitEnd) as Instant;
    if (at >= state.wakeAt) return;
    state.wakeAt = at;
    this.#outputs.push({ kind: 'wake', at });
  }

  #pushLease(isValid: boolean): void {
    const { grantor, term } = this.#state.lease;
    this.#outputs.push({ kind: 'allowance-lease', isValid, grantor, term });
  }
}

// Internals.

/** The part of the time until its full-value deadline for which a call waits for a token, and the most. */
const WAIT_SHARE = 1 / 4;
const MAX_WAIT_MS = 250;
const MAX_WAITING_CALLS = 1_024;
/** Single tokens come in steps of this length at the earliest; see the grantor's confirmations. */
const MIN_RETRY_MS = 20;
const MS_UNKNOWN_RETRY = 1_000;

function findWaitEnd({ aim, deadline }: LimitedCall, now: Instant): Instant {
  const end = aim !== undefined && aim > now ? aim : deadline;
  return addMs(now, Math.min(MAX_WAIT_MS, (end - now) * WAIT_SHARE));
}
