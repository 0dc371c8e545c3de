/** One replica: its term, vote, entries and disk, whatever its role. */
import { addMs, NEVER } from '../clock.js';
import type { Address, HostId, Instant, LogIndex, ReplicaId, RequestId, Term } from '../ids.js';
import type {
  LogBody,
  LogEntry,
  LogMessage,
  LogNotice,
  LogPosition,
  LogRefusal,
  LogSnapshot,
} from '../messages/index.js';
import { DiskQueue } from './durability-barrier.js';
import type { Ticket } from './durability-barrier.js';
import { EntryTable } from './entry-table.js';
import type { LogOut } from './log-messages.js';
import type { LogOptions } from './log-options.js';
import type { LogRecord, StoredLog } from './log-record.js';
import { listRecords, START } from './log-record.js';
import { hasVoter } from './membership.js';

/** Where a message goes. */
export interface Recipient {
  readonly address: Address;
  /** Absent when the identity of the replica does not matter. */
  readonly replica: ReplicaId | undefined;
}

/**
 * Keeps what every role needs, and collects the outputs of one decision.
 *
 * Whatever promises something to another replica is sent with {@link Replica.sendDurable}: it leaves
 * only when all that was written before it is synced.
 */
export class Replica<Command> {
  readonly options: LogOptions;
  readonly id: ReplicaId;
  readonly entries: EntryTable<Command>;
  #term: Term;
  #vote: ReplicaId | undefined;
  #snapshot: LogSnapshot | undefined;
  #committed: LogIndex;
  #applied: LogIndex;
  #capturing = false;
  #leader: HostId | undefined;
  #leaderHeardAt = 0 as Instant;
  #outputs: LogOut<Command>[] = [];
  readonly #disk: DiskQueue<LogOut<Command>>;
  readonly #proposals = new Map<LogIndex, RequestId>();
  #peers: readonly Address[] = [];

  constructor(options: LogOptions, stored: StoredLog<Command>, freshReplica: ReplicaId) {
    this.options = options;
    this.id = stored.replica ?? freshReplica;
    this.entries = new EntryTable(stored.base, stored.membership, stored.entries);
    this.#term = stored.term;
    this.#vote = stored.vote;
    this.#snapshot = stored.snapshot;
    this.#committed = stored.snapshot?.index ?? START.index;
    this.#applied = this.#committed;
    this.#disk = new DiskQueue(this.entries.last.index);
    if (stored.replica === undefined) this.append([{ kind: 'replica', replica: this.id }]);
    if (stored.snapshot !== undefined) this.#restore(stored.snapshot);
  }

  /** The present term. */
  get term(): Term {
    return this.#term;
  }

  /** Whom this replica voted for in the present term. */
  get vote(): ReplicaId | undefined {
    return this.#vote;
  }

  /** The newest snapshot. */
  get snapshot(): LogSnapshot | undefined {
    return this.#snapshot;
  }

  /** The last entry that is known to be committed. */
  get committed(): LogIndex {
    return this.#committed;
  }

  /** The host that leads the present term, where it is known. */
  get leader(): HostId | undefined {
    return this.#leader;
  }

  /** Whether this replica counts in quorums by the newest membership it holds. */
  get isVoter(): boolean {
    return hasVoter(this.entries.membership, this.options.self, this.id);
  }

