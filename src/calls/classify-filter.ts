/** The first filter of a call: finds its route, its request kind and its deadline. */
import { addMs, NEVER } from '../clock.js';
import type { CallId, Instant, RequestKindName, ServiceName } from '../ids.js';
import type {
  CallHead,
  LimitsResource,
  RefusalReason,
  RequestKindResource,
} from '../messages/index.js';
import type { Whole } from '../notes/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { RoutedKind } from './route-index.js';
import { RouteIndex } from './route-index.js';
import { pickGeneration } from './split.js';
import { UsualPatience } from './client-timeout-estimate.js';
import { WeightedTurns } from './weighted-round-robin.js';

/** A call whose route is known. It keeps what one whole said of it until it ends. */
export interface RoutedCall {
  readonly head: CallHead;
  readonly service: ServiceName;
  readonly requestKind: RequestKindResource;
  readonly deadline: Instant;
  /** Until then an answer has its full worth. */
  readonly aim?: Instant;
  /** Equal for calls that ask for the same. */
  readonly subject: string;
}

/** A call that ends before it ran. */
export interface RefusedCall {
  readonly kind: 'refused';
  readonly id: CallId;
  readonly reason: RefusalReason;
}

/** What the classify filter is told. */
export type ClassifyIn =
  | { readonly kind: 'whole'; readonly whole: Whole }
  | { readonly kind: 'arrived'; readonly head: CallHead }
  /** This process stops; no call has a later deadline. */
  | { readonly kind: 'stopping'; readonly answerBy: Instant };

/** What the classify filter sends on. */
export type ClassifyOut =
  | { readonly kind: 'routed'; readonly call: RoutedCall }
  | RefusedCall
  /** What callers may send from now on. */
  | { readonly kind: 'limits'; readonly limits: LimitsResource };

/** The index of the whole that is in force here. */
export interface ClassifyState {
  readonly routes: RouteIndex | undefined;
  /** The turns of routes with several targets; updated in place. */
  readonly turns: WeightedTurns;
  /** What tells repeated calls from fresh ones; updated in place. */
  readonly patience: UsualPatience;
  /** The end of a planned stop; no call has a later deadline. */
  readonly answerBy: Instant;
}

/** Routes each call by the whole that is in force when it arrives. */
export class ClassifyFilter extends Filter<ClassifyState, ClassifyIn, ClassifyOut> {
  readonly #host: string;

  /** `host` is that of this proxy. */
  constructor(host: string) {
    super();
    this.#host = host;
  }

  override createState(): ClassifyState {
    return {
      routes: undefined,
      turns: new WeightedTurns(this.#host),
      patience: new UsualPatience(),
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
    if (message.kind === 'whole') {
      if (message.whole.resources.size === 0) return { state, outputs: [] };
      const routes = new RouteIndex(message.whole);
      state.turns.forget((name) => routes.hasRoute(name));
      const { limits } = routes;
      const outputs: ClassifyOut[] = limits === undefined ? [] : [{ kind: 'limits', limits }];
      return { state: { ...state, routes }, outputs };
    }
    return { state, outputs: [classifyCall(state, message.head, now)] };
  }
}

/** The parts of a call by which a repetition is known. */
export type SubjectParts = Pick<
  CallHead,
  'method' | 'host' | 'url' | 'caller' | 'key' | 'bodyDigest'
>;

/** Forms a text that is equal for calls that ask for the same. */
export function formSubject(requestKind: RequestKindName, parts: SubjectParts): string {
  const { method, host, url, caller, key, bodyDigest } = parts;
  if (key !== undefined) return `${requestKind} ${caller ?? ''} ${key}`;
  return `${requestKind} ${method} ${host ?? ''}${url} ${caller ?? ''} ${bodyDigest ?? ''}`;
}

/** Tells whether a call must be claimed in the ledger before it runs. */
export function needsClaim(requestKind: RequestKindResource, head: CallHead): boolean {
  return requestKind.claim && head.key !== undefined;
}

// Internals.

function classifyCall(state: ClassifyState, head: CallHead, now: Instant): ClassifyOut {
  const { id } = head;
  const { routes, turns } = state;
  if (routes === undefined) return { kind: 'refused', id, reason: 'no-configuration' };
  const found = findRoute(routes, head);
  if (found === undefined) return { kind: 'refused', id, reason: 'no-route' };
  const { route, requestKind } = found;
  const latest = Math.min(addMs(now, requestKind.timeoutMs), state.answerBy) as Instant;
  const deadline = Math.min(head.deadline ?? latest, latest) as Instant;
  if (deadline <= now) return { kind: 'refused', id, reason: 'deadline' };
  if (needsClaim(requestKind, head) && !head.repeatable) {
    return { kind: 'refused', id, reason: 'too-large' };
  }
  const service = turns.pickService(route);
  if (service === undefined) return { kind: 'refused', id, reason: 'no-server' };
  const subject = formSubject(requestKind.name, head);
  const aim = formAim(state, requestKind, head, now);
  return { kind: 'routed', call: { head, service, requestKind, deadline, ...aim, subject } };
}

/** The target latency counts from when the caller sent the call for the first time. */
function formAim(
  { patience }: ClassifyState,
  { name, targetLatencyMs }: RequestKindResource,
  { patienceMs }: CallHead,
  now: Instant,
): Pick<RoutedCall, 'aim'> {
  if (targetLatencyMs === undefined) return {};
  const ageMs = patienceMs === undefined ? 0 : patience.measureAge(name, patienceMs);
  return { aim: addMs(now, targetLatencyMs - ageMs) };
}

/** Without a split there is only one side: the generations are tried in the order of their names. */
function findRoute(routes: RouteIndex, head: CallHead): RoutedKind | undefined {
  const own = head.host === undefined ? undefined : routes.findHost(head.host);
  if (own !== undefined) return own.find(head.method, head.path);
  const generation = pickGeneration(routes.shares, head.caller ?? head.peer);
  const sides = generation === undefined ? routes.listGenerations() : [generation];
  for (const side of sides) {
    const found = routes.findRoute(side, head.method, head.path);
    if (found !== undefined) return found;
  }
  return undefined;
}
