/** A simulated process of a source host: the membership, the known sources and a replica of the log. */
import { addMs, NEVER } from '../src/clock.js';
import type { Address, Instant, ReplicaId } from '../src/ids.js';
import type { LogIn, LogOut, LogState, LogStatus, LogWrite } from '../src/log/index.js';
import { buildStoredLog, DEFAULT_TIMING, LogFilter } from '../src/log/index.js';
import type { SnapshotPolicy } from '../src/log/index.js';
import type { LogNotice, LogRequest, MembershipEvent } from '../src/messages/index.js';
import { listReplicas } from '../src/program/log-wiring.js';
import { sourceSchema } from '../src/program/settings/source-settings.js';
import { SourcePeers } from '../src/program/source-peers.js';
import type { FleetDisk } from './fleet-disk.js';
import type { FleetMessage } from './fleet-process.js';
import { MemberProcess } from './member-process.js';
import type { MemberOptions } from './member-process.js';

/** What a source process is told at its start. */
export interface SourceProcessOptions extends MemberOptions {
  readonly founds: boolean;
  readonly toleratedLosses: number;
  readonly catchUpSeconds: number;
  readonly disk: FleetDisk;
  readonly newReplicaId: ReplicaId;
  readonly snapshots: SnapshotPolicy | undefined;
  readonly readMaxSyncMs: () => number;
  /** The processor time that applying a command takes for each of its characters. */
  readonly applyMsPerCharacter: number;
  readonly notify: (process: SourceProcess, notice: LogNotice<string>) => void;
  readonly print: (line: string) => void;
}

/** Wires the log as `runSource` and `LogTask` do. */
export class SourceProcess extends MemberProcess {
  /** The commands that the replica has applied. */
  applied = new Set<string>();
  status: LogStatus | undefined;
  readonly #options: SourceProcessOptions;
  readonly #peers = new SourcePeers(OPERATOR_ADDRESS);
  readonly #filter: LogFilter<string>;
  #state: LogState<string>;
  #wakeAt: Instant = NEVER;
  #unsynced: LogWrite<string>[] = [];
  #isSyncing = false;

  constructor(options: SourceProcessOptions) {
    super(options);
    this.#options = options;
    const { host, address, random, founds, seeds } = options;
    const settings = sourceSchema.parse({
      operator: OPERATOR_ADDRESS,
      growth: {
        seeds,
        founds,
        tolerated_losses: options.toleratedLosses,
        catch_up_seconds: options.catchUpSeconds,
      },
    });
    this.#filter = new LogFilter<string>({
      host,
      self: address,
      replicas: listReplicas(settings.seeds, address),
      growth: settings.growth,
      random,
      timing: DEFAULT_TIMING,
      snapshots: options.snapshots,
    });
    this.#state = this.#filter.createState();
  }

  override start(): void {
    super.start();
    const { disk, newReplicaId } = this.#options;
    const readMs = MAX_READ_MS * this.#options.random.next();
    this.runAt(addMs(this.now, readMs), () => {
      this.#post({ kind: 'loaded', stored: buildStoredLog(disk.records), newReplicaId });
    });
  }

  override end(hasPower: boolean): void {
    if (this.hasEnded) return;
    this.#options.disk.appendPart(this.#unsynced, this.#options.random);
    super.end(hasPower);
  }

  override handlePacket(address: Address, packet: FleetMessage): void {
    super.handlePacket(address, packet);
    if (packet.channel !== 'log') return;
    const { from, message } = packet;
    this.#post({ kind: 'received', from, address, message });
  }

  /** Handles a request of the operator. */
  request(request: LogRequest<string>): void {
    this.#post({ kind: 'request', request });
  }

  protected override handleMembership(event: MembershipEvent): void {
    if (event.kind === 'broadcast' || !this.#peers.apply(event)) return;
    const addresses = this.#peers.listControlAddresses();
    this.#options.print(`knows the sources ${addresses.join(' ')}`);
    this.#post({ kind: 'peers', addresses });
  }

  // Internals.

  #post(message: LogIn<string>): void {
    const step = this.#filter.decide(this.#state, message, this.now);
    this.#state = step.state;
    this.addWork(this.#options.applyMsPerCharacter * countApplied(step.outputs));
    for (const output of step.outputs) this.#pass(output);
  }

  #pass(output: LogOut<string>): void {
    switch (output.kind) {
      case 'append':
      case 'rewrite':
        this.#unsynced.push(output);
        this.#syncLater();
        return;
      case 'send':
        this.links.send(output.to, { channel: 'log', from: this.host, message: output.message });
        return;
      case 'notice':
        if (output.notice.kind === 'committed') this.applied.add(output.notice.command);
        this.#options.notify(this, output.notice);
        return;
      case 'capture':
        this.#captureLater(output.through);
        return;
      case 'restore':
        this.applied = new Set(JSON.parse(Buffer.from(output.bytes).toString()) as string[]);
        return;
      case 'status':
        this.status = output.status;
        this.#options.print(formatStatus(output.status));
        return;
      case 'voter-changed': {
        const { action, voter, cause, voters } = output.change;
        this.#options.print(`${action} voter ${voter}, ${cause}, ${voters} voters`);
        return;
      }
      case 'wake':
        this.#wake(output.at);
    }
  }

  #captureLater(through: Extract<LogOut<string>, { kind: 'capture' }>['through']): void {
    const bytes = Buffer.from(JSON.stringify([...this.applied]));
    this.runAt(this.now, () => {
      this.#post({ kind: 'encoded', through, bytes });
    });
  }

  /** Syncs what has been written so far. Later writes share the next sync. */
  #syncLater(): void {
    if (this.#isSyncing || this.#unsynced.length === 0) return;
    this.#isSyncing = true;
    const batch = [...this.#unsynced];
    const syncMs = this.#options.readMaxSyncMs() * this.#options.random.next();
    this.runAt(addMs(this.now, syncMs), () => {
      this.#isSyncing = false;
      this.#options.disk.append(batch);
      this.#unsynced = this.#unsynced.slice(batch.length);
      this.#syncLater();
      this.#post({ kind: 'synced', writeNumber: batch.at(-1)?.writeNumber ?? 0 });
    });
  }

  #wake(at: Instant): void {
    if (at >= this.#wakeAt) return;
    this.#wakeAt = at;
    this.runAt(at, () => {
      if (this.#wakeAt !== at) return;
      this.#wakeAt = NEVER;
      this.#post({ kind: 'tick' });
    });
  }
}

// Internals.

const OPERATOR_ADDRESS = '10.0.0.1:7003' as Address;
/** The time to open and read the log file. */
const MAX_READ_MS = 50;

function countApplied(outputs: readonly LogOut<string>[]): number {
  let characters = 0;
  for (const output of outputs) {
    if (output.kind !== 'notice' || output.notice.kind !== 'committed') continue;
    characters += output.notice.command.length;
  }
  return characters;
}

function formatStatus({ role, term, leader, isVoter, voters }: LogStatus): string {
  const vote = isVoter ? 'votes' : 'has no vote';
  return `${role} in term ${term}, leader ${leader ?? 'unknown'}, ${vote}, ${voters} voters`;
}
