/** Release notes: what operators ask for, and what they are answered. */
import type { Digest, Generation, NoteNumber, ResourceKey, Revision, Version } from '../ids.js';
import type { Straggler } from './coverage.js';
import type { Change, Resource } from './resource.js';

/** A release note that has been read, but not yet been accepted. */
export interface NoteDraft {
  readonly number: NoteNumber;
  readonly title: string;
  /** The generation that the note is about, where it names one. */
  readonly generation?: Generation;
  readonly add: readonly Resource[];
  readonly change: readonly Resource[];
  readonly withdraw: readonly ResourceKey[];
  /** The earlier notes whose effects this one overwrites, withdraws or brings back. */
  readonly supersedes: readonly NoteNumber[];
}

/** What an operator asks of the source about one note. */
export type NoteEdit =
  | { readonly kind: 'submit'; readonly draft: NoteDraft }
  | { readonly kind: 'amend'; readonly draft: NoteDraft; readonly readAt: Revision }
  | { readonly kind: 'withdraw'; readonly number: NoteNumber; readonly readAt: Revision };

/** What an operator asks of the source. */
export type NoteCommand = NoteEdit | ReplaceCommand;

/** A whole configuration that shall take the place of the present one. */
export interface Replacement {
  readonly number: NoteNumber;
  /** The replacement that this one was made from; none for the first one. */
  readonly base: NoteNumber | undefined;
  readonly resources: readonly Resource[];
  /** The configuration as it was submitted, for reading it back; its encoding is the front's. */
  readonly document: Uint8Array;
  /** Digest of the document; a resend has the same one. */
  readonly digest: Digest;
}

/**
 * A {@link Replacement} as it stands in the log. It carries only what differs from the configuration
 * `against`, so it takes effect only while that version is still the newest.
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

/** The newest accepted replacement, as it was submitted. */
export interface ReplacementDocument {
  readonly number: NoteNumber;
  readonly document: Uint8Array;
}

/** One fault of a note, with its place in the file, for example `add[2].service`. */
export interface NoteFault {
  readonly place: string;
  readonly message: string;
}

/** The proof that a note was accepted; a resend gets the same one again. */
export interface NoteReceipt {
  readonly number: NoteNumber;
  readonly revision: Revision;
  readonly version: Version;
  readonly digest: Digest;
}

/** How the source answers a {@link NoteCommand}. */
export type NoteAnswer =
  | { readonly kind: 'accepted'; readonly receipt: NoteReceipt }
  | { readonly kind: 'refused'; readonly faults: readonly NoteFault[] }
  /** The number already belongs to another note. */
  | { readonly kind: 'number-taken'; readonly winner: NoteReceipt }
  /** The note has been amended since the revision that the operator read. */
  | { readonly kind: 'stale-revision'; readonly current: Revision }
  /** The configuration has changed since the replacement's base. */
  | { readonly kind: 'stale-base'; readonly current: NoteNumber | undefined }
  /** The note would undo these earlier notes without naming them. */
  | { readonly kind: 'would-undo'; readonly notes: readonly NoteNumber[] }
  /** Later notes rest on what this withdrawal would take out. */
  | { readonly kind: 'rested-on'; readonly notes: readonly NoteNumber[] }
  | { readonly kind: 'unknown-note'; readonly number: NoteNumber };

/** How far a version has spread. */
export interface Coverage {
  /** Proxies known to the source. */
  readonly known: number;
  /** Proxies that hold the version or a later one. */
  readonly holding: number;
  readonly stragglers: readonly Straggler[];
}

/** The state of one note, as read back by an operator. */
export interface NoteStatus {
  readonly receipt: NoteReceipt;
  readonly title: string;
  readonly withdrawn: boolean;
  /** Whether every known proxy holds the version of the note. */
  readonly inForce: boolean;
  readonly coverage: Coverage;
  readonly draft: NoteDraft;
  /** The receipts of all revisions, from the first one. */
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

/** Some accepted notes, in the order of their first acceptance. */
export interface NotePage {
  readonly notes: readonly NoteSummary[];
  /** Ask for the notes after this version to read on; absent on the last page. */
  readonly next: Version | undefined;
}
