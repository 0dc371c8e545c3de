/** The state of the membership pipe and the messages that go in and out. */
import { addMs } from '../clock.js';
import type { Address, HostId, Incarnation, InstanceId, Instant, Version } from '../ids.js';
import type {
  Announcement,
  Broadcast,
  Member,
  MembershipEvent,
  Observation,
  ProbeMessage,
  SyncMessage,
} from '../messages/index.js';
import type { Tick, Wake } from '../pipe/index.js';
import type { Random } from '../random.js';
import { BroadcastBook } from './seen-broadcasts.js';
import { DataCentreContacts } from './data-centre-contacts.js';
import { DeadlineQueue } from './deadline-queue.js';
import { LocalHealth } from './local-health.js';
import { MemberTable } from './member-table.js';
import type { Status } from './member-table.js';
import { OwnServers } from './local-servers.js';
import { ProbeOrder } from './probe-order.js';
import { ServiceFloor } from './availability-floor.js';
import {
  GOSSIP_INTERVAL_MS,
  JOIN_INTERVAL_MS,
  PROBE_INTERVAL_MS,
  RECONNECT_INTERVAL_MS,
  SYNC_BUSY_INTERVAL_MS,
  SYNC_INTERVAL_MS,
} from './timing.js';
import { UpdateQueue } from './update-queue.js';

/** What the membership pipe is told. */
export type MembersIn =
  | { readonly kind: 'announce'; readonly announcement: Announcement }
  | Observation
  /** Asks to let every member know of an item. */
  | { readonly kind: 'broadcast'; readonly item: Broadcast }
  /** Marks the life of a backend server that goes by this id as leaving. */
  | { readonly kind: 'server-left'; readonly instance: InstanceId; readonly life?: number }
  /** Where members can be found from now on. */
  | { readonly kind: 'seeds'; readonly seeds: readonly Address[] }
  /** Tells which configuration version this process holds; passed on with the next record only. */
  | { readonly kind: 'held'; readonly version: Version }
  /** Publishes every own backend server as draining, for good. */
  | { readonly kind: 'drain' }
  /** Tells the others that this process ends. Nothing is sent afterwards. */
  | { readonly kind: 'leave' }
  | { readonly kind: 'datagram'; readonly from: Address; readonly message: ProbeMessage }
  | { readonly kind: 'received'; readonly address: Address; readonly body: SyncMessage }
  | Tick;

/** What the membership pipe sends on. */
export type MembersOut =
  | MembershipEvent
  | { readonly kind: 'datagram'; readonly to: Address; readonly message: ProbeMessage }
  /** A message for a link. */
  | { readonly kind: 'send'; readonly to: Address; readonly body: SyncMessage }
  | Wake;

/** What a membership pipe needs. */
export interface MembersOptions {
  /** This process; its incarnation and servers are set by the filter. */
  readonly self: Member;
  /** The first incarnation is derived from it, so that each life begins above the former one. */
  readonly startedAt: Instant;
  /** Control addresses at which members can be found. */
  readonly seeds: readonly Address[];
  readonly random: Random;
}

/** A probe of this member that waits for its end. */
export interface Probe {
  readonly sequence: number;
  readonly target: Member;
  readonly sentAt: Instant;
  readonly indirectAt: Instant;
  hasAskedHelpers: boolean;
  helpers: number;
  isHelperHeard: boolean;
  isAnswered: boolean;
}

/** A probe that this member runs for another one. */
export interface Relay {
  readonly requester: Address;
  readonly sequence: number;
  readonly deadline: Instant;
}

/** What has happened so far, for metrics. */
export interface MembersCounts {
  refutations: number;
  suspicions: number;
  deaths: number;
  pauses: number;
  ignoredAnnouncements: number;
}

/** The state of the membership pipe. It is updated in place. */
export interface MembersState {
  readonly options: MembersOptions;
  readonly random: Random;
  self: Member;
  /** Control addresses at which members can be found. */
  seeds: readonly Address[];
  isStarted: boolean;
  hasLeft: boolean;
  readonly table: MemberTable;
  readonly queue: UpdateQueue;
  readonly floor: ServiceFloor;
  readonly servers: OwnServers;
  readonly broadcasts: BroadcastBook;
  readonly contacts: DataCentreContacts;
  readonly health: LocalHealth;
  /** Suspects, due when they are to be declared dead. */
  readonly suspects: DeadlineQueue<Status>;
  /** Dead members, due when they may be forgotten. */
  readonly tombstones: DeadlineQueue<Status>;
  /** Dead members that are contacted now and then. */
  readonly remembered: ProbeOrder;
  /** Members that should be probed before their turn. */
  readonly urgent: Set<HostId>;
  /** The member whose failed probe raised doubt about its whole data centre. */
  doubt: HostId | undefined;
  probe: Probe | undefined;
  readonly relays: Map<number, Relay>;
  sequence: number;
  probeAt: Instant;
  gossipAt: Instant;
  syncAt: Instant;
  /** The present interval between exchanges. It grows while they show that the table is nearly whole. */
  syncIntervalMs: number;
  seedAt: Instant;
  reconnectAt: Instant;
  /** Nobody is suspected or declared dead before this instant. */
  graceUntil: Instant;
  /** When the next turn is expected at the latest. */
  turnBy: Instant;
  readonly counts: MembersCounts;
}

/** Creates the state before the first message. */
export function createMembersState(options: MembersOptions): MembersState {
  const { random, startedAt } = options;
  const delay = (milliseconds: number): Instant => addMs(startedAt, random.next() * milliseconds);
  return {
    options,
    random,
    self: { ...options.self, incarnation: Math.floor(startedAt) as Incarnation, servers: [] },
    seeds: options.seeds,
    isStarted: false,
    hasLeft: false,
    table: new MemberTable(options.self.host),
    queue: new UpdateQueue(),
    floor: new ServiceFloor(),
    servers: new OwnServers(),
    broadcasts: new BroadcastBook(),
    contacts: new DataCentreContacts(),
    health: new LocalHealth(),
    suspects: new DeadlineQueue<Status>(),
    tombstones: new DeadlineQueue<Status>(),
    remembered: new ProbeOrder(),
    urgent: new Set(),
    doubt: undefined,
    probe: undefined,
    relays: new Map(),
    sequence: 0,
    probeAt: delay(PROBE_INTERVAL_MS),
    gossipAt: delay(GOSSIP_INTERVAL_MS),
    syncAt: delay(SYNC_INTERVAL_MS),
    syncIntervalMs: SYNC_BUSY_INTERVAL_MS,
    seedAt: delay(JOIN_INTERVAL_MS / 10),
    reconnectAt: delay(RECONNECT_INTERVAL_MS),
    graceUntil: startedAt,
    turnBy: startedAt,
    counts: { refutations: 0, suspicions: 0, deaths: 0, pauses: 0, ignoredAnnouncements: 0 },
  };
}
