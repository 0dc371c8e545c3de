/** Finds the route of a call by generation, path prefix and method. */
import type { Generation, ResourceKey, Version } from '../ids.js';
import type {
  LimitsResource,
  RequestKindResource,
  Resource,
  RouteResource,
  SplitResource,
  SplitShare,
} from '../messages/index.js';
import { buildKey } from '../messages/index.js';
import type { Configuration, ResourceMap } from '../notes/index.js';
import { EMPTY_CONFIGURATION } from '../notes/index.js';
import { AccountIndex } from './account-index.js';
import { findMethod, HostRoutes } from './host-routes.js';

/** A route with its request kind. */
export interface RoutedKind {
  readonly route: RouteResource;
  readonly requestKind: RequestKindResource;
}

/**
 * An index of the routes of one configuration, which its owner updates in place.
 *
 * A lookup takes one step per path segment, independent of the number of routes. An update from an earlier
 * version of the same configuration takes time in proportion to the changes.
 *
 * @example
 * const index = new RouteIndex();
 * index.update(configuration);
 * const found = index.findRoute('old' as Generation, 'GET', '/catalogue/canopies');
 */
export class RouteIndex {
  #configuration = EMPTY_CONFIGURATION;
  #roots = new Map<Generation, PathNode>();
  #hosts = new Map<string, HostRoutes>();
  /** Whether two routes match the same calls, so that the order in which they are added counts. */
  #isAmbiguous = false;
  #limits: LimitsResource | undefined;
  /** The client accounts; without any, calls need no keys. */
  readonly accounts = new AccountIndex();
  readonly #splits = new Map<string, SplitResource>();
  #shares: readonly SplitShare[] = [];

  /** The version of the indexed configuration. */
  get version(): Version {
    return this.#configuration.version;
  }

  /** The limits on requests of callers, if the configuration contains any. */
  get limits(): LimitsResource | undefined {
    return this.#limits;
  }

  /** The shares of the split, ordered by generation; empty without a split. */
  get shares(): readonly SplitShare[] {
    return this.#shares;
  }

  /** Changes the index to another configuration. */
  update(configuration: Configuration): void {
    const former = this.#configuration.resources;
    const { resources } = configuration;
    const keys = this.#isAmbiguous ? undefined : resources.listChangedSince(former);
    this.#configuration = configuration;
    if (keys === undefined) this.#rebuild();
    else {
      const removed = listPresent(keys, former);
      for (const resource of removed) this.#remove(resource);
      for (const resource of listPresent(keys, resources)) this.#add(resource);
    }
    this.#shares = listShares([...this.#splits.values()]);
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
    let best = node && findMethod(node.routes, method);
    for (const segment of splitPath(path)) {
      node = node?.children.get(segment);
      if (node === undefined) break;
      best = findMethod(node.routes, method) ?? best;
    }
    return this.#findKind(best);
  }

  /** Whether a virtual host has routes. */
  hasHost(host: string): boolean {
    return this.#hosts.has(host);
  }

  /** Finds the route of a virtual host with the longest matching prefix, compared as text. */
  findHostRoute(host: string, method: string, path: string): RoutedKind | undefined {
    return this.#findKind(this.#hosts.get(host)?.find(method, path));
  }

  /** Whether a route with this name exists. */
  hasRoute(name: string): boolean {
    return this.#configuration.resources.has(buildKey({ kind: 'route', name }));
  }

  // Internals.

  #findKind(route: RouteResource | undefined): RoutedKind | undefined {
    if (route === undefined) return undefined;
    const key = buildKey({ kind: 'request-kind', name: route.requestKind });
    const requestKind = this.#configuration.resources.get(key);
    return requestKind?.kind === 'request-kind' ? { route, requestKind } : undefined;
  }

  #rebuild(): void {
    this.#roots = new Map();
    this.#hosts = new Map();
    this.#splits.clear();
    this.#limits = undefined;
    this.accounts.clear();
    this.#isAmbiguous = false;
    const { resources } = this.#configuration;
    for (const resource of listPresent(resources.keys(), resources)) this.#add(resource);
  }

  #add(resource: Resource): void {
    switch (resource.kind) {
      case 'limits':
        this.#limits = resource;
        return;
      case 'split':
        this.#splits.set(resource.name, resource);
        return;
      case 'client-account':
        this.accounts.add(resource);
        return;
      case 'route': {
        const { host } = resource;
        const isAdded =
          host === undefined ? this.#addPath(resource) : this.#addHost(host, resource);
        if (!isAdded) this.#isAmbiguous = true;
        return;
      }
      case 'service':
      case 'request-kind':
    }
  }

  #remove(resource: Resource): void {
    switch (resource.kind) {
      case 'limits':
        this.#limits = undefined;
        return;
      case 'split':
        this.#splits.delete(resource.name);
        return;
      case 'client-account':
        this.accounts.remove(resource);
        return;
      case 'route':
        if (resource.host === undefined) this.#removePath(resource);
        else this.#removeHost(resource.host, resource);
        return;
      case 'service':
      case 'request-kind':
    }
  }

  #addHost(host: string, route: RouteResource): boolean {
    const routes = this.#hosts.get(host) ?? new HostRoutes();
    this.#hosts.set(host, routes);
    return routes.add(route);
  }

  #removeHost(host: string, route: RouteResource): void {
    const routes = this.#hosts.get(host);
    routes?.remove(route);
    if (routes?.isEmpty === true) this.#hosts.delete(host);
  }

  #addPath(route: RouteResource): boolean {
    let node = this.#roots.get(route.generation) ?? new PathNode();
    this.#roots.set(route.generation, node);
    for (const segment of splitPath(route.pathPrefix)) {
      const child: PathNode = node.children.get(segment) ?? new PathNode();
      node.children.set(segment, child);
      node = child;
    }
    if (node.routes.some(({ method }) => method === route.method)) return false;
    node.routes = [...node.routes, route];
    return true;
  }

  #removePath(route: RouteResource): void {
    const root = this.#roots.get(route.generation);
    if (root === undefined) return;
    root.remove(splitPath(route.pathPrefix), route.method);
    if (root.isEmpty) this.#roots.delete(route.generation);
  }
}

// Internals.

/** The routes of a path prefix, which differ in their methods, and the prefixes one segment longer. */
class PathNode {
  readonly children = new Map<string, PathNode>();
  routes: readonly RouteResource[] = [];

  get isEmpty(): boolean {
    return this.routes.length === 0 && this.children.size === 0;
  }

  /** Removes the route with this method below the segments, and the nodes that become empty. */
  remove(segments: readonly string[], method: string): void {
    const [segment, ...rest] = segments;
    if (segment === undefined) {
      this.routes = this.routes.filter((route) => route.method !== method);
      return;
    }
    const child = this.children.get(segment);
    child?.remove(rest, method);
    if (child?.isEmpty === true) this.children.delete(segment);
  }
}

/** Lists the resources of these keys, sorted by key. */
function listPresent(keys: Iterable<ResourceKey>, resources: ResourceMap): Resource[] {
  const sorted = [...keys].sort(compareText);
  return sorted.flatMap((key) => resources.get(key) ?? []);
}

/** Uses the first split by name; its shares are ordered so that all proxies divide callers identically. */
function listShares(splits: SplitResource[]): SplitShare[] {
  splits.sort((left, right) => compareText(left.name, right.name));
  const shares = [...(splits[0]?.shares ?? [])];
  return shares.sort((left, right) => compareText(left.generation, right.generation));
}

function splitPath(path: string): string[] {
  return path.split('/').filter((segment) => segment !== '');
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
