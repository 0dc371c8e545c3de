/** Loses hosts of a fleet as the stated bounds allow, without a look at the log or the membership. */
import { addMs } from '../src/clock.js';
import type { Address, Instant } from '../src/ids.js';
import type { SeededRandom } from '../src/random.js';
import type { FleetHost } from './source-fleet.js';
import { SourceFleet } from './source-fleet.js';

const LOSS_KINDS = ['kill', 'power', 'disk', 'disk', 'disk', 'freeze', 'slow', 'cut'] as const;

type LossKind = (typeof LOSS_KINDS)[number];

/** Injects random losses. A host counts as lost until `catchUpSeconds` after it is back. */
export class LossSchedule {
  readonly #fleet: SourceFleet;
  readonly #random: SeededRandom;
  readonly #lostUntil = new Map<FleetHost, Instant>();
  readonly #run: (milliseconds: number) => void;

  /** `run` advances the fleet and checks it all the while. */
  constructor(fleet: SourceFleet, random: SeededRandom, run: (milliseconds: number) => void) {
    this.#fleet = fleet;
    this.#random = random;
    this.#run = run;
  }

  /** Waits for a while, then injects one kind of trouble. */
  runStep(): void {
    this.#runUntil(this.#pickNextInstant());
    const turn = this.#random.next();
    if (turn < HERD_SHARE) this.#restartProxies();
    else if (turn < ALL_SHARE) this.#restartAll();
    else this.#loseHosts();
  }

  /** Waits until no host counts as lost. */
  waitForAll(): void {
    this.#runUntil(Math.max(this.#fleet.now, ...this.#lostUntil.values()));
  }

  /** Loses as many disks as tolerated at one moment. Returns when all hosts are back. */
  loseDisks(): Instant {
    const { hosts, options, now } = this.#fleet;
    const lost = this.#pickHosts(hosts, options.toleratedLosses);
    const isForAll = this.#random.next() < POWER_SHARE;
    for (const one of lost) this.#fleet.loseDisk(one, this.#random.next() < 0.5);
    const others = hosts.filter((one) => !lost.includes(one));
    if (isForAll) for (const one of others) this.#fleet.kill(one, false);
    const down = isForAll ? hosts : lost;
    return Math.max(now, ...down.map((one) => this.#startLater(one, lost))) as Instant;
  }

  /** Picks the seeds of a host that starts beside others: any sources, or some that are of no use. */
  pickSeeds(one: FleetHost, fellows: readonly FleetHost[]): readonly Address[] {
    const turn = this.#random.next();
    const vacant = SourceFleet.pickVacantAddress(this.#random);
    if (turn < USELESS_SHARE) return [one.address, vacant];
    const known = [one, ...fellows.filter((other) => other !== one)].map(({ address }) => address);
    if (turn < FELLOWS_SHARE) return [...known, vacant].slice(0, SEEDS);
    return this.#pickHosts(this.#fleet.hosts, SEEDS).map(({ address }) => address);
  }

  // Internals.

  #runUntil(at: number): void {
    const { now } = this.#fleet;
    if (at > now) this.#run(at - now);
  }

  /** Picks a random instant, or one at which a host has just ceased to count as lost. */
  #pickNextInstant(): number {
    const { now } = this.#fleet;
    const ends = [...this.#lostUntil.values()].filter((until) => until > now);
    if (ends.length === 0 || this.#random.next() < 0.3)
      return now + MAX_GAP_MS * this.#random.next();
    return Math.min(...ends) + MAX_DELAY_MS * this.#random.next();
  }

  #isLost(one: FleetHost): boolean {
    return (this.#lostUntil.get(one) ?? 0) > this.#fleet.now;
  }

  #pickHosts(from: readonly FleetHost[], count: number): FleetHost[] {
    const rest = [...from];
    const picked: FleetHost[] = [];
    while (picked.length < count && rest.length > 0) {
      picked.push(...rest.splice(this.#random.nextInt(rest.length), 1));
    }
    return picked;
  }

  /** Loses one host, or as many at a moment as may be lost besides those that are. */
  #loseHosts(): void {
    const { hosts, options } = this.#fleet;
    const sound = hosts.filter((one) => !this.#isLost(one));
    const room = options.toleratedLosses - (hosts.length - sound.length);
    if (room <= 0) return;
    const count = this.#random.next() < 0.6 ? room : 1 + this.#random.nextInt(room);
    const lost = this.#pickHosts(sound, count);
    const kind = this.#random.pick(LOSS_KINDS);
    if (kind === 'cut') this.#cut(lost);
    else for (const one of lost) this.#lose(one, this.#pickKind(kind), lost);
  }

  /** Picks the kind of a loss beside one of another kind. */
  #pickKind(kind: Exclude<LossKind, 'cut'>): Exclude<LossKind, 'cut'> {
    const other = this.#random.pick(LOSS_KINDS);
    return other === 'cut' || this.#random.next() < 0.5 ? kind : other;
  }

  #cut(lost: readonly FleetHost[]): void {
    const lastsMs = this.#pickPauseMs();
    this.#fleet.cut(lost, lastsMs, this.#random.next() < 0.5);
    for (const one of lost) this.#addLoss(one, addMs(this.#fleet.now, lastsMs));
  }

  #lose(one: FleetHost, kind: Exclude<LossKind, 'cut'>, fellows: readonly FleetHost[]): void {
    if (kind === 'freeze' || kind === 'slow') {
      const lastsMs = this.#pickPauseMs();
      if (kind === 'freeze') this.#fleet.freeze(one, lastsMs);
      else this.#fleet.slowDisk(one, lastsMs);
      this.#addLoss(one, addMs(this.#fleet.now, lastsMs));
      return;
    }
    if (kind === 'disk') this.#fleet.loseDisk(one, this.#random.next() < 0.5);
    else this.#fleet.kill(one, kind === 'kill');
    this.#startLater(one, fellows);
  }

  /** Kills all hosts at once; their disks are kept, and they are back within a second. */
  #restartAll(): void {
    const { hosts } = this.#fleet;
    const isForAll = hosts.every(({ process, isCutOff }) => process?.isActive && !isCutOff);
    if (!isForAll) return;
    for (const one of hosts) this.#fleet.kill(one, true);
    for (const one of hosts) this.#startLater(one, []);
  }

