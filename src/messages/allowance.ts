/** Messages between proxies and the source host that grants shares of the limits of client accounts. */
import type { Address, ClientAccountName, ProxyLife, ReportNumber, Share, Term } from '../ids.js';

/** What a proxy holds of an account, and the calls per second that arrive there for it, in tenths. */
export type AccountUse = readonly [
  account: ClientAccountName,
  share: Share,
  tenthsPerSecond: number,
];

/** The share of an account that a proxy is to hold, and the tokens that come with an added share. */
export type AccountShare = readonly [account: ClientAccountName, share: Share, tokens: number];

/** A number of single tokens of an account that a proxy asks for. */
export type TokenRequest = readonly [account: ClientAccountName, count: number];

/**
 * Single tokens that are granted, and the time in milliseconds until the grantor expects the next one. A limit is locked
 * in part for some time after a change of leader, so that an account without tokens may still be below its limit.
 */
export type TokenGrant = readonly [
  account: ClientAccountName,
  count: number,
  nextInMs: number,
  isLocked: boolean,
];

/** A message from a proxy to a source host. */
export type AllowanceRequest =
  /** Lists every account of which the proxy holds a share or receives calls. The answer renews the lease. */
  | {
      readonly kind: 'report';
      readonly life: ProxyLife;
      readonly number: ReportNumber;
      /** The newest report whose answer the proxy has applied; it applies no answer to an earlier one. */
      readonly applied: ReportNumber;
      readonly accounts: readonly AccountUse[];
    }
  /** Asks for single tokens. */
  | {
      readonly kind: 'ask';
      readonly life: ProxyLife;
      readonly number: ReportNumber;
      readonly tokens: readonly TokenRequest[];
    };

/** A message from a source host to a proxy. */
export type AllowanceReply =
  /** Answers a report: renews the lease and sets the listed shares. */
  | {
      readonly kind: 'grant';
      readonly term: Term;
      readonly life: ProxyLife;
      readonly answers: ReportNumber;
      /** Whether the proxy drops the shares that are not listed; set in the first answer of a term. */
      readonly isWhole: boolean;
      readonly shares: readonly AccountShare[];
    }
  /** Answers an `ask`. */
  | {
      readonly kind: 'tokens';
      readonly term: Term;
      readonly life: ProxyLife;
      readonly answers: ReportNumber;
      readonly tokens: readonly TokenGrant[];
    }
  /** Lowers shares that exceed the listed ones; the proxy reports at once. */
  | { readonly kind: 'recall'; readonly term: Term; readonly shares: readonly AccountShare[] }
  /** This source host does not lead. */
  | { readonly kind: 'not-leader'; readonly leader: Address | undefined };
