/** The state of one replica that is independent of its role: term, vote, entries and writes. */
import { addMs, NEVER } from '../clock.js';
import type { Address, HostId, Instant, LogIndex, ReplicaId, RequestId, Term } from '../ids.js';
import type {
  LogMessageBody,
  LogEntry,
  LogMessage,
  LogNotice,
  LogPosition,
  LogRefusal,
  LogSnapshot,
} from '../messages/index.js';
import { DurabilityBarrier } from './durability-barrier.js';
import type { WriteNumber } from './durability-barrier.js';
import { measureEntry } from './entry-size.js';
import type { BatchBounds } from './entry-table.js';
import { EntryTable } from './entry-table.js';
import { JoinRequests } from './join-requests.js';
import type { LogOut, VoterChange } from './log-messages.js';
import type { LogOptions } from './log-options.js';
import type { LogRecord, StoredLog } from './log-record.js';
import { listRecords, START } from './log-record.js';
import { hasVoter } from './membership.js';
import { ReplicaEventReporter } from './replica-events.js';

/** The recipient of a message. */
export interface Recipient {
  readonly address: Address;
  /** The required identity of the recipient; undefined to accept any replica at the address. */
  readonly replica: ReplicaId | undefined;
}

/**
 * Holds the state that all roles share, and collects the outputs of one decision.
 *
 * Messages that other replicas rely on, such as votes and acknowledgements, are sent with
 * {@link Replica.sendDurable}, which delays them until all earlier writes are synced.
 */
export class Replica<Command> {
  readonly options: LogOptions;
  readonly id: ReplicaId;
  readonly entries: EntryTable<Command>;
  readonly joins = new JoinRequests<Command>(this);
  readonly events = new ReplicaEventReporter((event) => {
    this.#outputs.push({ kind: 'event', event });
  });
  #term: Term;
  #vote: ReplicaId | undefined;
  #snapshot: LogSnapshot | undefined;
  #committed: LogIndex;
  #applied: LogIndex;
  #isCapturing = false;
  /** The size of the applied entries that neither the snapshot nor the one that is being captured covers. */
  #bytesSinceSnapshot = 0;
  #leader: HostId | undefined;
  #leaderHeardAt = 0 as Instant;
  #outputs: LogOut<Command>[] = [];
  readonly #barrier: DurabilityBarrier<LogOut<Command>>;
  readonly #proposals = new Map<LogIndex, RequestId>();

  constructor(options: LogOptions, stored: StoredLog<Command>, newReplicaId: ReplicaId) {
    this.options = options;
    this.id = stored.replica ?? newReplicaId;
    this.entries = new EntryTable(stored.base, stored.membership, stored.entries);
    this.#term = stored.term;
    this.#vote = stored.vote;
    this.#snapshot = stored.snapshot;
    this.#committed = stored.snapshot?.index ?? START.index;
    this.#applied = this.#committed;
    this.#barrier = new DurabilityBarrier(this.entries.last.index);
    if (stored.replica === undefined) this.append([{ kind: 'replica', replica: this.id }]);
    if (stored.snapshot !== undefined) this.#restore(stored.snapshot);
  }

  /** The current term. */
  get term(): Term {
    return this.#term;
  }

  /** The replica that received this replica's vote in the current term. */
  get vote(): ReplicaId | undefined {
    return this.#vote;
  }

  /** The latest snapshot. */
  get snapshot(): LogSnapshot | undefined {
    return this.#snapshot;
  }

  /** The index of the last entry known to be committed. */
  get committed(): LogIndex {
    return this.#committed;
  }

  /** The index of the last entry that the state machine has applied. */
  get applied(): LogIndex {
    return this.#applied;
  }

  /** Whether committed entries wait for the next turn to be applied. */
  get hasUnapplied(): boolean {
    return this.#applied < this.#committed;
  }

  /** The host of the current term's leader, if known. */
  get leader(): HostId | undefined {
    return this.#leader;
  }

  /** Whether this replica is a voter in the latest membership of its log. */
  get isVoter(): boolean {
    return hasVoter(this.entries.membership, this.options.self, this.id);
  }

  /** The index of the last entry that is synced to disk. */
  get durableIndex(): LogIndex {
    return this.#barrier.durableIndex;
  }

  /** The number of the latest write. */
  get lastWriteNumber(): WriteNumber {
    return this.#barrier.lastWrite;
  }

  /** Returns whether a write is synced. */
  isSynced(writeNumber: WriteNumber): boolean {
    return this.#barrier.isSynced(writeNumber);
  }

