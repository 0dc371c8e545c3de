/**
 * Generates versions of a configuration from a seed, with a simple reference model to compare proxies
 * against.
 */
import type { Generation, NoteNumber, RequestKindName, Revision, ServiceName } from '../src/ids.js';
import type { Version } from '../src/ids.js';
import type { Change, Resource, VersionDelta } from '../src/messages/index.js';
import { formKey } from '../src/messages/index.js';
import type { Whole } from '../src/notes/index.js';
import { buildNext, EMPTY_WHOLE, formatCanonical, formatSum } from '../src/notes/index.js';
import type { Random } from '../src/random.js';

/** A generated version: the delta that the source sends and the resulting configuration. */
export interface GeneratedVersion {
  readonly delta: VersionDelta;
  readonly whole: Whole;
}

/**
 * Generates valid versions, which add and remove services and routes; each route refers to an existing
 * service.
 */
export class VersionMaker {
  readonly #random: Random;
  readonly #maxRoutes: number;
  readonly #expectedTexts: string[] = [formatResources(new Map())];
  readonly #expectedResources = new Map<string, Resource>();
  #whole: Whole = EMPTY_WHOLE;
  #serviceCount = 0;

  constructor(random: Random, maxRoutes = 20) {
    this.#random = random;
    this.#maxRoutes = maxRoutes;
  }

  /** The newest version. */
  get newest(): Version {
    return this.#whole.version;
  }

  /** Generates the next version. */
  makeNext(): GeneratedVersion {
    return this.#makeVersion(this.#makeChanges());
  }

  /** Generates a version that adds this number of routes, each with its own service. */
  makeMany(routes: number): GeneratedVersion {
    return this.#makeVersion(Array.from({ length: routes }, () => this.#makePuts()).flat());
  }

  /** Returns whether a configuration equals the reference model at its version. */
  matches(whole: Whole): boolean {
    return this.#expectedTexts[whole.version] === formatResources(whole.resources);
  }

  // Internals.

  #makeVersion(changes: readonly Change[]): GeneratedVersion {
    this.#whole = buildNext(this.#whole, changes);
    const { version, sum } = this.#whole;
    this.#applyToExpected(changes);
    const note = { note: version as number as NoteNumber, revision: 1 as Revision };
    const delta: VersionDelta = { version, ...note, changes, digest: formatSum(sum) };
    return { delta, whole: this.#whole };
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
      const service = formKey({ kind: 'service', name: route.service });
      return [
        { op: 'remove', key: formKey(route) },
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
        this.#expectedResources.set(formKey(change.resource), change.resource);
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
