/** The grantor's ledger: which proxy may hold which shares in its term. */
import { addMs } from '../clock.js';
import type { ClientAccountName, HostId, Instant, ProxyLife, ReportNumber } from '../ids.js';
import type {
  AccountShare,
  AllowanceRequest,
  TokenGrant,
  TokenRequest,
} from '../messages/index.js';
import type { ShareDecision } from './account-ledger.js';
import { AccountLedger } from './account-ledger.js';
import type { AccountLimit } from './account-limit.js';
import { NO_SHARE } from './account-limit.js';
import { LOCK_MS } from './lease-times.js';

/** A report of a proxy. */
export type AllowanceReport = Extract<AllowanceRequest, { kind: 'report' }>;

/** The shares that answer a report. */
export interface LedgerGrant {
  readonly isWhole: boolean;
  readonly shares: readonly AccountShare[];
}

/** Shares that a proxy is to lower at once. */
export interface LedgerRecall {
  readonly host: HostId;
  readonly share: AccountShare;
}

/** Holds what a leader knows of the shares, from the start of its term. A new leader begins with a new ledger. */
export class ShareLedger {
  readonly #limits: Map<ClientAccountName, AccountLimit>;
  readonly #accounts = new Map<ClientAccountName, AccountLedger>();
  readonly #proxies = new Map<HostId, ProxyRecord>();
  /** When the shares of earlier terms have ended. */
  readonly #lockedUntil: Instant;
  /** Until when shares of accounts that have lost their limit may be in use. */
  readonly #retired: Map<ClientAccountName, Instant>;
  #isLocked = true;
  #checkAt = 0 as Instant;

  /**
   * @param limits The limits at the start of the term.
   * @param retired Until when shares of accounts that have lost their limit may be in use.
   */
  constructor(
    limits: ReadonlyMap<ClientAccountName, AccountLimit>,
    retired: ReadonlyMap<ClientAccountName, Instant>,
    now: Instant,
  ) {
    this.#limits = new Map(limits);
    this.#retired = new Map(retired);
    this.#lockedUntil = addMs(now, LOCK_MS);
    for (const name of limits.keys()) this.#findAccount(name, now);
  }

  /** Changes the limits of the accounts. Nobody holds a share of an account that has its first limit. */
  updateLimits(limits: ReadonlyMap<ClientAccountName, AccountLimit>, now: Instant): void {
    for (const name of this.#limits.keys()) {
      if (limits.has(name)) continue;
      this.#limits.delete(name);
      this.#retired.set(name, addMs(now, LOCK_MS));
    }
    for (const [name, limit] of limits) {
      const isNew = !this.#accounts.has(name) && !this.#retired.has(name);
      this.#retired.delete(name);
      this.#limits.set(name, limit);
      if (isNew) this.#accounts.set(name, new AccountLedger(limit, this.#isLocked, now));
      else this.#findAccount(name, now)?.updateLimit(limit, now);
    }
  }

