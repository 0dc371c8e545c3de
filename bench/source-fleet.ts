/** Source hosts and proxies in virtual time, with faults that the caller injects. */
import { addMs } from '../src/clock.js';
import type { Address, HostId, Instant, LogIndex, ReplicaId, RequestId } from '../src/ids.js';
import type { SnapshotPolicy } from '../src/log/index.js';
import type { LogNotice, LogRequest } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { EventQueue } from './event-queue.js';
import { FleetDisk } from './fleet-disk.js';
import { FleetNetwork } from './fleet-network.js';
import { MemberProcess } from './member-process.js';
import { SourceProcess } from './source-process.js';

/** A source host of the fleet. Its address and its disk outlive its processes. */
export interface FleetHost {
  readonly host: HostId;
  readonly address: Address;
  disk: FleetDisk;
  /** Absent while the host is down or its process has not started yet. */
  process: SourceProcess | undefined;
  /** When the host was last started. */
  startedAt: Instant;
  /** Whether the process started with an empty disk and has not voted since. */
  startedEmpty: boolean;
  isCutOff: boolean;
  /** How far the clock of the next process is ahead. */
  clockOffsetMs: number;
  /** The time that a sync takes at most. */
  maxSyncMs: number;
}

/** A proxy, which is a member only. */
export interface FleetProxy {
  readonly host: HostId;
  readonly address: Address;
  process: MemberProcess | undefined;
}

/** Options of a {@link SourceFleet}. */
export interface SourceFleetOptions {
  readonly seed: number;
  readonly sources: number;
  readonly proxies: number;
  readonly toleratedLosses: number;
  readonly catchUpSeconds: number;
  /** Absent to take no snapshots. */
  readonly snapshots?: SnapshotPolicy | undefined;
  readonly maxSyncMs: number;
  /** The length of a command, and the processor time that applying it takes for each character. */
  readonly commandLength: number;
  readonly applyMsPerCharacter: number;
}

/** An outcome of a request, at the process that was asked. */
export type HandleOutcome = (process: SourceProcess, notice: LogNotice<string>) => void;

/** Runs the processes, the network and the disks of a fleet. */
export class SourceFleet {
  readonly options: SourceFleetOptions;
  readonly network: FleetNetwork;
  readonly hosts: readonly FleetHost[];
  readonly proxies: readonly FleetProxy[];
  /** What happened, one line each. */
  readonly events: string[] = [];
  /** When a host was last stopped, started, frozen, thawed, cut off or joined. */
  disturbedAt: Instant;
  readonly #random: SeededRandom;
  readonly #queue = new EventQueue();
  readonly #requests = new Map<RequestId, HandleOutcome>();
  readonly #committed = new Map<LogIndex, string>();
  readonly #startAt: Instant;
  #diverged: string | undefined;
  #requestCount = 0;

  constructor(options: SourceFleetOptions) {
    this.options = options;
    this.#random = new SeededRandom(options.seed);
    this.network = new FleetNetwork(this.#queue, this.#random);
    this.disturbedAt = this.#queue.now;
    this.#startAt = this.#queue.now;
    this.hosts = Array.from({ length: options.sources }, (_, index) => ({
      host: `source-${index}` as HostId,
      address: `10.0.0.${index + 1}:7000` as Address,
      disk: new FleetDisk(),
      process: undefined,
      startedAt: this.#startAt,
      startedEmpty: false,
      isCutOff: false,
      clockOffsetMs: this.#random.nextInt(MAX_CLOCK_OFFSET_MS),
      maxSyncMs: options.maxSyncMs,
    }));
    this.proxies = Array.from({ length: options.proxies }, (_, index) => ({
      host: `proxy-${index}` as HostId,
      address: `10.0.1.${index + 1}:7000` as Address,
      process: undefined,
    }));
  }

  get now(): Instant {
    return this.#queue.now;
  }

  /** The addresses that every process is told at the very first start. */
  get firstSeeds(): readonly Address[] {
    return listAddresses(this.hosts.slice(0, FIRST_SEEDS));
  }

  /** The host that leads, as its own process says; a frozen one or one that is cut off doesn't count. */
  get leader(): FleetHost | undefined {
    return this.hosts
      .filter((one) => isInTouch(one) && one.process?.status?.role === 'leader')
      .sort((one, other) => readTerm(other) - readTerm(one))[0];
  }

  /** What two replicas committed differently at one index, if anything. */
  get diverged(): string | undefined {
    return this.#diverged;
  }

  /** Starts every process for the first time, at random instants close to each other. */
  startAll(): void {
    for (const one of this.hosts) {
      this.network.runLater(FIRST_START_MS * this.#random.next(), () => {
        this.#startSource(one, this.firstSeeds, true);
      });
    }
    for (const one of this.proxies) this.startProxy(one, this.firstSeeds);
  }

