/** Determines the route, the request kind and the deadline of each call. */
import { addMs, NEVER } from '../clock.js';
import type { CallId, Instant, ServiceName, Version } from '../ids.js';
import type {
  CallHead,
  ClientAccountResource,
  LimitsResource,
  RefusalReason,
  RequestKindResource,
  VerifiedAccount,
} from '../messages/index.js';
import type { Configuration } from '../notes/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { RoutedKind } from './route-index.js';
import { RouteIndex } from './route-index.js';
import { pickGeneration } from './split.js';
import { ClientTimeoutEstimate } from './client-timeout-estimate.js';
import { WeightedRoundRobin } from './weighted-round-robin.js';

/** A routed call. It keeps the settings of the configuration in force at its arrival until it ends. */
export interface RoutedCall {
  readonly head: CallHead;
  /** The version of the configuration that routed the call. */
  readonly version: Version;
  readonly service: ServiceName;
  readonly requestKind: RequestKindResource;
  /** The worth of an answer, by the client account or else by the request kind. */
  readonly worth: number;
  /** The client account of the call, if it has one. */
  readonly account?: ClientAccountResource;
  /** What is known about the key of the call; absent if the configuration has no client accounts. */
  readonly verified?: VerifiedAccount;
  readonly deadline: Instant;
  /** The full-value deadline: an answer that arrives later is worth less. */
  readonly aim?: Instant;
  /** The key under which equal requests are recognised, see {@link buildSubject}. */
  readonly subject: string;
}

/** A call that is refused before it runs. */
export interface RefusedCall {
  readonly kind: 'refused';
  readonly id: CallId;
  readonly reason: RefusalReason;
  /** The version of the configuration that refused the call; `undefined` if the proxy has none. */
  readonly version: Version | undefined;
}

/** Inputs of the classify filter. */
export type ClassifyIn =
  | { readonly kind: 'whole'; readonly configuration: Configuration }
  /** Whether the configuration is known to be too old to route calls. */
  | { readonly kind: 'stale'; readonly isStale: boolean }
  /** Until when keys may be accepted by the held version; sent only if revocation is strict. */
  | { readonly kind: 'keys-trusted'; readonly until: Instant }
  | { readonly kind: 'arrived'; readonly head: CallHead }
  /** The process is stopping; every deadline is capped at `answerBy`. */
  | { readonly kind: 'stopping'; readonly answerBy: Instant };

/** Outputs of the classify filter. */
export type ClassifyOut =
  | { readonly kind: 'routed'; readonly call: RoutedCall }
  | RefusedCall
  /** The limits on requests of callers that apply from now on. */
  | { readonly kind: 'limits'; readonly limits: LimitsResource };

/** The state of the classify filter. */
export interface ClassifyState {
  /** The index of the configuration in force, updated in place; `undefined` before the first one. */
  readonly routes: RouteIndex | undefined;
  readonly isStale: boolean;
  /** After this, calls with keys are refused: a key may have been revoked in a version not heard of. */
  readonly keysTrustedUntil: Instant;
  /** Distributes calls among the targets of routes; updated in place. */
  readonly turns: WeightedRoundRobin;
  /** Estimates how long the callers of repeated calls have waited; updated in place. */
  readonly clientTimeouts: ClientTimeoutEstimate;
  /** The end of a planned stop; every deadline is capped at it. */
  readonly answerBy: Instant;
}

/** Routes each call by the configuration that is in force when the call arrives. */
export class ClassifyFilter extends Filter<ClassifyState, ClassifyIn, ClassifyOut> {
  readonly #host: string;
  readonly #isRevocationStrict: boolean;

  /**
   * @param host The host of this proxy.
   * @param isRevocationStrict Whether keys are accepted only until the instant of the last `keys-trusted`.
   */
  constructor(host: string, isRevocationStrict = false) {
    super();
    this.#host = host;
    this.#isRevocationStrict = isRevocationStrict;
  }

