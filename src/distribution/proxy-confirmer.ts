/** Confirms the minimum version that a restarted proxy may serve, and relays confirmation requests of others. */
import type { Address, Instant, RequestId } from '../ids.js';
import type { DistributionMessage, VersionMark } from '../messages/index.js';
import { buildMark } from './delta-span.js';
import type { OverlayMember } from './member-order.js';
import { findNeighbours } from './proxy-neighbours.js';
import type {
  ProxyDistributionOptions,
  ProxyDistributionOut,
  ProxyDistributionState,
} from './proxy-distribution-state.js';
import type { ConfirmedBy } from './served-version.js';
import type { UpstreamRequest } from './confirm-relay.js';

/** The messages that {@link ProxyConfirmer} handles. */
export type ConfirmMessage = Extract<
  DistributionMessage,
  { kind: 'ask-vouch' | 'vouch' | 'ask-served' | 'served' }
>;

/** Requests a confirmation from the source through the tree; polls peers when the source does not answer. */
export class ProxyConfirmer {
  readonly #options: ProxyDistributionOptions;

  constructor(options: ProxyDistributionOptions) {
    this.#options = options;
  }

  /** Handles one message of a peer or a source. */
  handle(
    state: ProxyDistributionState,
    address: Address,
    message: ConfirmMessage,
    now: Instant,
  ): ProxyDistributionOut[] {
    switch (message.kind) {
      case 'ask-vouch':
        state.confirmRelay.addRequest({ from: address, id: message.id, hops: message.hops }, now);
        return [];
      case 'vouch':
        return passConfirmation(state, message.id, message.mark, now);
      case 'ask-served':
        return answerServed(state, address, message.id);
      case 'served':
        state.poll.addAnswer(message.id, address, message.mark);
        this.#closePoll(state, now);
        return [];
    }
  }

  /** Returns the requests that are due. */
  decide(state: ProxyDistributionState, now: Instant): ProxyDistributionOut[] {
    this.#closePoll(state, now);
    const request = state.confirmRelay.pickRequest(now);
    const messages = request === undefined ? [] : this.#buildRequests(state, request, now);
    return [...messages, ...this.#startPoll(state, now)];
  }

  // Internals.

  #buildRequests(
    state: ProxyDistributionState,
    request: UpstreamRequest,
    now: Instant,
  ): ProxyDistributionOut[] {
    const { id } = request;
    const { isRoot, parent } = findNeighbours(state, this.#options);
    if (isRoot && state.sources.size > 0) {
      return [...state.sources].map((to) => {
        return { kind: 'send-source', to, body: { kind: 'ask-vouch', id } };
      });
    }
    const asked = parent === undefined ? [] : [buildRequest(parent, request)];
    if (!state.confirmRelay.isFailing(now)) return asked;
    // Only members above this one are asked, so that requests reach a root instead of wandering.
    const other = state.overlay.pickAbove(this.#options.host, this.#options.random);
    return other === undefined ? asked : [...asked, buildRequest(other, request)];
  }

  /** Starts a poll of peers after several requests to the source have failed. */
  #startPoll(state: ProxyDistributionState, now: Instant): ProxyDistributionOut[] {
    const { host, random } = this.#options;
    const { served, confirmRelay, poll } = state;
    if (
      !served.needsConfirmation ||
      poll.isOpen ||
      confirmRelay.failures < MIN_FAILURES_BEFORE_POLL
    )
      return [];
    const polled = this.#listPolled(state);
    if (polled.length === 0) return [];
    const id = `${host}-${random.nextInt(MAX_NONCE)}` as RequestId;
    poll.open(id, polled, now);
    return polled.map((to) => ({ kind: 'send', to, body: { kind: 'ask-served', id } }));
  }

  /** Alternates between peers of the own data centre and the roots of the others. */
  #listPolled(state: ProxyDistributionState): Address[] {
    const { host, dataCentre } = this.#options;
    const local = state.overlay.listSample(dataCentre, host, POLLED_PEERS);
    const remote = state.overlay
      .listAllRoots()
      .filter((member) => member.dataCentre !== dataCentre);
    const isLocalTurn = state.poll.count % 2 === 0 || remote.length === 0;
    return (isLocalTurn ? local : remote).map((member) => member.control);
  }

  #closePoll(state: ProxyDistributionState, now: Instant): void {
    const result = state.poll.findResult(now);
    if (result?.kind === 'agreed') addConfirmation(state, result.mark, 'peers', now);
  }
}

// Internals.

/** About 3 s, longer than an election of the source, which is not an outage. */
const MIN_FAILURES_BEFORE_POLL = 8;
const POLLED_PEERS = 7;
const MAX_NONCE = 2 ** 32;

function buildRequest(
  { control }: OverlayMember,
  { id, hops }: UpstreamRequest,
): ProxyDistributionOut {
  return { kind: 'send', to: control, body: { kind: 'ask-vouch', id, hops } };
}

/** Passes an answer to every process whose request it covers. */
function passConfirmation(
  state: ProxyDistributionState,
  id: RequestId,
  mark: VersionMark,
  now: Instant,
): ProxyDistributionOut[] {
  return state.confirmRelay.closeAnswered(id).flatMap((request): ProxyDistributionOut[] => {
    if (request.from !== 'self') {
      return [{ kind: 'send', to: request.from, body: { kind: 'vouch', id: request.id, mark } }];
    }
    addConfirmation(state, mark, 'source', now);
    return [];
  });
}

function addConfirmation(
  state: ProxyDistributionState,
  mark: VersionMark,
  by: ConfirmedBy,
  now: Instant,
): void {
  state.served.addConfirmation(mark, by);
  if (mark.version > state.store.mark.version)
    state.pullScheduler.requestVersion(mark.version, now);
}

/** Answers only if this proxy serves a version: one that has just started has no evidence. */
function answerServed(
  state: ProxyDistributionState,
  to: Address,
  id: RequestId,
): ProxyDistributionOut[] {
  const configuration = state.served.configuration;
  if (configuration === undefined) return [];
  return [{ kind: 'send', to, body: { kind: 'served', id, mark: buildMark(configuration) } }];
}
