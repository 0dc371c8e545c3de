/** The state of the membership pipe, and its input and output messages. */
import { addMs } from '../clock.js';
import type { Address, HostId, Incarnation, InstanceId, Instant, Version } from '../ids.js';
import type {
  Announcement,
  BroadcastUpdate,
  CrashSeen,
  LinkEvent,
  Member,
  MembershipEvent,
  MemberUpdate,
  CallObservation,
  ProbeMessage,
  SyncMessage,
} from '../messages/index.js';
import type { Tick, WakeRequest } from '../pipe/index.js';
import type { Random } from '../random.js';
import { SeenBroadcasts } from './seen-broadcasts.js';
import { DataCentreContacts } from './data-centre-contacts.js';
import { DeadlineQueue } from './deadline-queue.js';
import { Introductions } from './introductions.js';
import { listOtherSeeds } from './join.js';
import { LocalHealth } from './local-health.js';
import { MemberTable } from './member-table.js';
import type { MemberStatus } from './member-table.js';
import { LocalServers } from './local-servers.js';
import { ProbeOrder } from './probe-order.js';
import { Recall } from './recall.js';
import { AvailabilityFloor } from './availability-floor.js';
import {
  GOSSIP_INTERVAL_MS,
  JOIN_INTERVAL_MS,
  PROBE_INTERVAL_MS,
  RECONNECT_INTERVAL_MS,
  SEED_INTERVAL_MS,
  SYNC_CATCH_UP_INTERVAL_MS,
  SYNC_INTERVAL_MS,
} from './timing.js';
import { UpdateQueue } from './update-queue.js';

/** An input message of the membership pipe. */
export type MembersIn =
  | { readonly kind: 'announce'; readonly announcement: Announcement }
  | CallObservation
  /** Broadcasts an item to all members. */
  | { readonly kind: 'broadcast'; readonly item: CrashSeen }
  /** Marks the backend server with this instance id as leaving. */
  | { readonly kind: 'server-left'; readonly instance: InstanceId; readonly life?: number }
  /** The broadcast items that this process held on disk when it started. */
  | { readonly kind: 'remembered'; readonly updates: readonly MemberUpdate[] }
  /** Replaces the seeds. */
  | { readonly kind: 'seeds'; readonly seeds: readonly Address[] }
  /** Sets the configuration version that this process holds; published only with the next record. */
  | { readonly kind: 'held'; readonly version: Version }
  /** Publishes all local backend servers as draining; cannot be undone. */
  | { readonly kind: 'drain' }
  /** Announces the end of this process to other members. Nothing is sent afterwards. */
  | { readonly kind: 'leave' }
  | { readonly kind: 'datagram'; readonly from: Address; readonly message: ProbeMessage }
  /** A link to or from another process has opened, or has broken. */
  | Extract<LinkEvent, { readonly kind: 'link-up' | 'link-down' }>
  | { readonly kind: 'received'; readonly address: Address; readonly body: SyncMessage }
  | Tick;

/** A report on the requests for an introduction to other members. */
export type IntroductionReport =
  /** An address has answered for the first time. `others` counts the members that the answer named besides its sender. */
  | {
      readonly kind: 'introduction-answered';
      readonly address: Address;
      readonly host: HostId;
      readonly others: number;
      readonly asks: number;
    }
  /** An address has not answered several requests. */
  | { readonly kind: 'introduction-unanswered'; readonly address: Address };

/** An output message of the membership pipe. */
export type MembersOut =
  | MembershipEvent
  | IntroductionReport
  | { readonly kind: 'datagram'; readonly to: Address; readonly message: ProbeMessage }
  /** A new broadcast item, to be kept on disk by processes that have one. */
  | { readonly kind: 'remember'; readonly update: BroadcastUpdate }
  /** A message to send over a link. */
  | { readonly kind: 'send'; readonly to: Address; readonly body: SyncMessage }
  | WakeRequest;

/** Options of the membership pipe. */
export interface MembersOptions {
  /** The record of this process; the filter sets its incarnation and servers. */
  readonly self: Member;
  /**
   * The start time of the process, from which its first incarnation is derived, so that it exceeds those of earlier
   * runs.
   */
  readonly startedAt: Instant;
  /** Control addresses at which members can be found. */
  readonly seeds: readonly Address[];
  readonly random: Random;
}

/** The current probe of this member. */
export interface Probe {
  readonly sequence: number;
  readonly target: Member;
  readonly sentAt: Instant;
  readonly indirectAt: Instant;
  hasAskedHelpers: boolean;
  helperCount: number;
  hasHelperAnswered: boolean;
  isAnswered: boolean;
}

