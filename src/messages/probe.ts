/** Datagrams of the failure detector, and the membership updates that they carry along. */
import type { Address, Digest, HostId, Incarnation } from '../ids.js';
import type { Liveness, Member } from './member.js';

/** A fact about one member that is worth passing on. */
export type MemberUpdate =
  /** What a member published of itself. Its liveness is `alive` by definition. */
  | { readonly kind: 'record'; readonly member: Member }
  /** What others concluded about a member. */
  | {
      readonly kind: 'status';
      readonly host: HostId;
      readonly incarnation: Incarnation;
      readonly liveness: Exclude<Liveness, 'alive'>;
    }
  /**
   * A crash fingerprint. In transit it carries the time that is left, because the clocks of two hosts
   * differ; the receiver stores a deadline of its own clock.
   */
  | {
      readonly kind: 'crash-seen';
      readonly fingerprint: Digest;
      readonly server: Address;
      readonly remainingMs: number;
    };

/** One datagram. `sequence` matches an answer to its question, within one sender's life. */
export type ProbeMessage =
  /** Asks for an `ack`. A host that is not `to` ignores it; without `to` anybody answers. */
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
  /** Asks a helper to probe `target` and to answer `ack` or `nack`. */
  | {
      readonly kind: 'ping-request';
      readonly from: HostId;
      readonly sequence: number;
      readonly target: HostId;
      readonly address: Address;
      readonly updates: readonly MemberUpdate[];
    }
  /** The helper is well but did not hear from the target. */
  | { readonly kind: 'nack'; readonly from: HostId; readonly sequence: number }
  | {
      readonly kind: 'gossip';
      readonly from: HostId;
      readonly updates: readonly MemberUpdate[];
    };
