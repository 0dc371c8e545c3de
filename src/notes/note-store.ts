/** The replicated state of the source: every accepted note, and the configuration that they produce. */
import type { Digest, NoteNumber, ServiceName, Version } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type {
  Change,
  NoteAnswer,
  NoteCommand,
  NoteReceipt,
  ReplaceCommand,
  Replacement,
  ReplacementDocument,
  RolloutResource,
  VersionDelta,
  ConfigurationSnapshot,
} from '../messages/index.js';
import type { NoteVerdict } from './decide-command.js';
import { decideCommand } from './decide-command.js';
import type { NoteTables } from './decide-edit.js';
import { buildReplaceCommand } from './decide-replace.js';
import { findRollout } from './decide-rollout.js';
import { LayerTable } from './layer-table.js';
import type { NoteEntry } from './note-entry.js';
import { isWithdrawn, listActions, readPosition } from './note-entry.js';
import { ConfigurationTable } from './configuration-table.js';

/** The result of a command: the answer, and the new version, if it made one. */
export interface NoteOutcome {
  readonly answer: NoteAnswer;
  readonly delta: VersionDelta | undefined;
}

/** The state as plain data, for snapshots of the log. */
export interface NoteStoreSnapshot {
  readonly version: Version;
  /** The set digest of the configuration that the notes produce. */
  readonly digest: Digest;
  /** The accepted notes, in the order of their first acceptance. */
  readonly entries: readonly NoteEntry[];
  /** The latest replacement of the whole configuration, if there was one. */
  readonly replacement?: ReplacementDocument | undefined;
  /** The records of roll-outs; absent if there are none. */
  readonly rollouts?: readonly RolloutResource[];
}

/**
 * The state machine of the source. The same commands in the same order lead to the same state at every
 * replica.
 *
 * It is updated in place, so that the cost of a command does not depend on the number of notes. It has one
 * owner, which never shares it with another task.
 *
 * @example
 * const store = new NoteStore();
 * const { answer, delta } = store.apply({ kind: 'submit', draft });
 */
export class NoteStore {
  readonly #entries = new Map<NoteNumber, NoteEntry>();
  /** The numbers of the notes in the order of their first acceptance. */
  readonly #order: NoteNumber[] = [];
  readonly #layers: LayerTable;
  readonly #configuration: ConfigurationTable;
  #replacement: ReplacementDocument | undefined;
  #newestNoteVersion: Version = NO_VERSION;
  /** The services that have a record of a roll-out. */
  readonly #rollouts = new Set<ServiceName>();

  /** Creates a state without notes. Only {@link NoteStore.open} passes tables that are not empty. */
  constructor(layers = new LayerTable(), configuration = new ConfigurationTable()) {
    this.#layers = layers;
    this.#configuration = configuration;
  }

  /**
   * Restores a state from a snapshot.
   *
   * @throws when the digest of the notes differs from that of the snapshot.
   */
  static open(snapshot: NoteStoreSnapshot): NoteStore {
    const layers = new LayerTable();
    for (const entry of snapshot.entries) addLayers(layers, entry);
    const { version, digest } = snapshot;
    const configuration = ConfigurationTable.open({
      version,
      digest,
      resources: [...layers.listResources(), ...(snapshot.rollouts ?? [])],
    });
    const book = new NoteStore(layers, configuration);
    for (const entry of snapshot.entries) {
      book.#setEntry(entry);
      for (const { receipt } of entry.steps) book.#updateNewestNoteVersion(receipt.version);
    }
    for (const { name } of snapshot.rollouts ?? []) book.#rollouts.add(name);
    book.#replacement = snapshot.replacement;
    if (book.digest === digest) return book;
    throw new Error(
      `the snapshot of the notes at version ${version} is damaged: the digest of its notes is ${book.digest}, expected ${digest}; empty the data folder, so that this replica is rebuilt from the others`,
    );
  }

