/** Messages of the replicated log towards its users: the release notes and the ledger. */
import type { HostId, LogIndex, RequestId, Term } from '../ids.js';

/** What the user of a log asks of it. */
export type LogRequest<Command> =
  | { readonly kind: 'propose'; readonly id: RequestId; readonly command: Command }
  /** Asks for a confirmation that this replica still leads; reads are answered only after it. */
  | { readonly kind: 'confirm'; readonly id: RequestId };

/** Why a log could not do what it was asked for. */
export type LogRefusal =
  /** Nothing was appended; the leader, if known, is named. */
  | { readonly kind: 'not-leader'; readonly leader: HostId | undefined }
  /** The command may or may not be committed later; sending it again is safe. */
  | { readonly kind: 'outcome-unknown' };

/** What a log tells its user. Committed entries arrive in the order of their index, without gaps. */
export type LogNotice<Command> =
  | {
      readonly kind: 'committed';
      readonly index: LogIndex;
      readonly term: Term;
      readonly command: Command;
      /** The request that proposed the entry, where it was proposed at this replica. */
      readonly id: RequestId | undefined;
    }
  | { readonly kind: 'confirmed'; readonly id: RequestId }
  | { readonly kind: 'refused'; readonly id: RequestId; readonly refusal: LogRefusal }
  | { readonly kind: 'leading'; readonly leading: boolean };
