/** The state and the messages of the proxy's side of distribution. */
import { NEVER } from '../clock.js';
import type { Address, DataCentreId, HostId, Instant, Version } from '../ids.js';
import type {
  MemberEvent,
  SourceSpreadMessage,
  SpreadMessage,
  VersionMark,
} from '../messages/index.js';
import type { ApplyFault } from '../notes/index.js';
import type { Tick, Wake } from '../pipe/index.js';
import type { Random } from '../random.js';
import { Admission } from './pull-rate-limiter.js';
import { CatchUp } from './pull-scheduler.js';
import { ChildReports } from './child-reports.js';
import { Overlay } from './overlay.js';
import type { Neighbours } from './overlay.js';
import { PullParts } from './incoming-snapshots.js';
import { ServedPoll } from './served-poll.js';
import type { ServeStep, VouchedBy } from './served-version.js';
import { ServedVersion } from './served-version.js';
import type { SpreadPolicy } from './distribution-policy.js';
import { VersionStore } from './version-store.js';
import { VouchRelay } from './confirm-relay.js';

/** What the proxy's spread pipe needs to know of its own process. */
export interface ProxySpreadOptions {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly control: Address;
  /** Control addresses of source hosts; others are found among the members. */
  readonly sources: readonly Address[];
  /** Whether this host has a disk for the version floor. */
  readonly keepsFloor: boolean;
  readonly policy: SpreadPolicy;
  readonly random: Random;
}

/** What the proxy's spread pipe is told. */
export type ProxySpreadIn =
  /** The first message: the floor that was found on disk, if any. */
  | { readonly kind: 'start'; readonly floor: VersionMark | undefined }
  | { readonly kind: 'link-up'; readonly address: Address }
  | { readonly kind: 'link-down'; readonly address: Address }
  | {
      readonly kind: 'received';
      readonly from: HostId;
      readonly address: Address;
      readonly body: SpreadMessage;
    }
  /** A message that is not of this channel's form. */
  | { readonly kind: 'malformed'; readonly address: Address }
  | { readonly kind: 'floor-saved'; readonly version: Version }
  /** Where source hosts are named from now on. */
  | { readonly kind: 'sources'; readonly sources: readonly Address[] }
  | MemberEvent
  | Tick;

/** Why something that a peer sent was left out. */
export type SpreadFault =
  | ApplyFault
  | { readonly kind: 'malformed' }
  /** The peer holds another configuration under a version that this process holds, too. */
  | { readonly kind: 'conflict'; readonly offered: VersionMark };

/** What the proxy's spread pipe sends on. */
export type ProxySpreadOut =
  | { readonly kind: 'send'; readonly to: Address; readonly body: SpreadMessage }
  | { readonly kind: 'send-source'; readonly to: Address; readonly body: SourceSpreadMessage }
  | { readonly kind: 'keep'; readonly to: Address }
  | { readonly kind: 'drop'; readonly to: Address }
  /** A version is held, though it may not serve yet. */
  | { readonly kind: 'held'; readonly mark: VersionMark }
  /** Something that a peer sent was left out; `count` counts the faults of this kind so far. */
  | {
      readonly kind: 'rejected';
      readonly address: Address;
      readonly fault: SpreadFault;
      readonly count: number;
    }
  /** Somebody has named the version from which this proxy may serve; told once. */
  | { readonly kind: 'vouched'; readonly mark: VersionMark; readonly by: VouchedBy }
  | ServeStep
  | Wake;

/** When the proxy next acts without a message. */
export interface SpreadDeadlines {
  /** Until then the membership may still arrive, so the proxy does not take itself for a root. */
  settle: Instant;
  advertise: Instant;
  compare: Instant;
  report: Instant;
  refresh: Instant;
  /** When the children that have not reported the present version are told of it again. */
  remind: Instant;
  /** The instant that the task was last asked to wake the filter at. */
  wake: Instant;
}

/** The state of the proxy's spread pipe. Its parts are updated in place. */
export interface ProxySpreadState {
  readonly store: VersionStore;
  readonly served: ServedVersion;
  readonly overlay: Overlay;
  readonly catchUp: CatchUp;
  readonly parts: PullParts;
  readonly admission: Admission;
  readonly reports: ChildReports;
  readonly vouches: VouchRelay;
  readonly poll: ServedPoll;
  readonly linked: Set<Address>;
  /** The control addresses of the source hosts: those of the settings and of the members. */
  readonly sources: Set<Address>;
  /** The source hosts that the settings name. */
  namedSources: readonly Address[];
  /** The source hosts among the members. */
  readonly sourceHosts: Map<HostId, Address>;
  /** The sources to which links are kept. */
  readonly keptSources: Set<Address>;
  readonly deadlines: SpreadDeadlines;
  appliedAt: Instant;
  /** The neighbours in the present forest; undefined after the membership has changed. */
  neighbours: Neighbours | undefined;
  /** Whether the time to learn the membership is over. */
  isSettled: boolean;
  /** Counts the reminders since the last version was applied. */
  reminders: number;
  /** Counts comparisons, so that each goes to another peer. */
  comparisons: number;
  /** Counts what was left out, by the kind of its fault. */
  readonly rejections: Map<SpreadFault['kind'], number>;
  /** The last report that was sent, as text, so that an unchanged one is not sent again. */
  reported: string;
}

/** Creates the state of a proxy that has just started and holds nothing. */
export function createProxyState(options: ProxySpreadOptions): ProxySpreadState {
  const { policy, random, keepsFloor } = options;
  return {
    store: new VersionStore(),
    served: new ServedVersion(keepsFloor),
    overlay: new Overlay(policy.shape),
    catchUp: new CatchUp(random),
    parts: new PullParts(),
    admission: new Admission(PROXY_RATE),
    reports: new ChildReports(),
    vouches: new VouchRelay(random),
    poll: new ServedPoll(),
    linked: new Set(),
    sources: new Set(options.sources),
    namedSources: options.sources,
    sourceHosts: new Map(),
    keptSources: new Set(),
    deadlines: { ...NO_DEADLINES },
    appliedAt: 0 as Instant,
    neighbours: undefined,
    isSettled: false,
    reminders: 0,
    comparisons: 0,
    rejections: new Map(),
    reported: '',
  };
}

// Internals.

const NO_DEADLINES: SpreadDeadlines = {
  settle: NEVER,
  advertise: NEVER,
  compare: NEVER,
  report: NEVER,
  refresh: NEVER,
  remind: NEVER,
  wake: NEVER,
};

const PROXY_RATE = { bytesPerSecond: 512 * 1024, burstBytes: 1024 * 1024 };