  #restartProxies(): void {
    const share = this.#random.next();
    for (const one of this.#fleet.proxies) {
      if (this.#random.next() > share) continue;
      this.#fleet.kill(one, true);
      const seeds = this.#pickHosts(this.#fleet.hosts, SEEDS).map(({ address }) => address);
      this.#fleet.startProxy(one, seeds);
    }
  }

  #startLater(one: FleetHost, fellows: readonly FleetHost[]): Instant {
    const downMs = MIN_DOWN_MS + this.#random.next() * (MAX_DOWN_MS - MIN_DOWN_MS);
    const seeds = this.pickSeeds(one, fellows);
    if (this.#random.next() < CLOCK_SHARE) {
      one.clockOffsetMs += MAX_CLOCK_STEP_MS * (2 * this.#random.next() - 1);
    }
    this.#fleet.network.runLater(downMs, () => {
      this.#fleet.start(one, seeds);
    });
    const backAt = addMs(this.#fleet.now, downMs);
    this.#addLoss(one, backAt);
    return backAt;
  }

  #addLoss(one: FleetHost, backAt: Instant): void {
    this.#lostUntil.set(one, addMs(backAt, 1_000 * this.#fleet.options.catchUpSeconds));
  }

  #pickPauseMs(): number {
    return MIN_PAUSE_MS + this.#random.next() * (MAX_PAUSE_MS - MIN_PAUSE_MS);
  }
}

// Internals.

const SEEDS = 3;
/** Shares of the steps: proxies restart, all hosts restart; the rest loses hosts. */
const HERD_SHARE = 0.1;
const ALL_SHARE = 0.2;
/** Shares of the starts with seeds that lead nowhere, and with seeds that are lost together with the host. */
const USELESS_SHARE = 0.05;
const FELLOWS_SHARE = 0.35;
/** How often the final loss takes the power of all other hosts, too. */
const POWER_SHARE = 0.3;
/** How often the clock of a host has been set while it was down. */
const CLOCK_SHARE = 0.1;
const MAX_CLOCK_STEP_MS = 60_000;
const MAX_GAP_MS = 3_000;
const MAX_DELAY_MS = 50;
/** All processes that are killed at the same moment are back within a second. */
const MIN_DOWN_MS = 200;
const MAX_DOWN_MS = 1_000;
const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 8_000;
