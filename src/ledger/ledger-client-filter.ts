/** The client of the ledger in a proxy: finds the leader of each group, and retries until a timeout. */
import { addMs } from '../clock.js';
import type { Address, Instant, RequestId } from '../ids.js';
import type {
  LedgerAnswer,
  GroupLedgerRequest,
  GroupLedgerReply,
  LedgerRequest,
} from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step, Tick, WakeRequest } from '../pipe/index.js';
import { findGroup, LEDGER_GROUPS } from './ledger-group.js';

/** Input messages of the ledger client. */
export type LedgerClientIn =
  | { readonly kind: 'request'; readonly request: LedgerRequest }
  | { readonly kind: 'reply'; readonly from: Address; readonly reply: GroupLedgerReply }
  | { readonly kind: 'link-down'; readonly address: Address }
  | Tick;

/** Output messages of the ledger client. */
export type LedgerClientOut =
  | { readonly kind: 'ask'; readonly to: Address; readonly ask: GroupLedgerRequest }
  | { readonly kind: 'answer'; readonly answer: LedgerAnswer }
  | WakeRequest;

/** A request that has not been answered yet. */
interface PendingRequest {
  readonly request: LedgerRequest;
  readonly group: number;
  /** The instant at which the request is answered with `unavailable`. */
  readonly expiresAt: Instant;
  readonly to: Address | undefined;
  readonly retryAt: Instant;
}

/** The state of the client. The map and the array are updated in place. */
export interface LedgerClientState {
  /** Keyed by kind and id: a claim and its release may be pending at the same time. */
  readonly pending: Map<string, PendingRequest>;
  /** The presumed leader of each group, as an index into the list of hosts. */
  readonly leaderIndexes: number[];
}

type ClientStep = Step<LedgerClientState, LedgerClientOut>;

/**
 * Retries are safe: every request carries the id of its attempt, and the ledger applies each request once.
 *
 * A claim that times out is answered with `unavailable`, so that its call is refused as not run. The claim may
 * still be committed afterwards, so it is released at once, and a late grant is dropped.
 */
export class LedgerClientFilter extends Filter<LedgerClientState, LedgerClientIn, LedgerClientOut> {
  readonly #hosts: readonly Address[];

  /** @param hosts the control addresses of the ledger hosts. */
  constructor(hosts: readonly Address[]) {
    super();
    this.#hosts = hosts;
  }

  override createState(): LedgerClientState {
    return { pending: new Map(), leaderIndexes: Array.from({ length: LEDGER_GROUPS }, () => 0) };
  }

  override decide(state: LedgerClientState, message: LedgerClientIn, now: Instant): ClientStep {
    switch (message.kind) {
      case 'request':
        return { state, outputs: this.#openRequest(state, message.request, now) };
      case 'reply':
        return { state, outputs: this.#handleReply(state, message.from, message.reply, now) };
      case 'link-down':
        return { state, outputs: this.#handleLinkDown(state, message.address, now) };
      case 'tick':
        return { state, outputs: this.#handleTick(state, now) };
    }
  }

  // Internals.

  #openRequest(state: LedgerClientState, request: LedgerRequest, now: Instant): LedgerClientOut[] {
    if (this.#hosts.length === 0) {
      return [{ kind: 'answer', answer: { kind: 'unavailable', id: request.id } }];
    }
    const group = findGroup(request.key);
    const expiresAt = findExpiry(request, now);
    return this.#sendRequest(
      state,
      { request, group, expiresAt, to: undefined, retryAt: now },
      now,
    );
  }

  #sendRequest(state: LedgerClientState, pending: PendingRequest, now: Instant): LedgerClientOut[] {
    const { request, group } = pending;
    const to = this.#hosts[state.leaderIndexes[group] ?? 0];
    const retryAt = addMs(now, ANSWER_TIMEOUT_MS);
    state.pending.set(buildName(request.kind, request.id), { ...pending, to, retryAt });
    const wake: LedgerClientOut = { kind: 'wake', at: findNextWake(retryAt, pending.expiresAt) };
    return to === undefined
      ? [wake]
      : [{ kind: 'ask', to, ask: { kind: 'ask', group, request } }, wake];
  }

  #handleReply(
    state: LedgerClientState,
    from: Address,
    reply: GroupLedgerReply,
    now: Instant,
  ): LedgerClientOut[] {
    if (reply.kind === 'ask-again') {
      this.#pickNextHost(state, reply.group, from);
      return updateRetries(state, now, ({ request, to }) => request.id === reply.id && to === from);
    }
    const { answer, group } = reply;
    if (!removeAnswered(state, answer)) return [];
    const position = this.#hosts.indexOf(from);
    if (position >= 0) state.leaderIndexes[group] = position;
    return [{ kind: 'answer', answer }];
  }

