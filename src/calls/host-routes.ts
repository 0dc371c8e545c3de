/** Longest-prefix matching of the routes of one virtual host. */
import type { RoutedKind } from './route-index.js';

/**
 * Finds the route with the longest prefix of a path. A lookup takes one step per slash in the path,
 * independent of the number of routes. Prefixes end with a slash.
 */
export class HostRoutes {
  readonly #prefixes = new Map<string, Map<string, RoutedKind>>();

  /** Adds a route; later routes with the same prefix and method are ignored. */
  add(routed: RoutedKind): void {
    const { pathPrefix, method } = routed.route;
    const methods = this.#prefixes.get(pathPrefix) ?? new Map<string, RoutedKind>();
    this.#prefixes.set(pathPrefix, methods);
    if (!methods.has(method)) methods.set(method, routed);
  }

  /** Finds a route; for equal prefixes, a route with the exact method takes precedence over `*`. */
  find(method: string, path: string): RoutedKind | undefined {
    let slash = path.lastIndexOf('/');
    while (slash >= 0) {
      const methods = this.#prefixes.get(path.slice(0, slash + 1));
      const found = methods?.get(method) ?? methods?.get(ANY_METHOD);
      if (found !== undefined) return found;
      slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
    }
    return undefined;
  }
}

/** Matches every method in a route. */
export const ANY_METHOD = '*';
