/** The ledger as a proxy sees it: finds the leader of each group, asks again, and gives up in time. */
import { addMs } from '../clock.js';
import type { Address, Instant, RequestId } from '../ids.js';
import type { LedgerAnswer, LedgerAsk, LedgerReply, LedgerRequest } from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step, Tick, Wake } from '../pipe/index.js';
import { findGroup, LEDGER_GROUPS } from './ledger-group.js';

/** What the client is told. */
export type LedgerClientIn =
  | { readonly kind: 'request'; readonly request: LedgerRequest }
  | { readonly kind: 'reply'; readonly from: Address; readonly reply: LedgerReply }
  | { readonly kind: 'link-down'; readonly address: Address }
  | Tick;

/** What the client sends on. */
export type LedgerClientOut =
  | { readonly kind: 'ask'; readonly to: Address; readonly ask: LedgerAsk }
  | { readonly kind: 'answer'; readonly answer: LedgerAnswer }
  | Wake;

/** A request without an answer yet. */
interface OpenRequest {
  readonly request: LedgerRequest;
  readonly group: number;
  /** After this instant it is answered with `unavailable`. */
  readonly giveUpAt: Instant;
  readonly to: Address | undefined;
  readonly askAgainAt: Instant;
}

/** The state of the client. The tables are updated in place. */
export interface LedgerClientState {
  /** By kind and id: a claim and the release of it may be open at once. */
  readonly open: Map<string, OpenRequest>;
  /** The host to ask, per group, as a position in the list of hosts. */
  readonly leaders: number[];
}

type ClientStep = Step<LedgerClientState, LedgerClientOut>;

/**
 * Asks again where that is safe: every request names its attempt, and the ledger takes each once.
 *
 * A claim that is given up is answered with `unavailable`, so that its call is refused as not run. It
 * may still be committed afterwards. Therefore it is released at once, and a late grant is dropped.
 */
export class LedgerClientFilter extends Filter<LedgerClientState, LedgerClientIn, LedgerClientOut> {
  readonly #hosts: readonly Address[];

  /** Takes the control addresses of the ledger hosts. */
  constructor(hosts: readonly Address[]) {
    super();
    this.#hosts = hosts;
  }

  override createState(): LedgerClientState {
    return { open: new Map(), leaders: Array.from({ length: LEDGER_GROUPS }, () => 0) };
  }

