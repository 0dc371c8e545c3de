/** Seeded versions of a configuration, and the naive fold that every proxy must agree with. */
import type { Generation, NoteNumber, RequestKindName, Revision, ServiceName } from '../src/ids.js';
import type { Version } from '../src/ids.js';
import type { Change, Resource, VersionDelta } from '../src/messages/index.js';
import { formKey } from '../src/messages/index.js';
import type { Whole } from '../src/notes/index.js';
import { buildNext, EMPTY_WHOLE, formatCanonical, formatSum } from '../src/notes/index.js';
import type { Random } from '../src/random.js';

/** One version as the source hands it out. */
export interface MadeVersion {
  readonly delta: VersionDelta;
  readonly whole: Whole;
}

/** Makes valid versions: services come and go, and routes point only at services that are there. */
export class VersionMaker {
  readonly #random: Random;
  readonly #maxRoutes: number;
  readonly #texts: string[] = [formatWhole(new Map())];
  readonly #naive = new Map<string, Resource>();
  #whole: Whole = EMPTY_WHOLE;
  #names = 0;

  constructor(random: Random, maxRoutes = 20) {
    this.#random = random;
    this.#maxRoutes = maxRoutes;
  }

  /** The newest version. */
  get newest(): Version {
    return this.#whole.version;
  }

  /** Makes the next version. */
  makeNext(): MadeVersion {
    return this.#make(this.#makeChanges());
  }

  /** Makes one version that adds many services and routes at once. */
  makeMany(routes: number): MadeVersion {
    return this.#make(Array.from({ length: routes }, () => this.#makePuts()).flat());
  }

  /** Tells whether a whole equals the naive fold of all notes up to its version. */
  matches(whole: Whole): boolean {
    return this.#texts[whole.version] === formatWhole(whole.resources);
  }

  // Internals.

  #make(changes: readonly Change[]): MadeVersion {
    this.#whole = buildNext(this.#whole, changes);
    const { version, sum } = this.#whole;
    this.#foldNaively(changes);
    const note = { note: version as number as NoteNumber, revision: 1 as Revision };
    const delta: VersionDelta = { version, ...note, changes, digest: formatSum(sum) };
    return { delta, whole: this.#whole };
  }

  #makeChanges(): Change[] {
    const routes = [...this.#naive.values()].filter((resource) => resource.kind === 'route');
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
    this.#names += 1;
    const service = `service-${this.#names}` as ServiceName;
    const requestKind = 'browse' as RequestKindName;
    const puts: Resource[] = [
      { kind: 'service', name: service },
      {
        kind: 'request-kind',
        name: requestKind,
        idempotent: true,
        worth: this.#names,
        timeoutMs: 2_000,
        claim: false,
        hedge: false,
      },
      {
        kind: 'route',
        name: `route-${this.#names}`,
        generation: 'old' as Generation,
        pathPrefix: `/${service}`,
        method: '*',
        service,
        requestKind,
      },
    ];
    return puts.map((resource) => ({ op: 'put', resource }));
  }

  #foldNaively(changes: readonly Change[]): void {
    for (const change of changes) {
      if (change.op === 'put') this.#naive.set(formKey(change.resource), change.resource);
      else this.#naive.delete(change.key);
    }
    this.#texts.push(formatWhole(this.#naive));
  }
}

// Internals.

const REMOVE_SHARE = 0.3;

function formatWhole(resources: ReadonlyMap<string, Resource>): string {
  const entries = [...resources].sort(([left], [right]) => (left < right ? -1 : 1));
  return formatCanonical(entries);
}
