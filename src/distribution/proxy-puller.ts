/** What a proxy does of its own accord: pulls, advertises and compares versions. */
import { NEVER } from '../clock.js';
import type { Address, Instant } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import { findNeighbours, listCompared } from './proxy-neighbours.js';
import type {
  ProxySpreadOptions,
  ProxySpreadOut,
  ProxySpreadState,
} from './proxy-distribution-state.js';

/** Forms the message that tells a peer which version is held. */
export function formAdvertisement(state: ProxySpreadState, to: Address): ProxySpreadOut {
  return { kind: 'send', to, body: { kind: 'advertise', held: state.store.mark } };
}

/** Decides on everything that is due at a deadline and concerns versions. */
export class ProxyPuller {
  readonly #options: ProxySpreadOptions;

  constructor(options: ProxySpreadOptions) {
    this.#options = options;
  }

  /** Sends the advertisements, comparisons and pulls that are due. */
  decide(state: ProxySpreadState, now: Instant): ProxySpreadOut[] {
    return [
      ...this.#advertise(state, now),
      ...this.#compare(state, now),
      ...this.#pull(state, now),
    ];
  }

  // Internals.

  #pull(state: ProxySpreadState, now: Instant): ProxySpreadOut[] {
    const { catchUp, store } = state;
    if (catchUp.deadline > now) return [];
    const fallback = this.#listFallback(state);
    const address = catchUp.pickNext(store.mark.version, fallback, now);
    if (address === undefined) return [];
    return [this.#formPull(state, address)];
  }

  /** Peers go before the source, unless they have failed or this is a root that has started up. */
  #listFallback(state: ProxySpreadState): Address[] {
    const { isFirst, parent, offTree } = findNeighbours(state, this.#options);
    const { sources } = state;
    const peers = [...(parent === undefined ? [] : [parent]), ...offTree].map((one) => one.control);
    const attempts = isFirst ? ROOT_PEER_ATTEMPTS : PEER_ATTEMPTS;
    const isStarting = state.store.mark.version === NO_VERSION;
    if (peers.length === 0 || (isFirst && !isStarting)) return [...sources];
    return state.catchUp.failures < attempts ? peers : [...peers, ...sources];
  }

  #advertise(state: ProxySpreadState, now: Instant): ProxySpreadOut[] {
    if (state.deadlines.advertise > now) return [];
    state.deadlines.advertise = NEVER;
    const { offTree } = findNeighbours(state, this.#options);
    const start = state.store.mark.version % Math.max(1, offTree.length);
    const turned = [...offTree.slice(start), ...offTree.slice(0, start)];
    const peers = turned.slice(0, this.#options.policy.advertisePeers);
    return peers.map(({ control }) => formAdvertisement(state, control));
  }

  #compare(state: ProxySpreadState, now: Instant): ProxySpreadOut[] {
    if (state.deadlines.compare > now) return [];
    state.deadlines.compare = this.#options.policy.decideCompare(now);
    const compared = listCompared(state, this.#options);
    const address = compared[state.comparisons % Math.max(1, compared.length)];
    state.comparisons += 1;
    if (address === undefined) return [];
    if (!state.sources.has(address)) return [formAdvertisement(state, address)];
    state.catchUp.requestAttempt(now);
    return [];
  }

  #formPull(state: ProxySpreadState, to: Address): ProxySpreadOut {
    const held = state.store.mark;
    if (!state.sources.has(to)) return { kind: 'send', to, body: { kind: 'pull', held } };
    const { dataCentre } = this.#options;
    return { kind: 'send-source', to, body: { kind: 'pull', held, dataCentre } };
  }
}

// Internals.

const PEER_ATTEMPTS = 3;
const ROOT_PEER_ATTEMPTS = 1;
