/** Finds the route of a call by generation, path prefix and method. */
import type { Generation, RequestKindName } from '../ids.js';
import type {
  LimitsResource,
  RequestKindResource,
  RouteResource,
  SplitResource,
  SplitShare,
} from '../messages/index.js';
import type { Configuration } from '../notes/index.js';
import { ANY_METHOD, HostRoutes } from './host-routes.js';

/** A route with its request kind. */
export interface RoutedKind {
  readonly route: RouteResource;
  readonly requestKind: RequestKindResource;
}

/**
 * An immutable index of the routes of one configuration.
 *
 * A lookup takes one step per path segment, independent of the number of routes.
 *
 * @example
 * const index = new RouteIndex(configuration);
 * const found = index.findRoute('old' as Generation, 'GET', '/catalogue/canopies');
 */
export class RouteIndex {
  readonly #roots = new Map<Generation, PathNode>();
  readonly #hosts = new Map<string, HostRoutes>();
  readonly #names = new Set<string>();
  /** The limits on requests of callers, if the configuration contains any. */
  readonly limits: LimitsResource | undefined;
  /** The shares of the split, ordered by generation; empty without a split. */
  readonly shares: readonly SplitShare[];

  constructor(configuration: Configuration) {
    const kinds = new Map<RequestKindName, RequestKindResource>();
    const splits: SplitResource[] = [];
    const routes: RouteResource[] = [];
    let limits: LimitsResource | undefined;
    for (const resource of configuration.resources.values()) {
      if (resource.kind === 'request-kind') kinds.set(resource.name, resource);
      if (resource.kind === 'split') splits.push(resource);
      if (resource.kind === 'route') routes.push(resource);
      if (resource.kind === 'limits') limits = resource;
    }
    this.limits = limits;
    this.shares = listShares(splits);
    routes.sort((left, right) => compareText(left.name, right.name));
    for (const route of routes) this.#add(route, kinds.get(route.requestKind));
  }

  /** Lists the generations that have routes, ordered by name. */
  listGenerations(): readonly Generation[] {
    return [...this.#roots.keys()].sort(compareText);
  }

  /**
   * Finds the route with the longest matching prefix, compared by path segments; for equal prefixes, a route
   * with the exact method takes precedence over `*`.
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

  /** Finds the routes of a virtual host, or `undefined` if it has none. */
  findHost(host: string): HostRoutes | undefined {
    return this.#hosts.get(host);
  }

  /** Tells whether a route with this name exists. */
  hasRoute(name: string): boolean {
    return this.#names.has(name);
  }

  // Internals.

  #add(route: RouteResource, requestKind: RequestKindResource | undefined): void {
    if (requestKind === undefined) return;
    this.#names.add(route.name);
    if (route.host !== undefined) {
      const routes = this.#hosts.get(route.host) ?? new HostRoutes();
      this.#hosts.set(route.host, routes);
      routes.add({ route, requestKind });
      return;
    }
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

function makeNode(): PathNode {
  return { children: new Map(), methods: new Map() };
}

function findMethod(node: PathNode, method: string): RoutedKind | undefined {
  return node.methods.get(method) ?? node.methods.get(ANY_METHOD);
}

function splitPath(path: string): string[] {
  return path.split('/').filter((segment) => segment !== '');
}

/** Uses the first split by name; its shares are ordered so that all proxies divide callers identically. */
function listShares(splits: SplitResource[]): SplitShare[] {
  splits.sort((left, right) => compareText(left.name, right.name));
  const shares = [...(splits[0]?.shares ?? [])];
  return shares.sort((left, right) => compareText(left.generation, right.generation));
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
