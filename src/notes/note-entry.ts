/** One accepted note, with everything that was accepted about it. */
import type { ResourceKey, Version } from '../ids.js';
import type { NoteDraft, NoteReceipt, Resource } from '../messages/index.js';
import { formKey } from '../messages/index.js';
import type { NoteAction } from './layer-table.js';

/** One accepted command about a note. */
export interface AcceptedStep {
  readonly kind: 'submit' | 'amend' | 'withdraw' | 'replace';
  readonly receipt: NoteReceipt;
}

/** One accepted note. */
export interface NoteEntry {
  /** The note as it was last submitted or amended. */
  readonly draft: NoteDraft;
  /** The accepted commands; the one that made revision `n` stands at `n - 1`. */
  readonly steps: readonly [AcceptedStep, ...AcceptedStep[]];
}

/** What a note does to one resource, with the place at which the note says so. */
export interface PlacedAction {
  readonly key: ResourceKey;
  readonly action: NoteAction;
  readonly resource: Resource | undefined;
  /** The place in the file, for example `add[2]`. */
  readonly place: string;
}

/** Reads the latest receipt of a note. */
export function readReceipt(entry: NoteEntry): NoteReceipt {
  return (entry.steps.at(-1) ?? entry.steps[0]).receipt;
}

/** Reads the place of a note in the order of acceptance. */
export function readPosition(entry: NoteEntry): Version {
  return entry.steps[0].receipt.version;
}

/** Tells whether the effects of a note have been taken out. */
export function isWithdrawn(entry: NoteEntry): boolean {
  return entry.steps.at(-1)?.kind === 'withdraw';
}

/** Lists what a note does, in the order of its file. */
export function listActions(draft: NoteDraft): PlacedAction[] {
  return [
    ...draft.add.map((resource, index) => formAction('add', resource, index)),
    ...draft.change.map((resource, index) => formAction('change', resource, index)),
    ...draft.withdraw.map((key, index): PlacedAction => {
      return { key, action: 'withdraw', resource: undefined, place: `withdraw[${index}]` };
    }),
  ];
}

// Internals.

function formAction(action: 'add' | 'change', resource: Resource, index: number): PlacedAction {
  return { key: formKey(resource), action, resource, place: `${action}[${index}]` };
}
