/** Test fixtures for calls: configurations, members and call heads. */
import { addMs } from '../src/clock.js';
import type {
  Address,
  DataCentreId,
  Generation,
  HostId,
  Incarnation,
  Instant,
  RegionId,
  RequestKindName,
  ServiceName,
} from '../src/ids.js';
import { NO_VERSION } from '../src/ids.js';
import type {
  Announcement,
  CallHead,
  Member,
  RequestKindResource,
  Resource,
  RouteResource,
  SplitResource,
} from '../src/messages/index.js';
import type { Configuration } from '../src/notes/index.js';
import { EMPTY_CONFIGURATION, ResourceMap } from '../src/notes/index.js';

export const OLD = 'old' as Generation;
export const NEW = 'new' as Generation;
export const START = 1_000_000 as Instant;

export function makeConfiguration(...resources: Resource[]): Configuration {
  return {
    ...EMPTY_CONFIGURATION,
    resources: ResourceMap.create(resources),
  };
}

export function makeKind(
  name: string,
  fields: Partial<RequestKindResource> = {},
): RequestKindResource {
  return {
    kind: 'request-kind',
    name: name as RequestKindName,
    idempotent: true,
    worth: 1,
    timeoutMs: 60_000,
    claim: false,
    hedge: false,
    ...fields,
  };
}

export function makeRoute(
  pathPrefix: string,
  requestKind: string,
  fields: Partial<RouteResource> = {},
): RouteResource {
  return {
    kind: 'route',
    name: `${fields.generation ?? OLD}${fields.method ?? ''}${pathPrefix}`,
    generation: OLD,
    pathPrefix,
    method: '*',
    service: 'shop' as ServiceName,
    requestKind: requestKind as RequestKindName,
    ...fields,
  };
}

export function makeSplit(old: number): SplitResource {
  const shares = [
    { generation: OLD, share: old },
    { generation: NEW, share: 10_000 - old },
  ];
  return { kind: 'split', name: 'mesh', shares };
}

export function makeServer(address: string, fields: Partial<Announcement> = {}): Announcement {
  return {
    service: 'shop' as ServiceName,
    address: address as Address,
    slots: 20,
    connections: 100,
    state: 'ready',
    heartbeatDeadline: addMs(START, 1e12),
    ...fields,
  };
}

export function makeMember(
  host: string,
  servers: readonly Announcement[],
  fields: Partial<Member> = {},
): Member {
  return {
    host: host as HostId,
    region: 'hu-central' as RegionId,
    dataCentre: 'a' as DataCentreId,
    control: '127.0.0.1:1' as Address,
    calls: '127.0.0.1:2' as Address,
    pass: `pass of ${host}`,
    isSource: false,
    incarnation: 1 as Incarnation,
    liveness: 'alive',
    version: NO_VERSION,
    servers,
    ...fields,
  };
}

export function makeHead(id: string, fields: Partial<CallHead> = {}): CallHead {
  const path = fields.path ?? '/shop';
  return {
    id: id as CallHead['id'],
    method: 'GET',
    path,
    url: path,
    caller: undefined,
    peer: '127.0.0.1',
    key: undefined,
    deadline: undefined,
    attempt: 1,
    bodyDigest: undefined,
    repeatable: true,
    ...fields,
  };
}
