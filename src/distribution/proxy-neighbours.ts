/** The neighbours of a proxy, cached until the membership or the epoch changes. */
import type { Address } from '../ids.js';
import type { Neighbours } from './overlay.js';
import type {
  ProxyDistributionOptions,
  ProxyDistributionState,
} from './proxy-distribution-state.js';

/** Returns the current neighbours; removes the reports of former children when it computes them. */
export function findNeighbours(
  state: ProxyDistributionState,
  options: ProxyDistributionOptions,
): Neighbours {
  if (state.neighbours !== undefined) return state.neighbours;
  const neighbours = state.overlay.findNeighbours(options.host);
  state.neighbours = neighbours;
  state.reports.forgetOthers(neighbours.children);
  return neighbours;
}

/**
 * Lists the addresses with which a proxy compares versions in turn (anti-entropy): its parent and its
 * off-tree peers; for a root, the sources, its off-tree peers and the roots of other data centres.
 */
export function listComparisonPeers(
  state: ProxyDistributionState,
  options: ProxyDistributionOptions,
): readonly Address[] {
  const { isRoot, parent, offTreePeers } = findNeighbours(state, options);
  const peers = offTreePeers.map((member) => member.control);
  if (!isRoot) return parent === undefined ? peers : [parent.control, ...peers];
  const roots = state.overlay
    .listAllRoots()
    .filter((member) => member.dataCentre !== options.dataCentre)
    .map((member) => member.control);
  return [...state.sources, ...peers, ...roots];
}
