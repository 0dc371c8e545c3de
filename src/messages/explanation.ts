/** Questions about where a proxy would send a call, and their answers. */
import type {
  Address,
  CallerId,
  ClientAccountName,
  DataCentreId,
  HostId,
  RequestKindName,
  ServiceName,
  Version,
} from '../ids.js';
import type { RefusalReason } from './call.js';

/** A call that nobody sends. */
export interface ExplainQuery {
  readonly method: string;
  /** The virtual host in lower case. */
  readonly host?: string | undefined;
  readonly path: string;
  readonly caller?: CallerId | undefined;
  /** The name of the client account whose key the call would carry. */
  readonly account?: ClientAccountName | undefined;
}

/** A backend server and what the choice among servers depends on. */
export interface ExplainedServer {
  readonly server: Address;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** 0 for the own host, 1 for the data centre, 2 for the region, 3 for elsewhere. */
  readonly tier: number;
  /** Why the server is not used now: its state, its last answers, or failures; absent if it is a candidate. */
  readonly excluded?: 'not-ready' | 'avoided' | 'ejected';
  /** Absent if the server is not a candidate. Of two random candidates of a tier, the cheaper one is compared. */
  readonly cost?: number;
  /** The share of its slots that is believed to be in use. */
  readonly load: number;
  /** The mean run time of the request kind, if it was reported lately. */
  readonly runMs?: number;
  /** For how long attempts have been in flight there without any answer. */
  readonly silentMs: number;
}

/** A service that the route may choose, with its servers; the cheapest candidates come first. */
export interface ExplainedService {
  readonly service: ServiceName;
  /** The share of the calls of the route, from 0 to 1. */
  readonly share: number;
  /** Why a call would be refused, if it would. */
  readonly refusal?: RefusalReason;
  readonly servers: readonly ExplainedServer[];
}

/** Where a call would go now, or why it would be refused. */
export interface CallExplanation {
  /** The version of the configuration, if there is one. */
  readonly version?: Version;
  /** Why a call would be refused before a service is chosen, if it would. */
  readonly refusal?: RefusalReason;
  readonly route?: string;
  readonly requestKind?: RequestKindName;
  readonly account?: ClientAccountName;
  readonly worth?: number;
  /** The time in milliseconds until the deadline that the call would get. */
  readonly timeoutMs?: number;
  readonly services: readonly ExplainedService[];
}

/** Asks what would happen to a call. */
export interface ExplainRequest {
  readonly kind: 'explain';
  /** Identifies the answer. */
  readonly id: number;
  readonly query: ExplainQuery;
}

/** Answers an {@link ExplainRequest}. */
export interface ExplainAnswer {
  readonly kind: 'explained';
  readonly id: number;
  readonly explanation: CallExplanation;
}
