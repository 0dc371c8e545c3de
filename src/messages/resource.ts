/** The resources of the configuration. A whole configuration is a set of these, one per key. */
import type { Generation, RequestKindName, ResourceKey, ServiceName } from '../ids.js';

/** A service that backend servers announce themselves for. */
export interface ServiceResource {
  readonly kind: 'service';
  readonly name: ServiceName;
  /** The path at which a backend server tells whether it is healthy. */
  readonly healthPath?: string;
  /** Connections that a backend server accepts from all callers together. */
  readonly connections?: number;
}

/** One of the services that a route divides its calls between. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** The share of the calls against the weights of the other targets; at least 0. */
  readonly weight: number;
}

/** Sends calls of one generation, method and path prefix to a service. */
export interface RouteResource {
  readonly kind: 'route';
  readonly name: string;
  readonly generation: Generation;
  /**
   * The virtual host that the route belongs to, in lower case. Where a call names a virtual host that has
   * routes, only these are looked at, and their prefixes match as texts.
   */
  readonly host?: string;
  /** An absolute path; it matches itself and every path below it. */
  readonly pathPrefix: string;
  /** An HTTP method in capitals, or `*` for every method. */
  readonly method: string;
  /** The service of the calls; with `targets`, the first of these. */
  readonly service: ServiceName;
  /** Divides the calls between several services by weight. */
  readonly targets?: readonly RouteTarget[];
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
  /** Milliseconds within which an answer has its full worth. */
  readonly targetLatencyMs?: number;
  /** The most backend servers that one call may be sent to. */
  readonly maxAttempts?: number;
  /**
   * Whether answers are so large that their way matters: calls then wait longer in their own data
   * centre before they go to another one.
   */
  readonly largeAnswers?: boolean;
}

/** What callers may send, and how long they may take. */
export interface LimitsResource {
  readonly kind: 'limits';
  readonly name: string;
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** How long the head of a call may take to arrive. */
  readonly headerTimeoutMs: number;
  /** How long a caller's connection may be idle. */
  readonly idleTimeoutMs: number;
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
export type Resource =
  ServiceResource | RouteResource | RequestKindResource | SplitResource | LimitsResource;

/** What a version does to one resource. */
export type Change =
  | { readonly op: 'put'; readonly resource: Resource }
  | { readonly op: 'remove'; readonly key: ResourceKey };

/** Forms the key under which a resource stands in a whole configuration. */
export function formKey(resource: Pick<Resource, 'kind' | 'name'>): ResourceKey {
  return `${resource.kind}/${resource.name}` as ResourceKey;
}
