/** Finds out what a proxy that starts empty may serve, and passes such questions of others upward. */
import type { Address, Instant, RequestId } from '../ids.js';
import type { SpreadMessage, VersionMark } from '../messages/index.js';
import { formMark } from './delta-span.js';
import { findNeighbours } from './proxy-neighbours.js';
import type {
  ProxySpreadOptions,
  ProxySpreadOut,
  ProxySpreadState,
} from './proxy-distribution-state.js';
import type { VouchedBy } from './served-version.js';
import type { VouchRequest } from './confirm-relay.js';

/** The messages that a voucher handles. */
export type VouchMessage = Extract<
  SpreadMessage,
  { kind: 'ask-vouch' | 'vouch' | 'ask-served' | 'served' }
>;

/** Asks the source by way of the tree, and polls peers when the source does not answer. */
export class ProxyVoucher {
  readonly #options: ProxySpreadOptions;

  constructor(options: ProxySpreadOptions) {
    this.#options = options;
  }

  /** Handles one message of a peer or of a source. */
  handle(
    state: ProxySpreadState,
    address: Address,
    message: VouchMessage,
    now: Instant,
  ): ProxySpreadOut[] {
    switch (message.kind) {
      case 'ask-vouch':
        state.vouches.addAsk({ from: address, id: message.id, hops: message.hops }, now);
        return [];
      case 'vouch':
        return passVouch(state, message.id, message.mark, now);
      case 'ask-served':
        return answerServed(state, address, message.id);
      case 'served':
        state.poll.addAnswer(message.id, address, message.mark);
        this.#closePoll(state, now);
        return [];
    }
  }

  /** Sends the requests that are due. */
  decide(state: ProxySpreadState, now: Instant): ProxySpreadOut[] {
    this.#closePoll(state, now);
    const request = state.vouches.pickRequest(now);
    const asks = request === undefined ? [] : this.#formAsks(state, request);
    return [...asks, ...this.#startPoll(state, now)];
  }

  // Internals.

  #formAsks(state: ProxySpreadState, { id, hops }: VouchRequest): ProxySpreadOut[] {
    const { isFirst, parent, offTree } = findNeighbours(state, this.#options);
    const { random } = this.#options;
    if (isFirst) {
      return [...state.sources].map((to) => {
        return { kind: 'send-source', to, body: { kind: 'ask-vouch', id } };
      });
    }
    const hasFailed = state.vouches.failures > 0 && offTree.length > 0;
    const asked = hasFailed ? random.pick(offTree) : parent;
    if (asked === undefined) return [];
    return [{ kind: 'send', to: asked.control, body: { kind: 'ask-vouch', id, hops } }];
  }

  /** Peers are polled only after the source has not answered several times. */
  #startPoll(state: ProxySpreadState, now: Instant): ProxySpreadOut[] {
    const { host, random } = this.#options;
    const { served, vouches, poll } = state;
    if (!served.needsVouch || poll.isOpen || vouches.failures < FAILURES_BEFORE_POLL) return [];
    const asked = this.#listPolled(state);
    if (asked.length === 0) return [];
    const id = `${host}-${random.nextInt(MAX_NONCE)}` as RequestId;
    poll.open(id, asked, now);
    return asked.map((to) => ({ kind: 'send', to, body: { kind: 'ask-served', id } }));
  }

  /** Polls take turns between the own data centre and the roots of the others. */
  #listPolled(state: ProxySpreadState): Address[] {
    const { host, dataCentre } = this.#options;
    const local = state.overlay.listSample(dataCentre, host, POLLED_PEERS);
    const remote = state.overlay.listAllFirst().filter((one) => one.dataCentre !== dataCentre);
    const isLocalTurn = state.poll.count % 2 === 0 || remote.length === 0;
    return (isLocalTurn ? local : remote).map((member) => member.control);
  }

  #closePoll(state: ProxySpreadState, now: Instant): void {
    const result = state.poll.findResult(now);
    if (result?.kind === 'agreed') addVouch(state, result.mark, 'peers', now);
  }
}

// Internals.

/** About three seconds: an election of the source must not be taken for its outage. */
const FAILURES_BEFORE_POLL = 8;
const POLLED_PEERS = 7;
const MAX_NONCE = 2 ** 32;

/** Hands an answer to everybody who waited for it. */
function passVouch(
  state: ProxySpreadState,
  id: RequestId,
  mark: VersionMark,
  now: Instant,
): ProxySpreadOut[] {
  return state.vouches.closeAnswered(id).flatMap((ask): ProxySpreadOut[] => {
    if (ask.from !== 'self') {
      return [{ kind: 'send', to: ask.from, body: { kind: 'vouch', id: ask.id, mark } }];
    }
    addVouch(state, mark, 'source', now);
    return [];
  });
}

function addVouch(state: ProxySpreadState, mark: VersionMark, by: VouchedBy, now: Instant): void {
  state.served.addVouch(mark, by);
  if (mark.version > state.store.mark.version) state.catchUp.requestVersion(mark.version, now);
}

/** Only a proxy that serves answers: one that has just started proves nothing. */
function answerServed(state: ProxySpreadState, to: Address, id: RequestId): ProxySpreadOut[] {
  const whole = state.served.whole;
  if (whole === undefined) return [];
  return [{ kind: 'send', to, body: { kind: 'served', id, mark: formMark(whole) } }];
}
