/** The state and the messages of distribution on a proxy. */
import { NEVER } from '../clock.js';
import type { Address, DataCentreId, HostId, Instant, Version } from '../ids.js';
import type {
  MemberEvent,
  SourceDistributionMessage,
  DistributionMessage,
  VersionMark,
} from '../messages/index.js';
import type { ConfigurationFault } from '../notes/index.js';
import type { Tick, WakeRequest } from '../pipe/index.js';
import type { Random } from '../random.js';
import { PullRateLimiter } from './pull-rate-limiter.js';
import { PullScheduler } from './pull-scheduler.js';
import { ChildReports } from './child-reports.js';
import { Overlay } from './overlay.js';
import { SentVersions } from './sent-versions.js';
import type { Neighbours } from './overlay.js';
import { NewestKnown } from './newest-known.js';
import type { NewestKnownOut } from './newest-known.js';
import { IncomingSnapshots } from './incoming-snapshots.js';
import { ServedPoll } from './served-poll.js';
import type { ServeStep, ConfirmedBy } from './served-version.js';
import { ServedVersion } from './served-version.js';
import type { DistributionPolicy } from './distribution-policy.js';
import { VersionStore } from './version-store.js';
import { ConfirmRelay } from './confirm-relay.js';

/** Options of distribution on a proxy. */
export interface ProxyDistributionOptions {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly control: Address;
  /** Control addresses of source hosts from the settings; others are found through the membership. */
  readonly sources: readonly Address[];
  /** Whether this host has a disk for the version floor. */
  readonly keepsFloor: boolean;
  readonly policy: DistributionPolicy;
  readonly random: Random;
}

/** The input messages of distribution on a proxy. */
export type ProxyDistributionIn =
  /** The first message: the version floor loaded from disk, if any. */
  | { readonly kind: 'start'; readonly floor: VersionMark | undefined }
  | { readonly kind: 'link-up'; readonly address: Address }
  | { readonly kind: 'link-down'; readonly address: Address }
  | {
      readonly kind: 'received';
      readonly from: HostId;
      readonly address: Address;
      readonly body: DistributionMessage;
    }
  /** A message that does not match the schema of this channel. */
  | { readonly kind: 'malformed'; readonly address: Address }
  | { readonly kind: 'floor-saved'; readonly version: Version }
  /** The source hosts in the settings have changed. */
  | { readonly kind: 'sources'; readonly sources: readonly Address[] }
  | MemberEvent
  | Tick;

/** Why a message of a peer was rejected. */
export type DistributionFault =
  | ConfigurationFault
  | { readonly kind: 'malformed' }
  /** The peer has another digest for a version that this process also holds. */
  | { readonly kind: 'conflict'; readonly offered: VersionMark };

/** The output messages of distribution on a proxy. */
export type ProxyDistributionOut =
  | { readonly kind: 'send'; readonly to: Address; readonly body: DistributionMessage }
  | { readonly kind: 'send-source'; readonly to: Address; readonly body: SourceDistributionMessage }
  | { readonly kind: 'keep'; readonly to: Address }
  | { readonly kind: 'drop'; readonly to: Address }
  /** A version was applied; it may not be served yet. */
  | { readonly kind: 'held'; readonly mark: VersionMark }
  /** A message of a peer was rejected; `count` is the number of faults of this kind so far. */
  | {
      readonly kind: 'rejected';
      readonly address: Address;
      readonly fault: DistributionFault;
      readonly count: number;
    }
  /** The minimum version that this proxy may serve was confirmed; sent once. */
  | { readonly kind: 'vouched'; readonly mark: VersionMark; readonly by: ConfirmedBy }
  | NewestKnownOut
  | ServeStep
  | WakeRequest;

/** The next deadlines of timed actions. */
export interface DistributionDeadlines {
  /** Until then the membership may be incomplete, so the proxy does not act as a root. */
  settle: Instant;
  advertise: Instant;
  compare: Instant;
  report: Instant;
  refresh: Instant;
  /** When the children that have not reported the current version get another advertisement. */
  remind: Instant;
  /** The instant of the last requested wake-up. */
  wake: Instant;
}

/** The state of distribution on a proxy. Its members are updated in place. */
export interface ProxyDistributionState {
  readonly store: VersionStore;
  readonly served: ServedVersion;
  readonly newestKnown: NewestKnown;
  readonly overlay: Overlay;
  readonly pullScheduler: PullScheduler;
  readonly incomingSnapshots: IncomingSnapshots;
  readonly rateLimiter: PullRateLimiter;
  readonly reports: ChildReports;
  readonly sentVersions: SentVersions;
  readonly confirmRelay: ConfirmRelay;
  readonly poll: ServedPoll;
  readonly linked: Set<Address>;
  /** The control addresses of all source hosts, from the settings and the membership. */
  readonly sources: Set<Address>;
  /** The control addresses of source hosts from the settings. */
  namedSources: readonly Address[];
  /** The control addresses of source hosts from the membership. */
  readonly sourceHosts: Map<HostId, Address>;
  /** The sources that spoke to this proxy in place of its parent, and until when they get its reports. */
  readonly standInSources: Map<Address, Instant>;
  /** The sources to which this proxy keeps links. */
  readonly keptSources: Set<Address>;
  readonly deadlines: DistributionDeadlines;
  appliedAt: Instant;
  /** The cached neighbours; undefined after the membership or the epoch has changed. */
  neighbours: Neighbours | undefined;
  /** Whether the initial wait for the membership has ended. */
  isSettled: boolean;
  /** The number of reminders since the last version was applied. */
  reminders: number;
  /** The number of comparisons; selects the next peer in turn. */
  comparisons: number;
  /** The number of rejected messages by kind of fault. */
  readonly rejections: Map<DistributionFault['kind'], number>;
  /** The last report as JSON, so that an unchanged report is not sent again. */
  reported: string;
}

/** Creates the state of a proxy that has just started and holds no version. */
export function createProxyState(options: ProxyDistributionOptions): ProxyDistributionState {
  const { policy, random, keepsFloor } = options;
  return {
    store: new VersionStore(),
    served: new ServedVersion(keepsFloor),
    newestKnown: new NewestKnown(),
    overlay: new Overlay(policy.shape),
    pullScheduler: new PullScheduler(random),
    incomingSnapshots: new IncomingSnapshots(),
    rateLimiter: new PullRateLimiter(PROXY_RATE),
    reports: new ChildReports(),
    sentVersions: new SentVersions(),
    confirmRelay: new ConfirmRelay(random),
    poll: new ServedPoll(),
    linked: new Set(),
    sources: new Set(options.sources),
    namedSources: options.sources,
    sourceHosts: new Map(),
    standInSources: new Map(),
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

const NO_DEADLINES: DistributionDeadlines = {
  settle: NEVER,
  advertise: NEVER,
  compare: NEVER,
  report: NEVER,
  refresh: NEVER,
  remind: NEVER,
  wake: NEVER,
};

const PROXY_RATE = { bytesPerSecond: 512 * 1024, burstBytes: 1024 * 1024 };