/** An indirect probe that this member runs for another member. */
export interface RelayedProbe {
  readonly requester: Address;
  readonly sequence: number;
  readonly deadline: Instant;
}

/** Counters since the start of the process. */
export interface MembersCounts {
  refutations: number;
  suspicions: number;
  deaths: number;
  pauses: number;
  ignoredAnnouncements: number;
}

/** The state of the membership pipe, updated in place. */
export interface MembersState {
  readonly options: MembersOptions;
  readonly random: Random;
  self: Member;
  /** Control addresses at which members can be found, without that of this process. */
  seeds: readonly Address[];
  isStarted: boolean;
  hasLeft: boolean;
  readonly table: MemberTable;
  readonly updateQueue: UpdateQueue;
  readonly floor: AvailabilityFloor;
  readonly servers: LocalServers;
  readonly seenBroadcasts: SeenBroadcasts;
  readonly contacts: DataCentreContacts;
  readonly localHealth: LocalHealth;
  /** Suspects, due at the instant when they are declared dead. */
  readonly suspects: DeadlineQueue<MemberStatus>;
  /** Members that are dead or have left, due at the instant when they are removed. */
  readonly tombstones: DeadlineQueue<MemberStatus>;
  /** Dead and suspected members, of which one at most is contacted per interval. */
  readonly reconnectCandidates: ProbeOrder;
  /** Members to probe next, ahead of the regular order. */
  readonly priorityTargets: Set<HostId>;
  /** The member whose failed probe may mean that its whole data centre is unreachable. */
  uncertainTarget: HostId | undefined;
  probe: Probe | undefined;
  readonly relayedProbes: Map<number, RelayedProbe>;
  readonly recall: Recall;
  readonly introductions: Introductions;
  /** Members that introductions named, to compare the table with. */
  readonly syncPeers: Set<HostId>;
  /** The size of the table and its count of changed records when it was last passed on, and some members of then. */
  settled: { size: number; records: number; sample: readonly Member[] };
  sequence: number;
  probeAt: Instant;
  gossipAt: Instant;
  syncAt: Instant;
  /** The current interval between anti-entropy exchanges, which increases while tables are nearly equal. */
  syncIntervalMs: number;
  introductionSyncAt: Instant;
  seedAt: Instant;
  reconnectAt: Instant;
  /** No member is suspected or declared dead before this instant. */
  graceUntil: Instant;
  /** The latest instant at which the next message is expected; a later one shows that the process was paused. */
  expectedBy: Instant;
  readonly counts: MembersCounts;
}

/** Returns the initial state. */
export function createMembersState(options: MembersOptions): MembersState {
  const { random, self, startedAt } = options;
  const seeds = listOtherSeeds(self, options.seeds);
  const delay = (milliseconds: number): Instant => addMs(startedAt, random.next() * milliseconds);
  return {
    options,
    random,
    self: { ...options.self, incarnation: Math.floor(startedAt) as Incarnation, servers: [] },
    seeds,
    isStarted: false,
    hasLeft: false,
    table: new MemberTable(options.self.host),
    updateQueue: new UpdateQueue(),
    floor: new AvailabilityFloor(),
    servers: new LocalServers(),
    seenBroadcasts: new SeenBroadcasts(),
    contacts: new DataCentreContacts(),
    localHealth: new LocalHealth(),
    suspects: new DeadlineQueue<MemberStatus>(),
    tombstones: new DeadlineQueue<MemberStatus>(),
    reconnectCandidates: new ProbeOrder(),
    priorityTargets: new Set(),
    uncertainTarget: undefined,
    probe: undefined,
    relayedProbes: new Map(),
    recall: new Recall(startedAt),
    introductions: new Introductions(seeds, random, delay(JOIN_INTERVAL_MS / 10)),
    syncPeers: new Set(),
    settled: { size: 0, records: 0, sample: [] },
    sequence: 0,
    probeAt: delay(PROBE_INTERVAL_MS),
    gossipAt: delay(GOSSIP_INTERVAL_MS),
    syncAt: delay(SYNC_INTERVAL_MS),
    syncIntervalMs: SYNC_CATCH_UP_INTERVAL_MS,
    introductionSyncAt: startedAt,
    seedAt: delay(SEED_INTERVAL_MS),
    reconnectAt: delay(RECONNECT_INTERVAL_MS),
    graceUntil: startedAt,
    expectedBy: startedAt,
    counts: { refutations: 0, suspicions: 0, deaths: 0, pauses: 0, ignoredAnnouncements: 0 },
  };
}
