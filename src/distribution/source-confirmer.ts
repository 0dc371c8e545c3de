/** Answers requests for a vouch: only after the log has confirmed with a quorum that it still leads. */
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant, RequestId } from '../ids.js';
import type { SpreadMessage, VersionMark } from '../messages/index.js';

/** A proxy that waits for a vouch. */
export interface VouchClient {
  readonly address: Address;
  readonly id: RequestId;
}

/** A proxy that was refused, and until when it still waits for an answer. */
interface RefusedClient {
  readonly client: VouchClient;
  readonly until: Instant;
}

/** What a vouch desk sends on. */
export type VouchStep =
  | { readonly kind: 'confirm'; readonly id: RequestId }
  | { readonly kind: 'send'; readonly to: Address; readonly body: SpreadMessage };

/** Tells the confirmations that distribution asks for from those of other pipes. */
export function isVouchConfirm(id: RequestId): boolean {
  return id.startsWith(CONFIRM_PREFIX);
}

/**
 * Asks for one confirmation at a time. Requests that arrive while one is under way wait for the next,
 * because a vouch must rest on a confirmation that began after the request arrived.
 */
export class VouchDesk {
  #waiting: VouchClient[] = [];
  #confirming: VouchClient[] = [];
  #refused: RefusedClient[] = [];
  #confirmation: RequestId | undefined;
  #deadline: Instant = NEVER;
  #count = 0;

  /** Takes in a request. A confirmation that has been under way for too long is given up. */
  addAsk(client: VouchClient, now: Instant): VouchStep[] {
    if (this.#waiting.length < MAX_WAITING) this.#waiting.push(client);
    if (this.#confirmation !== undefined && now < this.#deadline) return [];
    this.#deadline = addMs(now, CONFIRM_TIMEOUT_MS);
    return this.#startNext();
  }

  /** The log has confirmed; `mark` is the newest committed version. */
  handleConfirmed(id: RequestId, mark: VersionMark, now: Instant): VouchStep[] {
    if (id !== this.#confirmation) return [];
    this.#deadline = addMs(now, CONFIRM_TIMEOUT_MS);
    const answers = this.#confirming.map((client): VouchStep => {
      return { kind: 'send', to: client.address, body: { kind: 'vouch', id: client.id, mark } };
    });
    return [...answers, ...this.#startNext()];
  }

  /**
   * The log could not confirm: nobody is answered, and the proxies ask again. Until then their requests are
   * kept for the case that this replica begins to lead.
   */
  handleRefused(id: RequestId, now: Instant): VouchStep[] {
    if (id !== this.#confirmation) return [];
    this.#deadline = addMs(now, CONFIRM_TIMEOUT_MS);
    const until = addMs(now, REFUSED_KEPT_MS);
    const refused = this.#confirming.map((client) => ({ client, until }));
    this.#refused = [...this.#listRefused(now), ...refused].slice(-MAX_WAITING);
    return this.#startNext();
  }

  /** This replica leads now: those who were refused of late are asked for again. */
  handleLeading(now: Instant): VouchStep[] {
    const kept = this.#listRefused(now).map(({ client }) => client);
    this.#refused = [];
    this.#waiting.push(...kept);
    if (kept.length === 0 || this.#confirmation !== undefined) return [];
    this.#deadline = addMs(now, CONFIRM_TIMEOUT_MS);
    return this.#startNext();
  }

  // Internals.

  #listRefused(now: Instant): RefusedClient[] {
    return this.#refused.filter(({ until }) => until > now);
  }

  #startNext(): VouchStep[] {
    this.#confirming = this.#waiting;
    this.#waiting = [];
    this.#confirmation = undefined;
    if (this.#confirming.length === 0) return [];
    this.#count += 1;
    this.#confirmation = `${CONFIRM_PREFIX}${this.#count}` as RequestId;
    return [{ kind: 'confirm', id: this.#confirmation }];
  }
}

// Internals.

const CONFIRM_PREFIX = 'spread-vouch-';
const MAX_WAITING = 256;
const CONFIRM_TIMEOUT_MS = 2_000;
/** Proxies wait so long for an answer before they ask again; see {@link VouchRelay}. */
const REFUSED_KEPT_MS = 300;
