/** The note book: every accepted note, and the whole configuration that they add up to. */
import type { Digest, NoteNumber, Version } from '../ids.js';
import type {
  NoteAnswer,
  NoteCommand,
  NoteReceipt,
  ReplaceCommand,
  Replacement,
  ReplacementDocument,
  VersionDelta,
  WholeSnapshot,
} from '../messages/index.js';
import type { NoteVerdict } from './decide-command.js';
import { decideCommand } from './decide-command.js';
import type { NoteTables } from './decide-edit.js';
import { formReplaceCommand } from './decide-replace.js';
import { LayerTable } from './layer-table.js';
import type { NoteEntry } from './note-entry.js';
import { isWithdrawn, listActions, readPosition } from './note-entry.js';
import { WholeTable } from './configuration-table.js';

/** What a command leads to: the answer, and the version that it made, if any. */
export interface NoteOutcome {
  readonly answer: NoteAnswer;
  readonly delta: VersionDelta | undefined;
}

/** A note book as plain data, for the snapshots of the log. */
export interface BookSnapshot {
  readonly version: Version;
  /** The set digest of the configuration that the notes add up to. */
  readonly digest: Digest;
  /** The accepted notes, in the order of their first acceptance. */
  readonly entries: readonly NoteEntry[];
  /** The newest replacement, where there has been one. */
  readonly replacement?: ReplacementDocument | undefined;
}

/**
 * The state that the source replicates: a fold over the committed commands.
 *
 * The book is updated in place, so that a command costs the same however many notes there are. It
 * has one owner, who never hands it to another task. The same commands in the same order make the
 * same book at every replica.
 *
 * @example
 * const book = new NoteBook();
 * const { answer, delta } = book.apply({ kind: 'submit', draft });
 */
export class NoteBook {
  readonly #entries = new Map<NoteNumber, NoteEntry>();
  /** The numbers of the notes in the order of their first acceptance. */
  readonly #order: NoteNumber[] = [];
  readonly #layers: LayerTable;
  readonly #whole: WholeTable;
  #replacement: ReplacementDocument | undefined;

  /** Creates a book without notes; other tables than empty ones come from {@link NoteBook.open}. */
  constructor(layers = new LayerTable(), whole = new WholeTable()) {
    this.#layers = layers;
    this.#whole = whole;
  }

  /** Opens a book from plain data; throws when the data does not add up to its own digest. */
  static open(snapshot: BookSnapshot): NoteBook {
    const layers = new LayerTable();
    for (const entry of snapshot.entries) addLayers(layers, entry);
    const { version, digest } = snapshot;
    const whole = WholeTable.open({ version, digest, resources: layers.listResources() });
    const book = new NoteBook(layers, whole);
    for (const entry of snapshot.entries) book.#setEntry(entry);
    book.#replacement = snapshot.replacement;
    if (book.digest === digest) return book;
    throw new Error(
      `the snapshot of the notes at version ${version} is damaged: its notes add up to ${book.digest}, not to ${digest}; empty the data folder, so that this replica is rebuilt from the others`,
    );
  }

  /** The newest version of the configuration. */
  get version(): Version {
    return this.#whole.version;
  }

  /** The set digest of the configuration. */
  get digest(): Digest {
    return this.#whole.digest;
  }

  /** How many notes have been accepted. */
  get size(): number {
    return this.#entries.size;
  }

  /** Finds an accepted note, also when it has been withdrawn. */
  findEntry(number: NoteNumber): NoteEntry | undefined {
    return this.#entries.get(number);
  }

  /** Lists at most `limit` notes that were first accepted after a version, in that order. */
  listEntries(after: Version, limit: number): NoteEntry[] {
    const start = this.#findStart(after);
    return this.#order.slice(start, start + limit).flatMap((one) => this.#entries.get(one) ?? []);
  }

  /** The newest replacement as it was submitted; none before the first one. */
  get replacement(): ReplacementDocument | undefined {
    return this.#replacement;
  }

  /** Forms the command by which a replacement takes effect on the present configuration. */
  formReplaceCommand(replacement: Replacement): ReplaceCommand {
    return formReplaceCommand(this.#formTables(), replacement);
  }

  /** Decides on a command without changing anything, so that it can be refused early. */
  decide(command: NoteCommand): NoteVerdict {
    return decideCommand(this.#formTables(), command);
  }

  /** Applies one command. The result depends on the book and the command alone. */
  apply(command: NoteCommand): NoteOutcome {
    const verdict = this.decide(command);
    if (verdict.kind === 'unchanged') return { answer: verdict.answer, delta: undefined };
    if (command.kind === 'replace') {
      this.#replacement = { number: command.number, document: command.document };
    }
    return this.#applyStep(verdict);
  }

  /** Packs the configuration for transit. */
  formWholeSnapshot(): WholeSnapshot {
    return this.#whole.formSnapshot();
  }

  /** Packs the book as plain data. */
  formSnapshot(): BookSnapshot {
    const entries = [...this.#entries.values()];
    const { version, digest, replacement } = this;
    return { version, digest, entries, replacement };
  }

  // Internals.

  #formTables(): NoteTables {
    return {
      entries: this.#entries,
      layers: this.#layers,
      whole: this.#whole,
      newestReplacement: this.#replacement?.number,
    };
  }

  #applyStep({
    step,
    draft,
    position,
    decision,
  }: Extract<NoteVerdict, { kind: 'step' }>): NoteOutcome {
    const { receipt } = step;
    const former = this.#entries.get(receipt.number);
    const steps: NoteEntry['steps'] = former === undefined ? [step] : [...former.steps, step];
    this.#setEntry({ draft, steps });
    for (const { key, layer } of decision.updates) this.#layers.update(key, position, layer);
    this.#whole.apply(decision.changes);
    return { answer: { kind: 'accepted', receipt }, delta: this.#formDelta(receipt, decision) };
  }

  #setEntry(entry: NoteEntry): void {
    const { number } = entry.draft;
    if (!this.#entries.has(number)) this.#order.push(number);
    this.#entries.set(number, entry);
  }

  /** Finds the first note that was accepted after a version, by bisection. */
  #findStart(after: Version): number {
    let low = 0;
    let high = this.#order.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#readPositionAt(middle) <= after) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  #readPositionAt(index: number): Version {
    const number = this.#order[index];
    const entry = number === undefined ? undefined : this.#entries.get(number);
    return entry === undefined ? this.version : readPosition(entry);
  }

  #formDelta(
    { number, revision, version }: NoteReceipt,
    { changes }: Pick<VersionDelta, 'changes'>,
  ): VersionDelta {
    return { version, note: number, revision, changes, digest: this.digest };
  }
}

// Internals.

function addLayers(layers: LayerTable, entry: NoteEntry): void {
  if (isWithdrawn(entry)) return;
  const position = readPosition(entry);
  for (const { key, action, resource } of listActions(entry.draft)) {
    layers.update(key, position, { note: entry.draft.number, position, action, resource });
  }
}
