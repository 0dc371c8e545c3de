/** Roll-outs: orders to move a service to another version of its backend servers, and their steps. */
import type {
  Address,
  Instant,
  RequestKindName,
  ServerVersion,
  ServiceName,
  Version,
} from '../ids.js';
import type { NoteFault } from './note.js';
import type { RolloutResource } from './resource.js';

/** An operator's order, before the leader has given it a deadline. */
export interface RolloutOrder {
  readonly service: ServiceName;
  readonly to: ServerVersion;
  /** The operator's time for the whole roll-out; it becomes a deadline when the order is proposed. */
  readonly durationMs: number;
}

/** The position of a roll-out that a command continues; the command has no effect at any other position. */
export interface RolloutPosition {
  readonly service: ServiceName;
  readonly order: Version;
  readonly step: number;
}

/** A command about a roll-out, as stored in the log. */
export type RolloutCommand =
  | {
      readonly kind: 'start-rollout';
      readonly service: ServiceName;
      readonly to: ServerVersion;
      readonly startedAt: Instant;
      readonly deadline: Instant;
    }
  /** Sets the share of the calls that may go to the ordered version. */
  | { readonly kind: 'step-rollout'; readonly at: RolloutPosition; readonly share: number }
  | {
      readonly kind: 'end-rollout';
      readonly at: RolloutPosition;
      readonly state: 'completed' | 'rolled-back';
      readonly reason: string;
    }
  /** Records the version in use of a service for which there is no record. */
  | {
      readonly kind: 'adopt-version';
      readonly service: ServiceName;
      readonly version: ServerVersion;
      readonly startedAt: Instant;
    };

/** The answer to a command or an order. */
export type RolloutAnswer =
  /** The command has changed the record. */
  | { readonly kind: 'rollout'; readonly rollout: RolloutResource }
  /** The same order, or another one for the service, is in progress. */
  | {
      readonly kind: 'rollout-in-progress';
      readonly rollout: RolloutResource;
      readonly message: string;
    }
  | { readonly kind: 'rollout-refused'; readonly faults: readonly NoteFault[] }
  /** The record has changed since the leader decided on this command. */
  | { readonly kind: 'rollout-moved'; readonly service: ServiceName }
  /** The settings of this deployment have no roll-outs. */
  | { readonly kind: 'rollouts-off'; readonly message: string };

/** The runs of one request kind at one backend server since the order of a roll-out. */
export interface RunCounts {
  readonly server: Address;
  readonly requestKind: RequestKindName;
  /** Whether the server has the ordered version; otherwise it has the one in use. */
  readonly isOrdered: boolean;
  /** The runs that have begun. */
  readonly begun: number;
  /** The runs that have ended with an answer or a failure. */
  readonly ended: number;
  readonly failed: number;
  /** The run times by bucket, except those of servers that are warming up. */
  readonly runTimes: readonly number[];
}

/** What a proxy has counted for one running roll-out. All counts are totals, so that a lost report costs nothing. */
export interface RolloutEvidence {
  readonly service: ServiceName;
  readonly order: Version;
  /** The step that this proxy applies. */
  readonly step: number;
  /** The runs in progress at servers of the version in use. */
  readonly runningInUse: number;
  readonly counts: readonly RunCounts[];
}

/** Messages of the channel `rollouts`. */
export type RolloutMessage =
  /** From a proxy to the sources. */
  | { readonly kind: 'evidence'; readonly rollouts: readonly RolloutEvidence[] }
  /** From the leader to a proxy: its report has been heard. */
  | { readonly kind: 'heard' };
