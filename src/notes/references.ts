/** The references of a resource, and the keys that it provides to others. */
import type { Generation, ResourceKey } from '../ids.js';
import type { Resource, RouteResource } from '../messages/index.js';
import { buildKey } from '../messages/index.js';

/** A reference to a key that must be present in the same configuration. */
export interface Reference {
  readonly to: ResourceKey;
  /** The field of the resource that has the reference, as written in a note file. */
  readonly field: string;
}

/** Builds the key of a generation. The key is present while at least one route belongs to the generation. */
export function buildGenerationKey(generation: Generation): ResourceKey {
  return `generation/${generation}` as ResourceKey;
}

/** Lists the references of a resource: of a route to services and a request kind, of a split to generations. */
export function listReferences(resource: Resource): Reference[] {
  switch (resource.kind) {
    case 'route':
      return [
        { to: buildKey({ kind: 'service', name: resource.service }), field: 'service' },
        ...(resource.targets ?? []).map(({ service }, index) => ({
          to: buildKey({ kind: 'service', name: service }),
          field: `targets[${index}].service`,
        })),
        {
          to: buildKey({ kind: 'request-kind', name: resource.requestKind }),
          field: 'request_kind',
        },
      ];
    case 'split':
      return resource.shares.map(({ generation }, index) => ({
        to: buildGenerationKey(generation),
        field: `shares[${index}].generation`,
      }));
    case 'service':
    case 'request-kind':
    case 'limits':
    case 'client-account':
    case 'rollout':
      return [];
  }
}

/** Lists the keys that a resource provides to the references of others. */
export function listProvided(resource: Resource): ResourceKey[] {
  const own = buildKey(resource);
  return resource.kind === 'route' ? [own, buildGenerationKey(resource.generation)] : [own];
}

/**
 * Builds a text for the set of calls that a route matches. Two routes with the same text would be ambiguous.
 */
export function buildPattern({ host, generation, method, pathPrefix }: RouteResource): string {
  if (host !== undefined) return `//${host} ${method} ${pathPrefix}`;
  const path = pathPrefix.replace(/\/+$/, '');
  return `${generation} ${method} ${path}/`;
}