  /** Picks the next host as presumed leader of a group, unless it is no longer `host`. */
  #pickNextHost(state: LedgerClientState, group: number, host: Address): void {
    const position = state.leaderIndexes[group] ?? 0;
    if (this.#hosts[position] === host)
      state.leaderIndexes[group] = (position + 1) % this.#hosts.length;
  }

  #handleLinkDown(state: LedgerClientState, address: Address, now: Instant): LedgerClientOut[] {
    if (!this.#hosts.includes(address)) return [];
    for (let group = 0; group < LEDGER_GROUPS; group += 1)
      this.#pickNextHost(state, group, address);
    return updateRetries(state, now, ({ to }) => to === address);
  }

  #handleTick(state: LedgerClientState, now: Instant): LedgerClientOut[] {
    const outputs: LedgerClientOut[] = [];
    for (const [name, pending] of [...state.pending]) {
      if (pending.expiresAt <= now) outputs.push(...this.#refuseExpired(state, name, pending, now));
      else if (pending.retryAt <= now) outputs.push(...this.#sendToNextHost(state, pending, now));
      else outputs.push({ kind: 'wake', at: findNextWake(pending.retryAt, pending.expiresAt) });
    }
    return outputs;
  }

  #sendToNextHost(
    state: LedgerClientState,
    pending: PendingRequest,
    now: Instant,
  ): LedgerClientOut[] {
    if (pending.to !== undefined) this.#pickNextHost(state, pending.group, pending.to);
    return this.#sendRequest(state, pending, now);
  }

  #refuseExpired(
    state: LedgerClientState,
    name: string,
    { request }: PendingRequest,
    now: Instant,
  ): LedgerClientOut[] {
    state.pending.delete(name);
    const { id, key } = request;
    const answer: LedgerClientOut = { kind: 'answer', answer: { kind: 'unavailable', id } };
    if (request.kind !== 'claim') return [answer];
    return [answer, ...this.#openRequest(state, { kind: 'release', id, key }, now)];
  }
}

// Internals.

const CLAIM_TIMEOUT_MS = 1_500;
const SETTLE_TIMEOUT_MS = 60_000;
const ANSWER_TIMEOUT_MS = 400;
const RETRY_DELAY_MS = 20;

function findExpiry(request: LedgerRequest, now: Instant): Instant {
  if (request.kind !== 'claim') return addMs(now, SETTLE_TIMEOUT_MS);
  return Math.min(request.deadline, addMs(now, CLAIM_TIMEOUT_MS)) as Instant;
}

function findNextWake(retryAt: Instant, expiresAt: Instant): Instant {
  return Math.min(retryAt, expiresAt) as Instant;
}

function buildName(kind: LedgerRequest['kind'], id: RequestId): string {
  return `${kind}/${id}`;
}

/** Schedules a retry of the matching requests after a short delay, which gives an election time to end. */
function updateRetries(
  state: LedgerClientState,
  now: Instant,
  matches: (pending: PendingRequest) => boolean,
): LedgerClientOut[] {
  const retryAt = addMs(now, RETRY_DELAY_MS);
  for (const [name, pending] of state.pending) {
    if (matches(pending)) state.pending.set(name, { ...pending, to: undefined, retryAt });
  }
  return [{ kind: 'wake', at: retryAt }];
}

/** Removes the pending request of an answer. Returns whether there was one. */
function removeAnswered(state: LedgerClientState, answer: LedgerAnswer): boolean {
  const { id } = answer;
  if (answer.kind !== 'recorded') return state.pending.delete(buildName('claim', id));
  return (
    state.pending.delete(buildName('settle', id)) || state.pending.delete(buildName('release', id))
  );
}
