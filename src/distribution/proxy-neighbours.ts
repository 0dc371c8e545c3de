/** The neighbours of a proxy, worked out again only after the membership or the epoch has changed. */
import type { Address } from '../ids.js';
import type { Neighbours } from './overlay.js';
import type { ProxySpreadOptions, ProxySpreadState } from './proxy-distribution-state.js';

/** Finds the present neighbours and forgets the reports of proxies that are no longer children. */
export function findNeighbours(state: ProxySpreadState, options: ProxySpreadOptions): Neighbours {
  if (state.neighbours !== undefined) return state.neighbours;
  const neighbours = state.overlay.findNeighbours(options.host);
  state.neighbours = neighbours;
  state.reports.forgetOthers(neighbours.children);
  return neighbours;
}

/**
 * Lists the addresses with which a proxy compares versions in turn: its peers off the tree and its
 * parent; for a root also the sources and the roots of the other data centres.
 */
export function listCompared(
  state: ProxySpreadState,
  options: ProxySpreadOptions,
): readonly Address[] {
  const { isFirst, parent, offTree } = findNeighbours(state, options);
  const peers = offTree.map((member) => member.control);
  if (!isFirst) return parent === undefined ? peers : [parent.control, ...peers];
  const roots = state.overlay
    .listAllFirst()
    .filter((member) => member.dataCentre !== options.dataCentre)
    .map((member) => member.control);
  return [...state.sources, ...peers, ...roots];
}
