/** The routes of one virtual host, by the longest prefix of the path. */
import type { RoutedKind } from './route-index.js';

/**
 * Finds the route whose prefix is the longest text that begins a path. A lookup costs one step per slash
 * of the path, whatever the number of routes. Prefixes end with a slash.
 */
export class HostRoutes {
  readonly #prefixes = new Map<string, Map<string, RoutedKind>>();

  /** Adds a route; the first one of a prefix and method counts. */
  add(routed: RoutedKind): void {
    const { pathPrefix, method } = routed.route;
    const methods = this.#prefixes.get(pathPrefix) ?? new Map<string, RoutedKind>();
    this.#prefixes.set(pathPrefix, methods);
    if (!methods.has(method)) methods.set(method, routed);
  }

  /** Finds a route; of two equal prefixes, the one that names the method goes before `*`. */
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

/** Stands for every method in a route. */
export const ANY_METHOD = '*';