  /** Counts what a proxy reports; returns whether the report is to be answered. */
  addReport(host: HostId, report: AllowanceReport, now: Instant): boolean {
    this.#endLeases(now);
    const proxy = this.#findProxy(host, report, now);
    if (proxy === undefined) return false;
    if (proxy.life !== report.life) {
      proxy.next = { life: report.life, answered: report.number };
      return true;
    }
    if (report.number <= proxy.reported) return false;
    // No lease of this term or, after the lock, of an earlier one can be valid: the report is late.
    const hasEnded = now >= proxy.expiresAt && (proxy.answered !== NONE || !this.#isLocked);
    if (hasEnded) this.#removeShares(host, proxy, now);
    proxy.reported = report.number;
    proxy.expiresAt = addMs(now, LOCK_MS);
    const isSettled = hasEnded || report.applied >= proxy.answered;
    const listed = new Map(report.accounts.map((use) => [use[0], use]));
    for (const name of new Set([...proxy.accounts.keys(), ...listed.keys()])) {
      const [, claimed, tenthsPerSecond] = listed.get(name) ?? [name, NO_SHARE, 0];
      const share = hasEnded ? NO_SHARE : claimed;
      const account = this.#findAccount(name, now);
      account?.addReport(host, { share, tenthsPerSecond, isSettled }, now);
      if (listed.has(name) || !isSettled) proxy.accounts.set(name, claimed);
      else proxy.accounts.delete(name);
    }
    return true;
  }

  /** Decides the shares that answer the last report of a proxy. */
  decideGrant(host: HostId, life: ProxyLife, now: Instant): LedgerGrant {
    const proxy = this.#proxies.get(host);
    if (proxy?.life !== life) return { isWhole: true, shares: [] };
    const isWhole = proxy.answered === NONE;
    proxy.answered = proxy.reported;
    const shares = [...proxy.accounts].flatMap(([name, reported]): AccountShare[] => {
      const account = this.#limits.has(name) ? this.#accounts.get(name) : undefined;
      const { share, tokens } = account?.decideShare(host, now) ?? NOTHING;
      return share !== reported || (isWhole && share > 0) ? [[name, share, tokens]] : [];
    });
    return { isWhole, shares };
  }

  /** Lists the shares that other proxies are to lower, because a proxy is short of one of the accounts. */
  listRecalls(host: HostId, names: Iterable<ClientAccountName>, now: Instant): LedgerRecall[] {
    return [...names].flatMap((name) => {
      const recalls = this.#accounts.get(name)?.listRecalls(now) ?? [];
      return recalls
        .filter(([holder]) => holder !== host)
        .map(([holder, share]) => ({ host: holder, share: [name, share, 0] as const }));
    });
  }

  /** Takes single tokens from the reserves. */
  takeTokens(requests: readonly TokenRequest[], now: Instant): TokenGrant[] {
    this.#endLeases(now);
    return requests.map(([name, count]): TokenGrant => {
      const account = this.#limits.has(name) ? this.#findAccount(name, now) : undefined;
      if (account === undefined) return [name, 0, MAX_TOKEN_WAIT_MS, true];
      const taken = account.takeTokens(count, now);
      const nextInMs = Math.ceil(account.findNextTokenAt(now) - now);
      return [name, taken, Math.min(nextInMs, MAX_TOKEN_WAIT_MS), account.isLocked];
    });
  }

  /** Returns the ledger of an account, if the account has been reported. */
  findAccount(name: ClientAccountName): AccountLedger | undefined {
    return this.#accounts.get(name);
  }

  // Internals.

  #findAccount(name: ClientAccountName, now: Instant): AccountLedger | undefined {
    const found = this.#accounts.get(name);
    const limit = this.#limits.get(name);
    if (found !== undefined || limit === undefined) return found;
    const created = new AccountLedger(limit, this.#isLocked, now);
    this.#accounts.set(name, created);
    return created;
  }

  /**
   * Finds the record of a proxy. A new life of the proxy holds nothing of what its former life held. It counts as new
   * once it has applied an answer: a late first report of a dead life looks new too, but no answer reaches it.
   */
  #findProxy(host: HostId, report: AllowanceReport, now: Instant): ProxyRecord | undefined {
    const { life, applied } = report;
    const found = this.#proxies.get(host);
    if (found?.endedLives.includes(life) === true) return undefined;
    if (found === undefined) return this.#addProxy(host, { life, answered: NONE }, [], now);
    const { next } = found;
    if (next?.life !== life || applied < next.answered) return found;
    this.#removeShares(host, found, now);
    return this.#addProxy(host, next, [...found.endedLives, found.life], now);
  }

  #addProxy(
    host: HostId,
    { life, answered }: NextLife,
    endedLives: readonly ProxyLife[],
    now: Instant,
  ): ProxyRecord {
    const record: ProxyRecord = {
      life,
      endedLives: endedLives.slice(-MAX_ENDED_LIVES),
      next: undefined,
      reported: NONE,
      answered,
      expiresAt: now,
      accounts: new Map(),
    };
    this.#proxies.set(host, record);
    return record;
  }

  #removeShares(host: HostId, { accounts }: ProxyRecord, now: Instant): void {
    for (const name of accounts.keys()) this.#accounts.get(name)?.remove(host, now);
    accounts.clear();
  }

  /** Ends what has expired. A late end is safe: what is counted for longer is only granted later. */
  #endLeases(now: Instant): void {
    if (now < this.#checkAt) return;
    this.#checkAt = addMs(now, CHECK_MS);
    if (this.#isLocked && now >= this.#lockedUntil) {
      this.#isLocked = false;
      for (const account of this.#accounts.values()) account.unlock(now);
    }
    for (const [host, proxy] of this.#proxies) {
      if (now >= proxy.expiresAt && proxy.accounts.size > 0) this.#removeShares(host, proxy, now);
    }
    for (const [name, endsAt] of this.#retired) {
      if (now < endsAt) continue;
      this.#retired.delete(name);
      this.#accounts.delete(name);
    }
  }
}

// Internals.

/** A life that has reported but has not yet applied the answer. */
interface NextLife {
  readonly life: ProxyLife;
  readonly answered: ReportNumber;
}

/** A proxy in this term. */
interface ProxyRecord {
  readonly life: ProxyLife;
  /** The latest former lives; their late reports are ignored. */
  readonly endedLives: readonly ProxyLife[];
  /** A possible new life. */
  next: NextLife | undefined;
  /** The newest report. */
  reported: ReportNumber;
  /** The newest report that was answered. */
  answered: ReportNumber;
  expiresAt: Instant;
  /** The share of each account as last reported. */
  readonly accounts: Map<ClientAccountName, AccountShare[1]>;
}

const NOTHING: ShareDecision = { share: NO_SHARE, tokens: 0 };
const NONE = 0 as ReportNumber;
const MAX_ENDED_LIVES = 8;
/** With thousands of proxies, a check for each request would be too dear. */
const CHECK_MS = 50;
const MAX_TOKEN_WAIT_MS = 1_000;