  /** Where the other replicas may be found. */
  get others(): readonly Address[] {
    const known = this.entries.membership?.voters.map(({ address }) => address) ?? [];
    const all = new Set([...this.options.replicas, ...this.#peers, ...known]);
    all.delete(this.options.self);
    return [...all];
  }

  /** Notes where replicas may be found besides those that the options name. */
  updatePeers(addresses: readonly Address[]): void {
    this.#peers = addresses;
  }

  /** The last entry that is synced here. */
  get durableIndex(): LogIndex {
    return this.#disk.durableIndex;
  }

  /** The number of the last write. */
  get lastTicket(): Ticket {
    return this.#disk.written;
  }

  /** Whether a write is synced. */
  isSynced(ticket: Ticket): boolean {
    return this.#disk.isSynced(ticket);
  }

  /** Whether a leader has spoken so lately that no election is due. */
  hasRecentLeader(now: Instant): boolean {
    return now < addMs(this.#leaderHeardAt, this.options.timing.minElectionMs);
  }

  /** Whether a leader has spoken since this replica was started. */
  get hasHeardLeader(): boolean {
    return this.#leaderHeardAt > 0;
  }

  /** Notes that the leader of the present term has spoken, or that none is known. */
  updateLeader(leader: HostId | undefined, now: Instant): void {
    this.#leader = leader;
    if (leader !== undefined) this.#leaderHeardAt = now;
  }

  /** Begins a later term, or votes in the present one. */
  updateTerm(term: Term, vote: ReplicaId | undefined): void {
    if (term < this.#term) throw new Error(`term ${term} is before term ${this.#term}`);
    if (term > this.#term) this.#leader = undefined;
    this.#term = term;
    this.#vote = vote;
    this.append([{ kind: 'vote', term, vote }]);
  }

  /** Adds entries after the last one. */
  addEntries(entries: readonly LogEntry<Command>[]): void {
    for (const entry of entries) this.entries.append(entry);
    this.append(entries.map((entry) => ({ kind: 'entry', entry })));
  }

  /** Takes back the entries after `after`, which another leader has replaced. */
  cutEntries(after: LogIndex): void {
    if (after < this.#committed) {
      throw new Error(`entry ${this.#committed} is committed; it cannot be cut back to ${after}`);
    }
    this.entries.cut(after);
    this.append([{ kind: 'cut', after }]);
  }

  /** Writes records after those that the file holds. */
  append(records: readonly LogRecord<Command>[]): void {
    const ticket = this.#disk.addWrite(this.entries.last.index);
    this.#outputs.push({ kind: 'append', ticket, records });
  }

  /** Notes a synced write and sends what waited for it. */
  handleSynced(ticket: Ticket): void {
    const released = this.#disk.handleSynced(ticket);
    this.#outputs.push(...released.filter((output) => this.#isCurrent(output)));
  }

  /** Sends a message that promises nothing. */
  send(to: Recipient, body: LogBody<Command>): void {
    this.#outputs.push(this.#formSend(to, body));
  }

  /** Sends a message once everything that has been written so far is synced. */
  sendDurable(to: Recipient, body: LogBody<Command>): void {
    const output = this.#disk.hold(this.#formSend(to, body));
    if (output !== undefined) this.#outputs.push(output);
  }

  /** Tells the user something. */
  notify(notice: LogNotice<Command>): void {
    this.#outputs.push({ kind: 'notice', notice });
  }

  /** Refuses a request. */
  refuse(id: RequestId, refusal: LogRefusal): void {
    this.notify({ kind: 'refused', id, refusal });
  }

  /** Remembers which request proposed an entry, until it is committed or given up. */
  addProposal(index: LogIndex, id: RequestId): void {
    this.#proposals.set(index, id);
  }

  /** Gives up the open proposals: whether they will be committed is unknown. */
  refuseProposals(): void {
    for (const id of this.#proposals.values()) this.refuse(id, { kind: 'outcome-unknown' });
    this.#proposals.clear();
  }

  /** Hands the entries up to `index` to the user. */
  commitThrough(index: LogIndex): void {
    if (index <= this.#committed) return;
    this.#committed = index;
    while (this.#applied < index) this.#applyNext();
    this.#captureWhenDue();
  }

  /** Takes the user's state as the newest snapshot, and forgets the entries that it stands for. */
  handleCaptured(index: LogIndex, bytes: Uint8Array): void {
    this.#capturing = false;
    const term = this.entries.findTerm(index);
    const membership = this.entries.findMembershipAt(index);
    const policy = this.options.snapshots;
    if (term === undefined || membership === undefined || policy === undefined) return;
    this.#snapshot = { index, term, membership, bytes };
    const through = Math.max(this.entries.base.index, index - policy.retainedEntries);
    this.entries.compact(through as LogIndex);
    this.#rewrite();
  }

  /** Replaces the log by a leader's snapshot, and keeps the entries after it where they agree. */
  installSnapshot(snapshot: LogSnapshot): void {
    if (snapshot.index <= this.#committed) return;
    const { index, term } = snapshot;
    if (this.entries.findTerm(index) === term) this.entries.compact(index);
    else this.entries.reset({ index, term }, snapshot.membership);
    this.#snapshot = snapshot;
    this.#committed = index;
    this.#applied = index;
    this.#restore(snapshot);
    this.#rewrite();
  }

  /** Asks for a tick. */
  wakeAt(at: Instant): void {
    if (at < NEVER) this.#outputs.push({ kind: 'wake', at });
  }

  /** Returns the outputs of this decision and begins the next. */
  takeOutputs(): LogOut<Command>[] {
    const outputs = this.#outputs;
    this.#outputs = [];
    return outputs;
  }

  // Internals.

  #formSend(to: Recipient, body: LogBody<Command>): LogOut<Command> {
    const message: LogMessage<Command> = {
      from: this.id,
      to: to.replica,
      term: this.#term,
      body,
    };
    return { kind: 'send', to: to.address, message };
  }

  /** What was promised in an earlier term is of no use to anybody any more. */
  #isCurrent(output: LogOut<Command>): boolean {
    return output.kind !== 'send' || output.message.term === this.#term;
  }

  #applyNext(): void {
    const index = (this.#applied + 1) as LogIndex;
    const entry = this.entries.find(index);
    if (entry === undefined) throw new Error(`committed entry ${index} is not held`);
    this.#applied = index;
    const id = this.#proposals.get(index);
    this.#proposals.delete(index);
    const { term, content } = entry;
    if (content.kind !== 'command') return;
    this.notify({ kind: 'committed', index, term, command: content.command, id });
  }

  /** A large state is captured more rarely, so that its snapshots cost no more than its entries. */
  #captureWhenDue(): void {
    const policy = this.options.snapshots;
    if (policy === undefined || this.#capturing) return;
    const since = this.#applied - (this.#snapshot?.index ?? START.index);
    const size = this.#snapshot?.bytes.length ?? 0;
    if (since < Math.max(policy.everyEntries, size / SNAPSHOT_BYTES_PER_ENTRY)) return;
    this.#capturing = true;
    this.#outputs.push({ kind: 'capture', through: this.#applied });
  }

  #restore({ index, bytes }: LogSnapshot): void {
    this.#outputs.push({ kind: 'restore', through: index, bytes });
  }

  #rewrite(): void {
    const { base, baseMembership, last } = this.entries;
    const ticket = this.#disk.addWrite(last.index);
    const records = listRecords<Command>({
      replica: this.id,
      term: this.#term,
      vote: this.#vote,
      base,
      membership: baseMembership,
      snapshot: this.#snapshot,
      entries: this.entries.listAfter(base.index),
    });
    this.#outputs.push({ kind: 'rewrite', ticket, records });
  }
}

/** Whether a log that ends at `left` holds at least what one that ends at `right` holds. */
export function isUpToDate(left: LogPosition, right: LogPosition): boolean {
  return left.term > right.term || (left.term === right.term && left.index >= right.index);
}

// Internals.

/** A snapshot of this size for each new entry writes about as much as the entries themselves. */
const SNAPSHOT_BYTES_PER_ENTRY = 256;
