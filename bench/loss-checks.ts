/** Checks a fleet against the stated bounds while hosts are lost. */
import { addMs, NEVER } from '../src/clock.js';
import type { Instant } from '../src/ids.js';
import type { FleetOperator } from './fleet-operator.js';
import type { FleetHost, SourceFleet } from './source-fleet.js';
import { isInTouch } from './source-fleet.js';

/** The checks, in the order of their reports. */
export const LOSS_CHECKS = ['late-vote', 'no-read', 'lost-command', 'late-command'] as const;

export type LossCheck = (typeof LOSS_CHECKS)[number];

/** The outcome of a series. */
export interface LossResult {
  /** The first violation of each check. */
  readonly violations: ReadonlyMap<LossCheck, string>;
  /** What happened, one line each. */
  readonly events: readonly string[];
}

/** Collects the first violation of each check. */
export class LossChecks {
  readonly violations = new Map<LossCheck, string>();
  readonly #fleet: SourceFleet;
  readonly #operator: FleetOperator;
  /** Since when a leader and a majority have run without a change. */
  #ledSince: Instant = NEVER;
  #leader: FleetHost | undefined;
  /** When each host that waits for its vote was last out of touch. */
  readonly #outOfTouchAt = new Map<FleetHost, Instant>();

  constructor(fleet: SourceFleet, operator: FleetOperator) {
    this.#fleet = fleet;
    this.#operator = operator;
  }

  /** Checks votes, commands and reads at the present instant. */
  check(): void {
    this.#checkVotes();
    this.#checkCommands();
    this.checkReads();
  }

  /** Checks that nothing acknowledged was lost or read older, and that all replicas agree. */
  checkReads(): void {
    const { staleRead } = this.#operator;
    if (staleRead !== undefined) this.add('lost-command', `read after its ack: ${staleRead}`);
    const { diverged } = this.#fleet;
    if (diverged !== undefined) this.add('lost-command', diverged);
  }

  /** Adds a violation. */
  add(check: LossCheck, text: string): void {
    if (this.violations.has(check)) return;
    this.violations.set(check, text);
    this.#fleet.print(`BROKEN ${check}: ${text}`);
  }

  // Internals.

  /** A host that came back without its disk votes in half of the time for which it counts as lost. */
  #checkVotes(): void {
    const { hosts, leader, now, options } = this.#fleet;
    const isLed = leader !== undefined && hosts.filter(isInTouch).length > hosts.length / 2;
    if (!isLed || leader !== this.#leader) this.#ledSince = isLed ? now : NEVER;
    this.#leader = isLed ? leader : undefined;
    const boundMs = 1_000 * options.catchUpSeconds * VOTE_SHARE;
    for (const one of hosts) {
      if (one.process === undefined || !one.startedEmpty) continue;
      if (one.process.status?.isVoter === true) one.startedEmpty = false;
      else if (!isInTouch(one)) this.#outOfTouchAt.set(one, now);
      else {
        const since = Math.max(one.startedAt, this.#outOfTouchAt.get(one) ?? 0, this.#ledSince);
        if (now <= since + boundMs) continue;
        const waitedMs = Math.round(now - one.startedAt);
        this.add('late-vote', `${one.host} has no vote ${waitedMs} ms after its start`);
      }
    }
  }

  /** A command is acknowledged in time while no host was disturbed for a while. */
  #checkCommands(): void {
    const { pending } = this.#operator;
    const { now, disturbedAt, hosts } = this.#fleet;
    if (pending === undefined || hosts.filter(isInTouch).length <= hosts.length / 2) return;
    const calmAt = addMs(disturbedAt, CALM_MS);
    if (now <= addMs(Math.max(pending.sentAt, calmAt) as Instant, ACK_TIMEOUT_MS)) return;
    this.add('late-command', `${pending.command} waits for ${Math.round(now - pending.sentAt)} ms`);
  }
}

// Internals.

/** The bounds of the users' terms: `ackTimeoutS` and `contactWindowS`. */
const ACK_TIMEOUT_MS = 4_000;
const CALM_MS = 3_000;
const VOTE_SHARE = 0.5;