  /** Starts a host; its process listens a little later. */
  start(one: FleetHost, seeds: readonly Address[]): void {
    this.disturbedAt = this.now;
    one.startedAt = this.now;
    this.network.updateMachine(one.address, undefined);
    const bootMs = MIN_BOOT_MS + this.#random.next() * (MAX_BOOT_MS - MIN_BOOT_MS);
    this.network.runLater(bootMs, () => {
      this.#startSource(one, seeds, false);
    });
  }

  /** Starts a proxy. */
  startProxy(one: FleetProxy, seeds: readonly Address[]): void {
    const bootMs = FIRST_START_MS * this.#random.next();
    this.network.runLater(bootMs, () => {
      one.process = new MemberProcess({
        ...one,
        isSource: false,
        seeds,
        random: this.#makeRandom(),
        network: this.network,
        clockOffsetMs: 0,
      });
      this.network.updateMachine(one.address, one.process);
      one.process.start();
    });
  }

  /** Ends the process of a host; without power the machine refuses nothing, either. */
  kill(one: FleetHost | FleetProxy, hasPower: boolean): void {
    if ('disk' in one) {
      this.disturbedAt = this.now;
      this.print(`${one.host}: ${hasPower ? 'killed' : 'loses power'}`);
    }
    one.process?.end(hasPower);
    one.process = undefined;
    this.network.updateMachine(one.address, undefined, hasPower);
  }

  /** Ends the process of a host and empties its disk. */
  loseDisk(one: FleetHost, hasPower: boolean): void {
    this.kill(one, hasPower);
    one.disk = new FleetDisk();
    this.print(`${one.host}: disk lost`);
  }

  /** Makes the syncs of a host slow for some time. */
  slowDisk(one: FleetHost, milliseconds: number): void {
    this.disturbedAt = this.now;
    this.print(`${one.host}: slow disk for ${Math.round(milliseconds)} ms`);
    one.maxSyncMs = SLOW_SYNC_MS;
    this.network.runLater(milliseconds, () => {
      this.disturbedAt = this.now;
      one.maxSyncMs = this.options.maxSyncMs;
    });
  }

  /** Freezes a host for some time. */
  freeze(one: FleetHost, milliseconds: number): void {
    const { process } = one;
    this.disturbedAt = this.now;
    this.print(`${one.host}: frozen for ${Math.round(milliseconds)} ms`);
    process?.freeze();
    this.network.runLater(milliseconds, () => {
      this.disturbedAt = this.now;
      process?.thaw();
    });
  }

  /** Cuts hosts off from all other hosts, and from the proxies or not, but not from each other. */
  cut(group: readonly FleetHost[], milliseconds: number, areProxiesCut: boolean): void {
    this.disturbedAt = this.now;
    for (const one of group) {
      one.isCutOff = true;
      this.print(`${one.host}: cut off for ${Math.round(milliseconds)} ms`);
    }
    const others = this.hosts.filter((one) => !group.includes(one));
    const far = areProxiesCut ? [...others, ...this.proxies] : others;
    const join = this.network.cut(listAddresses(group), listAddresses(far));
    this.network.runLater(milliseconds, () => {
      this.disturbedAt = this.now;
      join();
      for (const one of group) one.isCutOff = false;
    });
  }

