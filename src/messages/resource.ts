/** The resources of the configuration. A whole configuration is a set of these, one per key. */
import type { Generation, RequestKindName, ResourceKey, ServiceName } from '../ids.js';

/** A service that backend servers announce themselves for. */
export interface ServiceResource {
  readonly kind: 'service';
  readonly name: ServiceName;
}

/** Sends calls of one generation, method and path prefix to a service. */
export interface RouteResource {
  readonly kind: 'route';
  readonly name: string;
  readonly generation: Generation;
  /** An absolute path; it matches itself and every path below it. */
  readonly pathPrefix: string;
  /** An HTTP method in capitals, or `*` for every method. */
  readonly method: string;
  readonly service: ServiceName;
  readonly requestKind: RequestKindName;
}

/** How calls of one kind are treated. */
export interface RequestKindResource {
  readonly kind: 'request-kind';
  readonly name: RequestKindName;
  /** Whether a second run changes nothing, so that a call may be retried after it was sent. */
  readonly idempotent: boolean;
  /** What one answered call is worth, against other kinds; at least 0. */
  readonly worth: number;
  /** Milliseconds from arrival to the deadline of a call that brings no earlier one. */
  readonly timeoutMs: number;
  /** Whether a call needs a claim in the ledger before it runs. */
  readonly claim: boolean;
  /** Whether a second attempt may start while the first one is still running. */
  readonly hedge: boolean;
}

/** The share of callers that one generation serves. */
export interface SplitShare {
  readonly generation: Generation;
  /** Parts of 10,000; the shares of a split add up to 10,000. */
  readonly share: number;
}

/** Divides callers between generations by a stable hash of the caller. */
export interface SplitResource {
  readonly kind: 'split';
  readonly name: string;
  readonly shares: readonly SplitShare[];
}

/** Any resource. */
export type Resource = ServiceResource | RouteResource | RequestKindResource | SplitResource;

/** What a version does to one resource. */
export type Change =
  | { readonly op: 'put'; readonly resource: Resource }
  | { readonly op: 'remove'; readonly key: ResourceKey };

/** Forms the key under which a resource stands in a whole configuration. */
export function formKey(resource: Pick<Resource, 'kind' | 'name'>): ResourceKey {
  return `${resource.kind}/${resource.name}` as ResourceKey;
}
