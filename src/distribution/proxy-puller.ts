/** Timed actions of a proxy on versions: pulls, advertisements and comparisons. */
import { NEVER } from '../clock.js';
import type { Address, Instant } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import { findNeighbours, listComparisonPeers } from './proxy-neighbours.js';
import type {
  ProxyDistributionOptions,
  ProxyDistributionOut,
  ProxyDistributionState,
} from './proxy-distribution-state.js';

/** Builds the message that advertises the held version to a peer. */
export function buildAdvertisement(
  state: ProxyDistributionState,
  to: Address,
): ProxyDistributionOut {
  return { kind: 'send', to, body: { kind: 'advertise', held: state.store.mark } };
}

/** Sends pulls, advertisements and comparisons at their deadlines. */
export class ProxyPuller {
  readonly #options: ProxyDistributionOptions;

  constructor(options: ProxyDistributionOptions) {
    this.#options = options;
  }

  /** Returns the advertisements, comparisons and pulls that are due. */
  decide(state: ProxyDistributionState, now: Instant): ProxyDistributionOut[] {
    return [
      ...this.#advertise(state, now),
      ...this.#compare(state, now),
      ...this.#pull(state, now),
    ];
  }

  // Internals.

  #pull(state: ProxyDistributionState, now: Instant): ProxyDistributionOut[] {
    const { pullScheduler, store } = state;
    if (pullScheduler.deadline > now) return [];
    const fallback = this.#listFallbackPeers(state);
    const address = pullScheduler.pickNext(store.mark.version, fallback, now);
    if (address === undefined) return [];
    return [this.#buildPull(state, address)];
  }

  /** Prefers peers to the source, except after failed attempts or on a root that already holds a version. */
  #listFallbackPeers(state: ProxyDistributionState): Address[] {
    const { isRoot, parent, offTreePeers } = findNeighbours(state, this.#options);
    const { sources } = state;
    const peers = [...(parent === undefined ? [] : [parent]), ...offTreePeers].map(
      (member) => member.control,
    );
    const attempts = isRoot ? ROOT_PEER_ATTEMPTS : PEER_ATTEMPTS;
    const isStarting = state.store.mark.version === NO_VERSION;
    if (peers.length === 0 || (isRoot && !isStarting)) return [...sources];
    return state.pullScheduler.failures < attempts ? peers : [...peers, ...sources];
  }

  #advertise(state: ProxyDistributionState, now: Instant): ProxyDistributionOut[] {
    if (state.deadlines.advertise > now) return [];
    state.deadlines.advertise = NEVER;
    const { offTreePeers } = findNeighbours(state, this.#options);
    const start = state.store.mark.version % Math.max(1, offTreePeers.length);
    const rotated = [...offTreePeers.slice(start), ...offTreePeers.slice(0, start)];
    const peers = rotated.slice(0, this.#options.policy.advertisedPeerCount);
    return peers.map(({ control }) => buildAdvertisement(state, control));
  }

  /** Compares versions with a neighbour, and at times with any members. */
  #compare(state: ProxyDistributionState, now: Instant): ProxyDistributionOut[] {
    if (state.deadlines.compare > now) return [];
    state.deadlines.compare = this.#options.policy.decideCompare(now);
    const peers = new Set([this.#pickNeighbour(state), ...this.#pickMembers(state, now)]);
    return [...peers].flatMap((address) => {
      if (address === undefined) return [];
      if (!state.sources.has(address)) return [buildAdvertisement(state, address)];
      state.pullScheduler.requestAttempt(now);
      return [];
    });
  }

  /** Picks the neighbours in turn. */
  #pickNeighbour(state: ProxyDistributionState): Address | undefined {
    const candidates = listComparisonPeers(state, this.#options);
    const address = candidates[state.comparisons % Math.max(1, candidates.length)];
    state.comparisons += 1;
    return address;
  }

  /** Picks members at random, because the neighbours may all be silent, or be behind as well. */
  #pickMembers(state: ProxyDistributionState, now: Instant): (Address | undefined)[] {
    const { host, random } = this.#options;
    return Array.from({ length: countMembers(state, now) }, () => {
      return state.overlay.pickMember(host, random)?.control;
    });
  }

  #buildPull(state: ProxyDistributionState, to: Address): ProxyDistributionOut {
    const held = state.store.mark;
    if (!state.sources.has(to)) return { kind: 'send', to, body: { kind: 'pull', held } };
    const { dataCentre } = this.#options;
    return { kind: 'send-source', to, body: { kind: 'pull', held, dataCentre } };
  }
}

// Internals.

const PEER_ATTEMPTS = 3;
const ROOT_PEER_ATTEMPTS = 1;
const MEMBERS_WITHOUT_CHECK = 3;
/** Links to members are dialled for this, so most comparisons are with neighbours. */
const COMPARISONS_PER_MEMBER = 4;

/** Counts the members to compare with: more while nobody shows that the held version is the newest. */
function countMembers(
  { newestKnown, store, comparisons }: ProxyDistributionState,
  now: Instant,
): number {
  if (store.mark.version === NO_VERSION) return 0;
  if (!newestKnown.hasRecentCheck(now)) return MEMBERS_WITHOUT_CHECK;
  return comparisons % COMPARISONS_PER_MEMBER === 0 ? 1 : 0;
}