  /** Proposes a command at a host, or asks it to confirm a read; the outcome may never come. */
  request(one: FleetHost, command: string | undefined, handle: HandleOutcome): void {
    this.#requestCount += 1;
    const id = `request-${this.#requestCount}` as RequestId;
    this.#requests.set(id, handle);
    const request: LogRequest<string> =
      command === undefined ? { kind: 'confirm', id } : { kind: 'propose', id, command };
    this.network.runLater(OPERATOR_DELAY_MS, () => {
      const { process, isCutOff } = one;
      if (isCutOff) return;
      process?.run(() => {
        process.request(request);
      });
    });
  }

  /** Advances virtual time. */
  run(milliseconds: number): void {
    this.#queue.runUntil(addMs(this.now, milliseconds));
  }

  /** Adds a line to the events. */
  print(line: string): void {
    this.events.push(`${((this.now - this.#startAt) / 1_000).toFixed(3)} ${line}`);
  }

  /** Picks the address of no machine. */
  static pickVacantAddress(random: SeededRandom): Address {
    return `10.0.2.${random.nextInt(9) + 1}:7000` as Address;
  }

  // Internals.

  #makeRandom(): SeededRandom {
    return new SeededRandom(this.#random.nextInt(2 ** 31));
  }

  #startSource(one: FleetHost, seeds: readonly Address[], founds: boolean): void {
    const { options, network } = this;
    const isEmpty = one.disk.records.length === 0;
    one.startedEmpty = isEmpty && !founds;
    this.print(
      `${one.host}: starts with ${isEmpty ? 'an empty disk' : 'its disk'}, seeds ${seeds.join(' ')}`,
    );
    const process = new SourceProcess({
      ...options,
      host: one.host,
      address: one.address,
      isSource: true,
      seeds,
      random: this.#makeRandom(),
      network,
      founds,
      clockOffsetMs: one.clockOffsetMs,
      disk: one.disk,
      readMaxSyncMs: () => one.maxSyncMs,
      newReplicaId: `${one.host}-${this.#random.nextInt(1e9)}` as ReplicaId,
      snapshots: options.snapshots,
      notify: (from, notice) => {
        this.#handleNotice(from, notice);
      },
      print: (line) => {
        this.print(`${one.host}: ${line}`);
      },
    });
    one.process = process;
    network.updateMachine(one.address, process);
    process.start();
  }

  #handleNotice(process: SourceProcess, notice: LogNotice<string>): void {
    if (notice.kind === 'leading') return;
    if (notice.kind === 'committed') this.#checkCommitted(notice);
    if (notice.id === undefined) return;
    const handle = this.#requests.get(notice.id);
    this.#requests.delete(notice.id);
    handle?.(process, notice);
  }

  #checkCommitted(notice: Extract<LogNotice<string>, { kind: 'committed' }>): void {
    const { index, command } = notice;
    const known = this.#committed.get(index) ?? command;
    this.#committed.set(index, known);
    if (known !== command) this.#diverged ??= `entry ${index} is both ${known} and ${command}`;
  }
}

/** Returns whether a host runs, is not frozen, and is not cut off. */
export function isInTouch({ process, isCutOff }: FleetHost): boolean {
  return process?.isActive === true && !isCutOff;
}

// Internals.

const FIRST_SEEDS = 3;
/** All machines start within this time of each other. */
const FIRST_START_MS = 300;
const MAX_CLOCK_OFFSET_MS = 5_000;
const SLOW_SYNC_MS = 1_200;
const MIN_BOOT_MS = 50;
const MAX_BOOT_MS = 300;
const OPERATOR_DELAY_MS = 1;

function listAddresses(hosts: readonly (FleetHost | FleetProxy)[]): Address[] {
  return hosts.map(({ address }) => address);
}

function readTerm({ process }: FleetHost): number {
  return process?.status?.term ?? 0;
}
