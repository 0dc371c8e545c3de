/** Longest-prefix matching of the routes of one virtual host. */
import type { RouteResource } from '../messages/index.js';

/**
 * Finds the route with the longest prefix of a path. A lookup takes one step per slash in the path,
 * independent of the number of routes. Prefixes end with a slash.
 */
export class HostRoutes {
  /** The routes of each prefix, which differ in their methods. */
  readonly #prefixes = new Map<string, readonly RouteResource[]>();

  /** Whether there are no routes. */
  get isEmpty(): boolean {
    return this.#prefixes.size === 0;
  }

  /** Adds a route. Returns false if another route has the same prefix and method; that one is kept. */
  add(route: RouteResource): boolean {
    const routes = this.#prefixes.get(route.pathPrefix) ?? [];
    if (routes.some(({ method }) => method === route.method)) return false;
    this.#prefixes.set(route.pathPrefix, [...routes, route]);
    return true;
  }

  /** Removes the route with this prefix and method. */
  remove({ pathPrefix, method }: RouteResource): void {
    const routes = this.#prefixes.get(pathPrefix) ?? [];
    const others = routes.filter((route) => route.method !== method);
    if (others.length === 0) this.#prefixes.delete(pathPrefix);
    else this.#prefixes.set(pathPrefix, others);
  }

  /** Finds a route; for equal prefixes, a route with the exact method takes precedence over `*`. */
  find(method: string, path: string): RouteResource | undefined {
    let slash = path.lastIndexOf('/');
    while (slash >= 0) {
      const found = findMethod(this.#prefixes.get(path.slice(0, slash + 1)) ?? [], method);
      if (found !== undefined) return found;
      slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
    }
    return undefined;
  }
}

/** Matches every method in a route. */
export const ANY_METHOD = '*';

/** Finds the route with the exact method, or else the one for every method. */
export function findMethod(
  routes: readonly RouteResource[],
  method: string,
): RouteResource | undefined {
  return (
    routes.find((route) => route.method === method) ??
    routes.find((route) => route.method === ANY_METHOD)
  );
}