  /** Returns whether a leader was heard within the minimum election timeout. */
  hasRecentLeader(now: Instant): boolean {
    return now < addMs(this.#leaderHeardAt, this.options.timing.minElectionMs);
  }

  /** Whether a leader was heard since the start of this replica. */
  get hasHeardLeader(): boolean {
    return this.#leaderHeardAt > 0;
  }

  /** Records a message of the current term's leader, or that no leader is known. */
  updateLeader(leader: HostId | undefined, now: Instant): void {
    this.#leader = leader;
    if (leader !== undefined) this.#leaderHeardAt = now;
  }

  /**
   * Starts a later term, or sets the vote in the current one.
   *
   * @throws when the term is earlier than the current one.
   */
  updateTerm(term: Term, vote: ReplicaId | undefined): void {
    if (term < this.#term) throw new Error(`term ${term} is before term ${this.#term}`);
    if (term > this.#term) this.#leader = undefined;
    this.#term = term;
    this.#vote = vote;
    this.append([{ kind: 'vote', term, vote }]);
  }

  /** Appends entries to the log and to its file. */
  addEntries(entries: readonly LogEntry<Command>[]): void {
    for (const entry of entries) this.entries.append(entry);
    this.append(entries.map((entry) => ({ kind: 'entry', entry })));
  }

  /**
   * Removes the entries after `after`, which conflict with those of a leader.
   *
   * @throws when one of them is committed.
   */
  cutEntries(after: LogIndex): void {
    if (after < this.#committed) {
      throw new Error(
        `entry ${this.#committed} is committed; the log cannot be truncated after entry ${after}`,
      );
    }
    this.entries.cut(after);
    this.append([{ kind: 'cut', after }]);
  }

  /** Appends records to the file. */
  append(records: readonly LogRecord<Command>[]): void {
    const writeNumber = this.#barrier.addWrite(this.entries.last.index);
    this.#outputs.push({ kind: 'append', writeNumber, records });
  }

  /** Records that a write is synced, and sends the messages that waited for it. */
  handleSynced(writeNumber: WriteNumber): void {
    const deferred = this.#barrier.handleSynced(writeNumber);
    this.#outputs.push(...deferred.filter((output) => this.#isCurrent(output)));
  }

  /** Sends a message without waiting for the disk. */
  send(to: Recipient, body: LogMessageBody<Command>): void {
    this.#outputs.push(this.#buildSend(to, body));
  }

  /** Sends a message once all writes so far are synced. */
  sendDurable(to: Recipient, body: LogMessageBody<Command>): void {
    const output = this.#barrier.passOrDefer(this.#buildSend(to, body));
    if (output !== undefined) this.#outputs.push(output);
  }

  /** Sends a notice to the state machine. */
  notify(notice: LogNotice<Command>): void {
    this.#outputs.push({ kind: 'notice', notice });
  }

  /** Reports a change of the voters that this replica has appended as the leader. */
  reportVoterChange(change: VoterChange): void {
    this.#outputs.push({ kind: 'voter-changed', change });
  }

  /** Refuses a request. */
  refuse(id: RequestId, refusal: LogRefusal): void {
    this.notify({ kind: 'refused', id, refusal });
  }

  /** Records which request proposed an entry, until the entry is committed or its outcome is unknown. */
  addProposal(index: LogIndex, id: RequestId): void {
    this.#proposals.set(index, id);
  }

  /** Refuses the uncommitted proposals as `outcome-unknown`: a later leader may still commit them. */
  refuseProposals(): void {
    for (const id of this.#proposals.values()) this.refuse(id, { kind: 'outcome-unknown' });
    this.#proposals.clear();
  }

  /** Commits the entries up to `index`, and applies them unless earlier ones still wait. */
  commitThrough(index: LogIndex): void {
    if (index <= this.#committed) return;
    const isWaiting = this.hasUnapplied;
    this.#committed = index;
    if (!isWaiting) this.applyCommitted();
  }

  /**
   * Applies committed entries to the state machine, as many as one turn should take. A replica that applied all of a
   * long log at once would answer nobody meanwhile, neither a leader nor a candidate.
   */
  applyCommitted(): void {
    const through =
      this.entries.listBatch(this.#applied, TURN_BOUNDS).at(-1)?.index ?? this.#applied;
    while (this.#applied < Math.min(through, this.#committed)) this.#applyNext();
    this.#requestCaptureWhenDue();
  }

  /** Makes the captured state the latest snapshot, and compacts the entries that it covers. */
  handleCaptured(index: LogIndex, bytes: Uint8Array): void {
    this.#isCapturing = false;
    const term = this.entries.findTerm(index);
    const membership = this.entries.findMembershipAt(index);
    const policy = this.options.snapshots;
    if (term === undefined || membership === undefined || policy === undefined) return;
    this.#snapshot = { index, term, membership, bytes };
    const { retainedEntries: maxEntries, retainedBytes: maxBytes } = policy;
    this.entries.compact(this.entries.findStart(index, { maxEntries, maxBytes }));
    this.#rewrite();
  }

  /** Installs a leader's snapshot. Later entries stay if the log agrees with the snapshot's last entry. */
  installSnapshot(snapshot: LogSnapshot): void {
    if (snapshot.index <= this.#committed) return;
    const { index, term } = snapshot;
    if (this.entries.findTerm(index) === term) this.entries.compact(index);
    else this.entries.reset({ index, term }, snapshot.membership);
    this.#snapshot = snapshot;
    this.#committed = index;
    this.#applied = index;
    this.#bytesSinceSnapshot = 0;
    this.#restore(snapshot);
    this.#rewrite();
  }

  /** Requests a tick. */
  wakeAt(at: Instant): void {
    if (at < NEVER) this.#outputs.push({ kind: 'wake', at });
  }

  /** Returns the outputs collected so far, and starts an empty list. */
  removeOutputs(): LogOut<Command>[] {
    const outputs = this.#outputs;
    this.#outputs = [];
    return outputs;
  }

  // Internals.

  #buildSend(to: Recipient, body: LogMessageBody<Command>): LogOut<Command> {
    const message: LogMessage<Command> = {
      from: this.id,
      to: to.replica,
      term: this.#term,
      body,
    };
    return { kind: 'send', to: to.address, message };
  }

  /** Messages of an earlier term are obsolete. */
  #isCurrent(output: LogOut<Command>): boolean {
    return output.kind !== 'send' || output.message.term === this.#term;
  }

  #applyNext(): void {
    const index = (this.#applied + 1) as LogIndex;
    const entry = this.entries.find(index);
    if (entry === undefined) throw new Error(`committed entry ${index} is missing from memory`);
    this.#applied = index;
    this.#bytesSinceSnapshot += measureEntry(entry);
    const id = this.#proposals.get(index);
    this.#proposals.delete(index);
    const { term, content } = entry;
    if (content.kind !== 'command') return;
    this.notify({ kind: 'committed', index, term, command: content.command, id });
  }

  /** Captures a large state less often, so that snapshots write no more bytes than entries do. */
  #requestCaptureWhenDue(): void {
    const policy = this.options.snapshots;
    if (policy === undefined || this.#isCapturing) return;
    const entriesSinceSnapshot = this.#applied - (this.#snapshot?.index ?? START.index);
    const snapshotBytes = this.#snapshot?.bytes.length ?? 0;
    const minEntries = Math.max(policy.everyEntries, snapshotBytes / SNAPSHOT_BYTES_PER_ENTRY);
    const minBytes = Math.max(policy.everyBytes, snapshotBytes * REPLAYED_SHARE);
    if (entriesSinceSnapshot < minEntries && this.#bytesSinceSnapshot < minBytes) return;
    this.#isCapturing = true;
    this.#bytesSinceSnapshot = 0;
    this.#outputs.push({ kind: 'capture', through: this.#applied });
  }

  #restore({ index, bytes }: LogSnapshot): void {
    this.#outputs.push({ kind: 'restore', through: index, bytes });
  }

  #rewrite(): void {
    const { base, baseMembership, last } = this.entries;
    const writeNumber = this.#barrier.addWrite(last.index);
    const records = listRecords<Command>({
      replica: this.id,
      term: this.#term,
      vote: this.#vote,
      base,
      membership: baseMembership,
      snapshot: this.#snapshot,
      entries: this.entries.listAfter(base.index),
    });
    this.#outputs.push({ kind: 'rewrite', writeNumber, records });
  }
}

/** Returns whether a log that ends at `left` is at least as up-to-date as one that ends at `right`. */
export function isUpToDate(left: LogPosition, right: LogPosition): boolean {
  return left.term > right.term || (left.term === right.term && left.index >= right.index);
}

// Internals.

/** What the state machine applies in one turn. */
const TURN_BOUNDS: BatchBounds = { maxEntries: 256, maxBytes: 64 * 1024 };
/** The entries that a start replays, in relation to the snapshot: applying an entry takes longer than restoring it. */
const REPLAYED_SHARE = 0.5;
/** With this many snapshot bytes per new entry, snapshots write about as much as the entries do. */
const SNAPSHOT_BYTES_PER_ENTRY = 256;
