/** What a resource refers to, and what it makes available to others. */
import type { Generation, ResourceKey } from '../ids.js';
import type { Resource, RouteResource } from '../messages/index.js';
import { formKey } from '../messages/index.js';

/** A reference to something that must be present in the same whole configuration. */
export interface Reference {
  readonly to: ResourceKey;
  /** Where the reference stands within its resource, as it is written in a note file. */
  readonly field: string;
}

/** Forms the key of a generation. It is present while at least one route belongs to it. */
export function formGenerationKey(generation: Generation): ResourceKey {
  return `generation/${generation}` as ResourceKey;
}

/** Lists what a resource refers to: a route its service and request kind, a split its generations. */
export function listReferences(resource: Resource): Reference[] {
  switch (resource.kind) {
    case 'route':
      return [
        { to: formKey({ kind: 'service', name: resource.service }), field: 'service' },
        ...(resource.targets ?? []).map(({ service }, index) => ({
          to: formKey({ kind: 'service', name: service }),
          field: `targets[${index}].service`,
        })),
        {
          to: formKey({ kind: 'request-kind', name: resource.requestKind }),
          field: 'request_kind',
        },
      ];
    case 'split':
      return resource.shares.map(({ generation }, index) => ({
        to: formGenerationKey(generation),
        field: `shares[${index}].generation`,
      }));
    case 'service':
    case 'request-kind':
    case 'limits':
      return [];
  }
}

/** Lists the keys that others may refer to while the resource is present. */
export function listProvided(resource: Resource): ResourceKey[] {
  const own = formKey(resource);
  return resource.kind === 'route' ? [own, formGenerationKey(resource.generation)] : [own];
}

/**
 * Forms the calls that a route matches, as one text. Two routes with the same text would leave open
 * which of them serves a call.
 */
export function formPattern({ host, generation, method, pathPrefix }: RouteResource): string {
  if (host !== undefined) return `//${host} ${method} ${pathPrefix}`;
  const path = pathPrefix.replace(/\/+$/, '');
  return `${generation} ${method} ${path}/`;
}
