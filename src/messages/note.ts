/** Release notes: the commands of operators, and the answers to them. */
import type { Digest, Generation, NoteNumber, ResourceKey, Revision, Version } from '../ids.js';
import type { Straggler } from './coverage.js';
import type { Change, Resource } from './resource.js';
import type { RolloutAnswer, RolloutCommand } from './rollout.js';

/** A release note that has been parsed but not yet accepted. */
export interface NoteDraft {
  readonly number: NoteNumber;
  readonly title: string;
  /** The generation that the note applies to, if it names one. */
  readonly generation?: Generation;
  readonly add: readonly Resource[];
  readonly change: readonly Resource[];
  readonly withdraw: readonly ResourceKey[];
  /** The earlier notes whose effects this note overwrites, withdraws or restores. */
  readonly supersedes: readonly NoteNumber[];
}

/** An operator's command about one note. */
export type NoteEdit =
  | { readonly kind: 'submit'; readonly draft: NoteDraft }
  | { readonly kind: 'amend'; readonly draft: NoteDraft; readonly readAt: Revision }
  | { readonly kind: 'withdraw'; readonly number: NoteNumber; readonly readAt: Revision };

/** A command to the source, of an operator or of the leader itself. */
export type NoteCommand = NoteEdit | ReplaceCommand | RolloutCommand;

/** A complete configuration that replaces the present one. */
export interface Replacement {
  readonly number: NoteNumber;
  /** The replacement that this one is based on; `undefined` for the first one. */
  readonly base: NoteNumber | undefined;
  readonly resources: readonly Resource[];
  /** The configuration as submitted, in the encoding of its front, for operators to read back. */
  readonly document: Uint8Array;
  /** Digest of the document; equal when the same replacement is sent again. */
  readonly digest: Digest;
}

/**
 * A {@link Replacement} as stored in the log. It holds only the difference from the configuration version
 * `against`, so it takes effect only if no later version came from a note or a replacement.
 */
export interface ReplaceCommand {
  readonly kind: 'replace';
  readonly number: NoteNumber;
  readonly base: NoteNumber | undefined;
  readonly against: Version;
  readonly changes: readonly Change[];
  readonly document: Uint8Array;
  readonly digest: Digest;
}

/** The newest accepted replacement, as submitted. */
export interface ReplacementDocument {
  readonly number: NoteNumber;
  readonly document: Uint8Array;
}

/** One validation error of a note, with its path in the file, for example `add[2].service`. */
export interface NoteFault {
  readonly place: string;
  readonly message: string;
}

/** The receipt of an accepted note. Sending the note again returns the same receipt. */
export interface NoteReceipt {
  readonly number: NoteNumber;
  readonly revision: Revision;
  readonly version: Version;
  readonly digest: Digest;
}

/** The source's answer to a {@link NoteCommand}. */
export type NoteAnswer =
  | {
      readonly kind: 'accepted';
      readonly receipt: NoteReceipt;
      /** Whether the same command had been accepted before, so that this one changed nothing. */
      readonly isRepeat?: boolean;
    }
  | { readonly kind: 'refused'; readonly faults: readonly NoteFault[] }
  /** The number already belongs to another note. */
  | { readonly kind: 'number-taken'; readonly winner: NoteReceipt }
  /** The note was amended after the revision that the operator read. */
  | { readonly kind: 'stale-revision'; readonly current: Revision }
  /** The configuration has changed since the base of this replacement. */
  | { readonly kind: 'stale-base'; readonly current: NoteNumber | undefined }
  /** The note would undo these earlier notes without superseding them. */
  | { readonly kind: 'would-undo'; readonly notes: readonly NoteNumber[] }
  /** These later notes depend on resources that the withdrawal would remove. */
  | { readonly kind: 'rested-on'; readonly notes: readonly NoteNumber[] }
  | { readonly kind: 'unknown-note'; readonly number: NoteNumber }
  | RolloutAnswer;

/** How many proxies hold a version. */
export interface Coverage {
  /** Proxies known to the source. */
  readonly known: number;
  /** Proxies that hold the version or a later one. */
  readonly holding: number;
  readonly stragglers: readonly Straggler[];
}

/** The state of one note. */
export interface NoteStatus {
  readonly receipt: NoteReceipt;
  readonly title: string;
  readonly withdrawn: boolean;
  /** Whether every known proxy holds the version of the note. */
  readonly inForce: boolean;
  readonly coverage: Coverage;
  readonly draft: NoteDraft;
  /** The receipts of all revisions, in order. */
  readonly history: readonly NoteReceipt[];
}

/** The state of one note in a list. */
export interface NoteSummary {
  readonly receipt: NoteReceipt;
  readonly title: string;
  readonly withdrawn: boolean;
  readonly inForce: boolean;
  /** Proxies known to the source. */
  readonly known: number;
  /** Proxies that hold the version of the note or a later one. */
  readonly holding: number;
}

/** One page of the list of accepted notes, in the order of their first acceptance. */
export interface NotePage {
  readonly notes: readonly NoteSummary[];
  /** The cursor of the next page: it holds the notes after this version. Absent on the last page. */
  readonly next: Version | undefined;
}