  override createState(): ClassifyState {
    return {
      routes: undefined,
      isStale: false,
      keysTrustedUntil: this.#isRevocationStrict ? (0 as Instant) : NEVER,
      turns: new WeightedRoundRobin(this.#host),
      clientTimeouts: new ClientTimeoutEstimate(),
      answerBy: NEVER,
    };
  }

  override decide(
    state: ClassifyState,
    message: ClassifyIn,
    now: Instant,
  ): Step<ClassifyState, ClassifyOut> {
    if (message.kind === 'stopping') {
      return { state: { ...state, answerBy: message.answerBy }, outputs: [] };
    }
    if (message.kind === 'stale') {
      return { state: { ...state, isStale: message.isStale }, outputs: [] };
    }
    if (message.kind === 'keys-trusted') {
      return { state: { ...state, keysTrustedUntil: message.until }, outputs: [] };
    }
    if (message.kind === 'whole') {
      if (state.routes === undefined && message.configuration.resources.size === 0) {
        return { state, outputs: [] };
      }
      const routes = state.routes ?? new RouteIndex();
      routes.update(message.configuration);
      state.turns.forget((name) => routes.hasRoute(name));
      const { limits } = routes;
      const outputs: ClassifyOut[] = limits === undefined ? [] : [{ kind: 'limits', limits }];
      return { state: { ...state, routes }, outputs };
    }
    return { state, outputs: [classifyCall(state, message.head, now)] };
  }
}

/** The parts of a call that identify equal requests. */
export type SubjectParts = Pick<
  CallHead,
  'method' | 'host' | 'url' | 'caller' | 'key' | 'bodyDigest'
>;

/** Builds a key that is the same for equal requests of one caller, whatever the configuration says about them. */
export function buildSubject(parts: SubjectParts): string {
  const { method, host, url, caller, key, bodyDigest } = parts;
  const content = key === undefined ? (bodyDigest ?? '') : `key ${key}`;
  return `${method} ${host ?? ''}${url} ${caller ?? ''} ${content}`;
}

/** Tells whether a call needs a claim in the ledger before it runs. */
export function needsClaim(requestKind: RequestKindResource, head: CallHead): boolean {
  return requestKind.claim && head.key !== undefined;
}

/** The account whose key a call carries. */
export interface CallKey {
  readonly hasKey: boolean;
  /** Absent without a key, and for a key that belongs to no account. */
  readonly account: ClientAccountResource | undefined;
}

/** The verdict on a call before its service is chosen. */
export type CallVerdict =
  | (RoutedKind & { readonly kind: 'routed'; readonly deadline: Instant })
  | { readonly kind: 'refused'; readonly reason: RefusalReason };

/** Finds the route and the deadline of a call, or why it is refused. Changes no state. */
export function judgeCall(
  { routes, isStale, keysTrustedUntil, answerBy }: ClassifyState,
  head: CallHead,
  { hasKey, account }: CallKey,
  now: Instant,
): CallVerdict {
  if (routes === undefined) return { kind: 'refused', reason: 'no-configuration' };
  if (isStale) return { kind: 'refused', reason: 'stale-configuration' };
  const found = findRoute(routes, head);
  if (found === undefined) return { kind: 'refused', reason: 'no-route' };
  const { route, requestKind } = found;
  if (hasKey && now >= keysTrustedUntil && !routes.accounts.isEmpty) {
    return { kind: 'refused', reason: 'stale-configuration' };
  }
  if (account === undefined && !routes.accounts.isEmpty && route.isPublic !== true) {
    return { kind: 'refused', reason: 'unknown-key' };
  }
  const latest = Math.min(addMs(now, requestKind.timeoutMs), answerBy) as Instant;
  const deadline = Math.min(head.deadline ?? latest, latest) as Instant;
  if (deadline <= now) return { kind: 'refused', reason: 'deadline' };
  if (needsClaim(requestKind, head) && !head.repeatable) {
    return { kind: 'refused', reason: 'too-large' };
  }
  return { kind: 'routed', route, requestKind, deadline };
}

// Internals.

function classifyCall(state: ClassifyState, head: CallHead, now: Instant): ClassifyOut {
  const { id, accountKey } = head;
  const { routes, turns } = state;
  const account = accountKey === undefined ? undefined : routes?.accounts.find(accountKey);
  const verdict = judgeCall(state, head, { hasKey: accountKey !== undefined, account }, now);
  if (routes === undefined) return buildRefusal(id, 'no-configuration', undefined);
  const { version } = routes;
  if (verdict.kind === 'refused') return buildRefusal(id, verdict.reason, version);
  const { route, requestKind, deadline } = verdict;
  const service = turns.pickService(route);
  if (service === undefined) return buildRefusal(id, 'no-server', version);
  const subject = buildSubject(head);
  const aim = buildFullValueDeadline(state, requestKind, head, now);
  return {
    kind: 'routed',
    call: {
      head,
      version,
      service,
      requestKind,
      worth: account?.worth ?? requestKind.worth,
      ...(account === undefined ? {} : { account }),
      ...(routes.accounts.isEmpty ? {} : { verified: { name: account?.name } }),
      deadline,
      ...aim,
      subject,
    },
  };
}

function buildRefusal(
  id: CallId,
  reason: RefusalReason,
  version: Version | undefined,
): RefusedCall {
  return { kind: 'refused', id, reason, version };
}

/** The target latency counts from the first time that the caller sent the call, not from a repetition. */
function buildFullValueDeadline(
  { clientTimeouts }: ClassifyState,
  { name, targetLatencyMs }: RequestKindResource,
  { patienceMs }: CallHead,
  now: Instant,
): Pick<RoutedCall, 'aim'> {
  if (targetLatencyMs === undefined) return {};
  const ageMs = patienceMs === undefined ? 0 : clientTimeouts.measureAge(name, patienceMs);
  return { aim: addMs(now, targetLatencyMs - ageMs) };
}

/** Without a split, the generations are tried in the order of their names. */
function findRoute(routes: RouteIndex, head: CallHead): RoutedKind | undefined {
  const { host, method, path } = head;
  if (host !== undefined && routes.hasHost(host)) return routes.findHostRoute(host, method, path);
  const generation = pickGeneration(routes.shares, head.caller ?? head.peer);
  const sides = generation === undefined ? routes.listGenerations() : [generation];
  for (const side of sides) {
    const found = routes.findRoute(side, method, path);
    if (found !== undefined) return found;
  }
  return undefined;
}
