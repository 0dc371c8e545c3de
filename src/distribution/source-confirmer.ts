/** Answers confirmation requests after the log has confirmed with a quorum that this replica still leads. */
import { addMs, NEVER } from '../clock.js';
import type { Address, Instant, RequestId } from '../ids.js';
import type { DistributionMessage, VersionMark } from '../messages/index.js';

/** A proxy that waits for a confirmation. */
export interface ConfirmClient {
  readonly address: Address;
  readonly id: RequestId;
}

/** A proxy whose confirmation failed, and the end of its wait for an answer. */
interface RefusedClient {
  readonly client: ConfirmClient;
  readonly until: Instant;
}

/** The output messages of {@link SourceConfirmer}. */
export type ConfirmStep =
  | { readonly kind: 'confirm'; readonly id: RequestId }
  | { readonly kind: 'send'; readonly to: Address; readonly body: DistributionMessage };

/** Whether distribution requested the confirmation with this id, rather than another pipe. */
export function isDistributionConfirmation(id: RequestId): boolean {
  return id.startsWith(CONFIRMATION_ID_PREFIX);
}

/**
 * Confirms the newest committed version by linearizable reads, one read index at a time. Requests that arrive
 * during a read wait for the next one, because a read covers only the requests that arrived before it began.
 */
export class SourceConfirmer {
  #waitingClients: ConfirmClient[] = [];
  #confirmingClients: ConfirmClient[] = [];
  #refusedClients: RefusedClient[] = [];
  #confirmId: RequestId | undefined;
  #deadline: Instant = NEVER;
  #count = 0;

  /** Adds a request. Abandons an open confirmation after its timeout. */
  addRequest(client: ConfirmClient, now: Instant): ConfirmStep[] {
    if (this.#waitingClients.length < MAX_WAITING_CLIENTS) this.#waitingClients.push(client);
    if (this.#confirmId !== undefined && now < this.#deadline) return [];
    this.#deadline = addMs(now, CONFIRM_TIMEOUT_MS);
    return this.#startConfirmation();
  }

  /** Answers the requests of a confirmation; `mark` is the newest committed version. */
  handleConfirmed(id: RequestId, mark: VersionMark, now: Instant): ConfirmStep[] {
    if (id !== this.#confirmId) return [];
    this.#deadline = addMs(now, CONFIRM_TIMEOUT_MS);
    const answers = this.#confirmingClients.map((client): ConfirmStep => {
      return { kind: 'send', to: client.address, body: { kind: 'vouch', id: client.id, mark } };
    });
    return [...answers, ...this.#startConfirmation()];
  }

  /**
   * Handles a confirmation that failed: no request is answered, and the proxies retry. Until then the requests
   * are kept in case this replica becomes the leader.
   */
  handleRefused(id: RequestId, now: Instant): ConfirmStep[] {
    if (id !== this.#confirmId) return [];
    this.#deadline = addMs(now, CONFIRM_TIMEOUT_MS);
    const until = addMs(now, REFUSED_RETENTION_MS);
    const refused = this.#confirmingClients.map((client) => ({ client, until }));
    this.#refusedClients = [...this.#listRefused(now), ...refused].slice(-MAX_WAITING_CLIENTS);
    return this.#startConfirmation();
  }

  /** Handles the start of leadership: confirms again for the recently refused requests. */
  handleLeading(now: Instant): ConfirmStep[] {
    const kept = this.#listRefused(now).map(({ client }) => client);
    this.#refusedClients = [];
    this.#waitingClients.push(...kept);
    if (kept.length === 0 || this.#confirmId !== undefined) return [];
    this.#deadline = addMs(now, CONFIRM_TIMEOUT_MS);
    return this.#startConfirmation();
  }

  // Internals.

  #listRefused(now: Instant): RefusedClient[] {
    return this.#refusedClients.filter(({ until }) => until > now);
  }

  #startConfirmation(): ConfirmStep[] {
    this.#confirmingClients = this.#waitingClients;
    this.#waitingClients = [];
    this.#confirmId = undefined;
    if (this.#confirmingClients.length === 0) return [];
    this.#count += 1;
    this.#confirmId = `${CONFIRMATION_ID_PREFIX}${this.#count}` as RequestId;
    return [{ kind: 'confirm', id: this.#confirmId }];
  }
}

// Internals.

const CONFIRMATION_ID_PREFIX = 'spread-vouch-';
const MAX_WAITING_CLIENTS = 256;
const CONFIRM_TIMEOUT_MS = 2_000;
/** The time after which proxies repeat a request; see {@link ConfirmRelay}. */
const REFUSED_RETENTION_MS = 300;