  /** The current version of the configuration. */
  get version(): Version {
    return this.#configuration.version;
  }

  /** The set digest of the configuration. */
  get digest(): Digest {
    return this.#configuration.digest;
  }

  /** The number of accepted notes, including withdrawn ones. */
  get size(): number {
    return this.#entries.size;
  }

  /** Finds an accepted note, even if it has been withdrawn. */
  findEntry(number: NoteNumber): NoteEntry | undefined {
    return this.#entries.get(number);
  }

  /** Lists at most `limit` notes that were first accepted after a version, in the order of acceptance. */
  listEntries(after: Version, limit: number): NoteEntry[] {
    const start = this.#findFirstAfter(after);
    return this.#order
      .slice(start, start + limit)
      .flatMap((number) => this.#entries.get(number) ?? []);
  }

  /** Finds the record of the roll-outs of a service. */
  findRollout(service: ServiceName): RolloutResource | undefined {
    return findRollout(this.#configuration, service);
  }

  /** The latest replacement as it was submitted; undefined before the first one. */
  get replacement(): ReplacementDocument | undefined {
    return this.#replacement;
  }

  /** Builds the command that applies a replacement to the current configuration. */
  buildReplaceCommand(replacement: Replacement): ReplaceCommand {
    return buildReplaceCommand(this.#buildTables(), replacement);
  }

  /** Decides on a command without changing any state, so that it can be refused before it enters the log. */
  decide(command: NoteCommand): NoteVerdict {
    return decideCommand(this.#buildTables(), command);
  }

  /** Applies one command. The result depends only on the state and the command. */
  apply(command: NoteCommand): NoteOutcome {
    const verdict = this.decide(command);
    if (verdict.kind === 'unchanged') return { answer: verdict.answer, delta: undefined };
    if (verdict.kind === 'rollout') return this.#applyRollout(verdict.rollout);
    if (command.kind === 'replace') {
      this.#replacement = { number: command.number, document: command.document };
    }
    return this.#applyStep(verdict);
  }

  /** Builds a snapshot of the configuration, to send to proxies. */
  buildConfigurationSnapshot(): ConfigurationSnapshot {
    return this.#configuration.buildSnapshot();
  }

  /** Builds a snapshot of the whole state. */
  buildSnapshot(): NoteStoreSnapshot {
    const entries = [...this.#entries.values()];
    const { version, digest, replacement } = this;
    const rollouts = [...this.#rollouts].flatMap((service) => this.findRollout(service) ?? []);
    return {
      version,
      digest,
      entries,
      replacement,
      ...(rollouts.length === 0 ? {} : { rollouts }),
    };
  }

  // Internals.

  #buildTables(): NoteTables {
    return {
      entries: this.#entries,
      layers: this.#layers,
      whole: this.#configuration,
      newestReplacement: this.#replacement?.number,
      newestNoteVersion: this.#newestNoteVersion,
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
    this.#configuration.apply(decision.changes);
    this.#updateNewestNoteVersion(receipt.version);
    return { answer: { kind: 'accepted', receipt }, delta: this.#buildDelta(receipt, decision) };
  }

  #applyRollout(rollout: RolloutResource): NoteOutcome {
    const changes: Change[] = [{ op: 'put', resource: rollout }];
    this.#configuration.apply(changes);
    this.#rollouts.add(rollout.name);
    const { version, digest } = this;
    return { answer: { kind: 'rollout', rollout }, delta: { version, changes, digest } };
  }

  #updateNewestNoteVersion(version: Version): void {
    if (version > this.#newestNoteVersion) this.#newestNoteVersion = version;
  }

  #setEntry(entry: NoteEntry): void {
    const { number } = entry.draft;
    if (!this.#entries.has(number)) this.#order.push(number);
    this.#entries.set(number, entry);
  }

  /** Finds the index of the first note that was accepted after a version, by binary search. */
  #findFirstAfter(after: Version): number {
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

  #buildDelta(
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
