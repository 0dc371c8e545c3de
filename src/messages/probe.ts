/** Datagrams of the failure detector, and the membership updates that they piggyback. */
import type { Address, Digest, HostId, Incarnation, InstanceId } from '../ids.js';
import type { Liveness, Member } from './member.js';

/** An update that members disseminate by gossip. */
export type MemberUpdate =
  /** A record that a member published about itself. Its liveness is always `alive`. */
  | { readonly kind: 'record'; readonly member: Member }
  /** A status that the failure detector of another member concluded, or the member's own leave. */
  | {
      readonly kind: 'status';
      readonly host: HostId;
      readonly incarnation: Incarnation;
      readonly liveness: Exclude<Liveness, 'alive'>;
    }
  /**
   * A crash fingerprint. It carries the remaining time instead of a deadline, because clocks of hosts
   * differ; the receiver stores a deadline of its own clock.
   */
  | {
      readonly kind: 'crash-seen';
      readonly fingerprint: Digest;
      readonly server: Address;
      readonly remainingMs: number;
    }
  /** A run of a backend server that takes no new calls, with the remaining time like `crash-seen`. */
  | {
      readonly kind: 'run-left';
      readonly host: HostId;
      readonly instance: InstanceId;
      readonly life: number;
      readonly remainingMs: number;
    };

/** An update that carries a broadcast item. */
export type BroadcastUpdate = Extract<MemberUpdate, { kind: 'crash-seen' | 'run-left' }>;

/** One datagram. `sequence` matches an answer to its request, within one run of the requester. */
export type ProbeMessage =
  /** Asks for an `ack`. Only the host `to` answers; without `to`, any receiver does. */
  | {
      readonly kind: 'ping';
      readonly from: HostId;
      readonly to: HostId | undefined;
      readonly sequence: number;
      readonly updates: readonly MemberUpdate[];
    }
  | {
      readonly kind: 'ack';
      readonly from: HostId;
      readonly sequence: number;
      readonly updates: readonly MemberUpdate[];
    }
  /** Asks the receiver to probe `target` indirectly and to answer with `ack` or `nack`. */
  | {
      readonly kind: 'ping-request';
      readonly from: HostId;
      readonly sequence: number;
      readonly target: HostId;
      readonly address: Address;
      readonly updates: readonly MemberUpdate[];
    }
  /** The helper is reachable, but the target did not answer its probe. */
  | { readonly kind: 'nack'; readonly from: HostId; readonly sequence: number }
  | {
      readonly kind: 'gossip';
      readonly from: HostId;
      readonly updates: readonly MemberUpdate[];
    }
  /** Asks for the crashes that the receiver remembers, and for the runs that have left beside the sender. */
  | { readonly kind: 'recall'; readonly from: HostId; readonly sequence: number }
  /** One part of the answer to a `recall`, counted from 0. */
  | {
      readonly kind: 'recalled';
      readonly from: HostId;
      readonly sequence: number;
      readonly part: number;
      readonly parts: number;
      readonly updates: readonly MemberUpdate[];
    };
