/** Finds the route of a call by generation, path prefix and method. */
import type { Generation, RequestKindName } from '../ids.js';
import type {
  RequestKindResource,
  RouteResource,
  SplitResource,
  SplitShare,
} from '../messages/index.js';
import type { Whole } from '../notes/index.js';

/** A route together with the request kind that it names. */
export interface RoutedKind {
  readonly route: RouteResource;
  readonly requestKind: RequestKindResource;
}

/**
 * An index over the routes of one whole. It is built once per whole and never changed.
 *
 * A lookup costs one step per segment of the path, whatever the number of routes.
 *
 * @example
 * const index = new RouteIndex(whole);
 * const found = index.findRoute('old' as Generation, 'GET', '/catalogue/canopies');
 */
export class RouteIndex {
  readonly #roots = new Map<Generation, PathNode>();
  /** The shares of the split in the order of their generations, or none without a split. */
  readonly shares: readonly SplitShare[];

  constructor(whole: Whole) {
    const kinds = new Map<RequestKindName, RequestKindResource>();
    const splits: SplitResource[] = [];
    const routes: RouteResource[] = [];
    for (const resource of whole.resources.values()) {
      if (resource.kind === 'request-kind') kinds.set(resource.name, resource);
      if (resource.kind === 'split') splits.push(resource);
      if (resource.kind === 'route') routes.push(resource);
    }
    this.shares = listShares(splits);
    routes.sort((left, right) => compareText(left.name, right.name));
    for (const route of routes) this.#add(route, kinds.get(route.requestKind));
  }

  /** The generations that have routes, in the order of their names. */
  listGenerations(): readonly Generation[] {
    return [...this.#roots.keys()].sort(compareText);
  }

  /**
   * Finds the route with the longest matching prefix, segment by segment; of two equal prefixes, the
   * one that names the method goes before `*`.
   */
  findRoute(generation: Generation, method: string, path: string): RoutedKind | undefined {
    let node = this.#roots.get(generation);
    let best = node && findMethod(node, method);
    for (const segment of splitPath(path)) {
      node = node?.children.get(segment);
      if (node === undefined) break;
      best = findMethod(node, method) ?? best;
    }
    return best;
  }

  // Internals.

  #add(route: RouteResource, requestKind: RequestKindResource | undefined): void {
    if (requestKind === undefined) return;
    let node = this.#roots.get(route.generation) ?? makeNode();
    this.#roots.set(route.generation, node);
    for (const segment of splitPath(route.pathPrefix)) {
      const child = node.children.get(segment) ?? makeNode();
      node.children.set(segment, child);
      node = child;
    }
    if (!node.methods.has(route.method)) node.methods.set(route.method, { route, requestKind });
  }
}

// Internals.

interface PathNode {
  readonly children: Map<string, PathNode>;
  readonly methods: Map<string, RoutedKind>;
}

const ANY_METHOD = '*';

function makeNode(): PathNode {
  return { children: new Map(), methods: new Map() };
}

function findMethod(node: PathNode, method: string): RoutedKind | undefined {
  return node.methods.get(method) ?? node.methods.get(ANY_METHOD);
}

function splitPath(path: string): string[] {
  return path.split('/').filter((segment) => segment !== '');
}

/** The first split by name counts; its shares are ordered so that every proxy agrees on them. */
function listShares(splits: SplitResource[]): SplitShare[] {
  splits.sort((left, right) => compareText(left.name, right.name));
  const shares = [...(splits[0]?.shares ?? [])];
  return shares.sort((left, right) => compareText(left.generation, right.generation));
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