  override decide(state: LedgerClientState, message: LedgerClientIn, now: Instant): ClientStep {
    switch (message.kind) {
      case 'request':
        return { state, outputs: this.#open(state, message.request, now) };
      case 'reply':
        return { state, outputs: this.#handleReply(state, message.from, message.reply, now) };
      case 'link-down':
        return { state, outputs: this.#handleLinkDown(state, message.address, now) };
      case 'tick':
        return { state, outputs: this.#handleTick(state, now) };
    }
  }

  // Internals.

  #open(state: LedgerClientState, request: LedgerRequest, now: Instant): LedgerClientOut[] {
    if (this.#hosts.length === 0) {
      return [{ kind: 'answer', answer: { kind: 'unavailable', id: request.id } }];
    }
    const group = findGroup(request.key);
    const giveUpAt = findGiveUpAt(request, now);
    return this.#ask(state, { request, group, giveUpAt, to: undefined, askAgainAt: now }, now);
  }

  #ask(state: LedgerClientState, open: OpenRequest, now: Instant): LedgerClientOut[] {
    const { request, group } = open;
    const to = this.#hosts[state.leaders[group] ?? 0];
    const askAgainAt = addMs(now, ANSWER_TIMEOUT_MS);
    state.open.set(formName(request.kind, request.id), { ...open, to, askAgainAt });
    const wake: LedgerClientOut = { kind: 'wake', at: findWake(askAgainAt, open.giveUpAt) };
    return to === undefined
      ? [wake]
      : [{ kind: 'ask', to, ask: { kind: 'ask', group, request } }, wake];
  }

  #handleReply(
    state: LedgerClientState,
    from: Address,
    reply: LedgerReply,
    now: Instant,
  ): LedgerClientOut[] {
    if (reply.kind === 'ask-again') {
      this.#passOver(state, reply.group, from);
      return postpone(state, now, ({ request, to }) => request.id === reply.id && to === from);
    }
    const { answer, group } = reply;
    if (!takeAnswered(state, answer)) return [];
    const position = this.#hosts.indexOf(from);
    if (position >= 0) state.leaders[group] = position;
    return [{ kind: 'answer', answer }];
  }

  /** Turns to the next host, unless another one has been chosen meanwhile. */
  #passOver(state: LedgerClientState, group: number, host: Address): void {
    const position = state.leaders[group] ?? 0;
    if (this.#hosts[position] === host) state.leaders[group] = (position + 1) % this.#hosts.length;
  }

  #handleLinkDown(state: LedgerClientState, address: Address, now: Instant): LedgerClientOut[] {
    if (!this.#hosts.includes(address)) return [];
    for (let group = 0; group < LEDGER_GROUPS; group += 1) this.#passOver(state, group, address);
    return postpone(state, now, ({ to }) => to === address);
  }

  #handleTick(state: LedgerClientState, now: Instant): LedgerClientOut[] {
    const outputs: LedgerClientOut[] = [];
    for (const [name, open] of [...state.open]) {
      if (open.giveUpAt <= now) outputs.push(...this.#giveUp(state, name, open, now));
      else if (open.askAgainAt <= now) outputs.push(...this.#askOther(state, open, now));
      else outputs.push({ kind: 'wake', at: findWake(open.askAgainAt, open.giveUpAt) });
    }
    return outputs;
  }

  #askOther(state: LedgerClientState, open: OpenRequest, now: Instant): LedgerClientOut[] {
    if (open.to !== undefined) this.#passOver(state, open.group, open.to);
    return this.#ask(state, open, now);
  }

  #giveUp(
    state: LedgerClientState,
    name: string,
    { request }: OpenRequest,
    now: Instant,
  ): LedgerClientOut[] {
    state.open.delete(name);
    const { id, key } = request;
    const answer: LedgerClientOut = { kind: 'answer', answer: { kind: 'unavailable', id } };
    if (request.kind !== 'claim') return [answer];
    return [answer, ...this.#open(state, { kind: 'release', id, key }, now)];
  }
}

// Internals.

const CLAIM_TIMEOUT_MS = 1_500;
const END_TIMEOUT_MS = 60_000;
const ANSWER_TIMEOUT_MS = 400;
const REFUSED_DELAY_MS = 20;

function findGiveUpAt(request: LedgerRequest, now: Instant): Instant {
  if (request.kind !== 'claim') return addMs(now, END_TIMEOUT_MS);
  return Math.min(request.deadline, addMs(now, CLAIM_TIMEOUT_MS)) as Instant;
}

function findWake(askAgainAt: Instant, giveUpAt: Instant): Instant {
  return Math.min(askAgainAt, giveUpAt) as Instant;
}

function formName(kind: LedgerRequest['kind'], id: RequestId): string {
  return `${kind}/${id}`;
}

/** Lets requests be asked again shortly: an election takes a moment. */
function postpone(
  state: LedgerClientState,
  now: Instant,
  matches: (open: OpenRequest) => boolean,
): LedgerClientOut[] {
  const askAgainAt = addMs(now, REFUSED_DELAY_MS);
  for (const [name, open] of state.open) {
    if (matches(open)) state.open.set(name, { ...open, to: undefined, askAgainAt });
  }
  return [{ kind: 'wake', at: askAgainAt }];
}

/** Removes the request that an answer belongs to. Returns whether there was one. */
function takeAnswered(state: LedgerClientState, answer: LedgerAnswer): boolean {
  const { id } = answer;
  if (answer.kind !== 'recorded') return state.open.delete(formName('claim', id));
  return state.open.delete(formName('settle', id)) || state.open.delete(formName('release', id));
}
