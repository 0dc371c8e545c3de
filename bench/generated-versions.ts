/**
 * Generates versions of a configuration from a seed, with a simple reference model to compare proxies
 * against.
 */
import type { Generation, NoteNumber, RequestKindName, Revision, ServiceName } from '../src/ids.js';
import type { Version } from '../src/ids.js';
import type { Change, Resource, VersionDelta } from '../src/messages/index.js';
import { buildKey } from '../src/messages/index.js';
import type { Configuration } from '../src/notes/index.js';
import {
  applyChanges,
  EMPTY_CONFIGURATION,
  formatCanonical,
  formatSetDigest,
} from '../src/notes/index.js';
import type { Random } from '../src/random.js';

/** A generated version: the delta that the source sends and the resulting configuration. */
export interface GeneratedVersion {
  readonly delta: VersionDelta;
  readonly configuration: Configuration;
}

/**
 * Generates valid versions, which add and remove services and routes; each route refers to an existing
 * service.
 */
export class VersionGenerator {
  readonly #random: Random;
  readonly #maxRoutes: number;
  readonly #expectedTexts: string[] = [formatResources(new Map())];
  readonly #expectedResources = new Map<string, Resource>();
  #configuration: Configuration = EMPTY_CONFIGURATION;
  #serviceCount = 0;

  constructor(random: Random, maxRoutes = 20) {
    this.#random = random;
    this.#maxRoutes = maxRoutes;
  }

  /** The newest version. */
  get newest(): Version {
    return this.#configuration.version;
  }

  /** Generates the next version. */
  makeNextVersion(): GeneratedVersion {
    return this.#makeVersion(this.#makeChanges());
  }

  /** Generates a version that adds this number of routes, each with its own service. */
  makeVersionWithRoutes(routes: number): GeneratedVersion {
    return this.#makeVersion(Array.from({ length: routes }, () => this.#makePuts()).flat());
  }

  /** Returns whether a configuration equals the reference model at its version. */
  matches(configuration: Configuration): boolean {
    return this.#expectedTexts[configuration.version] === formatResources(configuration.resources);
  }

  // Internals.

  #makeVersion(changes: readonly Change[]): GeneratedVersion {
    this.#configuration = applyChanges(this.#configuration, changes);
    const { version, setDigest } = this.#configuration;
    this.#applyToExpected(changes);
    const note = { note: version as number as NoteNumber, revision: 1 as Revision };
    const delta: VersionDelta = { version, ...note, changes, digest: formatSetDigest(setDigest) };
    return { delta, configuration: this.#configuration };
  }

  #makeChanges(): Change[] {
    const routes = [...this.#expectedResources.values()].filter(
      (resource) => resource.kind === 'route',
    );
    if (
      routes.length > this.#maxRoutes ||
      (routes.length > 2 && this.#random.next() < REMOVE_SHARE)
    ) {
      const route = this.#random.pick(routes);
      const service = buildKey({ kind: 'service', name: route.service });
      return [
        { op: 'remove', key: buildKey(route) },
        { op: 'remove', key: service },
      ];
    }
    return this.#makePuts();
  }

  #makePuts(): Change[] {
    this.#serviceCount += 1;
    const service = `service-${this.#serviceCount}` as ServiceName;
    const requestKind = 'browse' as RequestKindName;
    const puts: Resource[] = [
      { kind: 'service', name: service },
      {
        kind: 'request-kind',
        name: requestKind,
        idempotent: true,
        worth: this.#serviceCount,
        timeoutMs: 2_000,
        claim: false,
        hedge: false,
      },
      {
        kind: 'route',
        name: `route-${this.#serviceCount}`,
        generation: 'old' as Generation,
        pathPrefix: `/${service}`,
        method: '*',
        service,
        requestKind,
      },
    ];
    return puts.map((resource) => ({ op: 'put', resource }));
  }

  #applyToExpected(changes: readonly Change[]): void {
    for (const change of changes) {
      if (change.op === 'put')
        this.#expectedResources.set(buildKey(change.resource), change.resource);
      else this.#expectedResources.delete(change.key);
    }
    this.#expectedTexts.push(formatResources(this.#expectedResources));
  }
}

// Internals.

const REMOVE_SHARE = 0.3;

function formatResources(resources: ReadonlyMap<string, Resource>): string {
  const entries = [...resources].sort(([left], [right]) => (left < right ? -1 : 1));
  return formatCanonical(entries);
}
