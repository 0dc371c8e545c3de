/** The resources of a configuration. A configuration is a set of resources with unique keys. */
import type {
  ClientAccountName,
  Generation,
  Instant,
  KeyDigest,
  RequestKindName,
  ResourceKey,
  ServerVersion,
  ServiceName,
  Version,
} from '../ids.js';

/** A service for which backend servers announce themselves. */
export interface ServiceResource {
  readonly kind: 'service';
  readonly name: ServiceName;
  /** The path of a backend server's health check. */
  readonly healthPath?: string;
  /** The maximum number of connections that a backend server accepts from all callers together. */
  readonly connections?: number;
}

/** One weighted target of a route. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** The share of the calls relative to the weights of the other targets; at least 0. */
  readonly weight: number;
}

/** Sends calls of one generation, method and path prefix to a service. */
export interface RouteResource {
  readonly kind: 'route';
  readonly name: string;
  readonly generation: Generation;
  /**
   * The virtual host of the route, in lower case. A call to a virtual host that has routes matches only
   * these routes, and their prefixes match as plain strings.
   */
  readonly host?: string;
  /** An absolute path; matches this path and every path below it. */
  readonly pathPrefix: string;
  /** An HTTP method in capitals, or `*` for every method. */
  readonly method: string;
  /** The target service; with `targets`, the service of the first target. */
  readonly service: ServiceName;
  /** Splits the calls between several services by weight. */
  readonly targets?: readonly RouteTarget[];
  readonly requestKind: RequestKindName;
  /** Whether calls need no key of a client account, even if the configuration has accounts. */
  readonly isPublic?: boolean;
}

/** The policy for calls of one request kind. */
export interface RequestKindResource {
  readonly kind: 'request-kind';
  readonly name: RequestKindName;
  /** Whether the call is idempotent, so that it may be retried after it was sent. */
  readonly idempotent: boolean;
  /** The worth of one answered call relative to other kinds; at least 0. */
  readonly worth: number;
  /** The default and maximum time in milliseconds from the arrival of a call to its deadline. */
  readonly timeoutMs: number;
  /** Whether a call must claim its idempotency key in the ledger before it runs. */
  readonly claim: boolean;
  /** Whether hedging is allowed: a second attempt may start while the first one is running. */
  readonly hedge: boolean;
  /** The time in milliseconds within which an answer has its full worth. */
  readonly targetLatencyMs?: number;
  /** The maximum number of backend servers that one call may be sent to. */
  readonly maxAttempts?: number;
  /**
   * Whether answers are so large that the network distance matters: such calls wait longer in their own
   * data centre before they go to another one.
   */
  readonly largeAnswers?: boolean;
  /** Whether request bodies are so large that they compete for the link of the backend server's host. */
  readonly largeBodies?: boolean;
}

/**
 * A client account. If the configuration has accounts, a call with a key belongs to the account that holds it,
 * and a call with any other key is refused.
 */
export interface ClientAccountResource {
  readonly kind: 'client-account';
  readonly name: ClientAccountName;
  /** The digests of the account's keys; an account may have none. */
  readonly keys: readonly KeyDigest[];
  /** The worth of the account's calls, in place of that of their request kinds. */
  readonly worth?: number;
  /** The calls per second that may run, over all proxies together; unlimited if absent. */
  readonly ratePerSecond?: number;
  /** The calls that may run beyond the rate after a quiet time. */
  readonly burst?: number;
}

/** Limits on the size and duration of requests from callers. */
export interface LimitsResource {
  readonly kind: 'limits';
  readonly name: string;
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** The time limit for receiving the headers of a call. */
  readonly headerTimeoutMs: number;
  /** The time limit for an idle connection of a caller. */
  readonly idleTimeoutMs: number;
}

/** The share of callers that one generation serves. */
export interface SplitShare {
  readonly generation: Generation;
  /** The share in units of 1/10,000; the shares of a split add up to 10,000. */
  readonly share: number;
}

/** Splits callers between generations by a stable hash of the caller id. */
export interface SplitResource {
  readonly kind: 'split';
  readonly name: string;
  readonly shares: readonly SplitShare[];
}

/** The state of a {@link RolloutResource}; `initial` is a version that is in use without an order. */
export type RolloutState = 'initial' | 'running' | 'completed' | 'rolled-back';

/**
 * Which version of a service's backend servers gets its calls, and the newest order to change it. It is no part of
 * release notes or replacements: the commands of roll-outs alone change it.
 */
export interface RolloutResource {
  readonly kind: 'rollout';
  readonly name: ServiceName;
  readonly state: RolloutState;
  /** The version in use before the order; absent if none was known. */
  readonly from?: ServerVersion;
  /** The ordered version; with `initial`, the version in use. */
  readonly to: ServerVersion;
  /** The share of the calls that may go to `to`, from 0 to 1. */
  readonly share: number;
  /** The configuration version that accepted the order; it identifies the order. */
  readonly order: Version;
  /** The number of steps since the order. */
  readonly step: number;
  /** When the order was accepted, and by when it is to be completed, by the clock of its leader. */
  readonly startedAt: Instant;
  readonly deadline: Instant;
  /** Why the roll-out ended. */
  readonly reason?: string;
}

/** Any resource. */
export type Resource =
  | ServiceResource
  | RouteResource
  | RequestKindResource
  | SplitResource
  | LimitsResource
  | ClientAccountResource
  | RolloutResource;

/** One change of a resource in a configuration version. */
export type Change =
  | { readonly op: 'put'; readonly resource: Resource }
  | { readonly op: 'remove'; readonly key: ResourceKey };

/** Returns the key that identifies a resource in a configuration. */
export function buildKey(resource: Pick<Resource, 'kind' | 'name'>): ResourceKey {
  return `${resource.kind}/${resource.name}` as ResourceKey;
}
