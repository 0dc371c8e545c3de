/** Routes calls. So far it picks the ready backend server with the fewest calls outstanding. */
import type { Address, CallId, HostId, ServiceName } from '../ids.js';
import type {
  Announcement,
  CallHead,
  CallTarget,
  Member,
  MemberEvent,
  RefusalOutcome,
  RefusalReason,
  RouteResource,
} from '../messages/index.js';
import type { Whole } from '../notes/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';

/** What the call pipe is told. */
export type CallIn =
  | { readonly kind: 'whole'; readonly whole: Whole }
  | MemberEvent
  | { readonly kind: 'arrived'; readonly head: CallHead }
  | { readonly kind: 'ended'; readonly id: CallId };

/** What the call pipe sends on. */
export type CallOut =
  | { readonly kind: 'dispatch'; readonly id: CallId; readonly target: CallTarget }
  | {
      readonly kind: 'refuse';
      readonly id: CallId;
      readonly reason: RefusalReason;
      readonly outcome: RefusalOutcome;
    };

/** The state of the call pipe. */
export interface CallState {
  readonly whole: Whole | undefined;
  readonly members: Map<HostId, Member>;
  /** The backend server that each outstanding call was sent to. */
  readonly outstanding: Map<CallId, Address>;
}

/** Decides where each call goes. */
export class CallFilter extends Filter<CallState, CallIn, CallOut> {
  override createState(): CallState {
    return { whole: undefined, members: new Map(), outstanding: new Map() };
  }

  override decide(state: CallState, message: CallIn): Step<CallState, CallOut> {
    switch (message.kind) {
      case 'whole':
        return { state: { ...state, whole: message.whole }, outputs: [] };
      case 'member-up':
        state.members.set(message.member.host, message.member);
        return { state, outputs: [] };
      case 'member-gone':
        state.members.delete(message.host);
        return { state, outputs: [] };
      case 'arrived':
        return { state, outputs: [routeCall(state, message.head)] };
      case 'ended':
        state.outstanding.delete(message.id);
        return { state, outputs: [] };
    }
  }
}

// Internals.

function routeCall(state: CallState, head: CallHead): CallOut {
  if (state.whole === undefined) return refuseCall(head.id, 'no-configuration');
  const route = findRoute(state.whole, head);
  if (route === undefined) return refuseCall(head.id, 'no-route');
  const target = pickServer(state, route.service);
  if (target === undefined) return refuseCall(head.id, 'no-server');
  state.outstanding.set(head.id, target.address);
  return { kind: 'dispatch', id: head.id, target };
}

function findRoute(whole: Whole, head: CallHead): RouteResource | undefined {
  let best: RouteResource | undefined;
  for (const resource of whole.resources.values()) {
    if (resource.kind !== 'route' || !matchesRoute(resource, head)) continue;
    if (best === undefined || resource.pathPrefix.length > best.pathPrefix.length) best = resource;
  }
  return best;
}

function matchesRoute(route: RouteResource, head: CallHead): boolean {
  if (route.method !== '*' && route.method !== head.method) return false;
  const below = route.pathPrefix.endsWith('/') ? route.pathPrefix : `${route.pathPrefix}/`;
  return head.path === route.pathPrefix || head.path.startsWith(below);
}

function pickServer(state: CallState, service: ServiceName): CallTarget | undefined {
  const loads = countLoads(state);
  let best: { target: CallTarget; load: number } | undefined;
  for (const member of state.members.values()) {
    for (const server of member.servers.filter((candidate) => isUsable(candidate, service))) {
      const load = loads.get(server.address) ?? 0;
      if (best !== undefined && best.load <= load) continue;
      best = { target: { service, host: member.host, address: server.address }, load };
    }
  }
  return best?.target;
}

function isUsable(server: Announcement, service: ServiceName): boolean {
  return server.service === service && server.state === 'ready';
}

function countLoads(state: CallState): Map<Address, number> {
  const loads = new Map<Address, number>();
  for (const address of state.outstanding.values()) {
    loads.set(address, (loads.get(address) ?? 0) + 1);
  }
  return loads;
}

function refuseCall(id: CallId, reason: RefusalReason): CallOut {
  return { kind: 'refuse', id, reason, outcome: 'not-run' };
}
