/** A fleet of source hosts with its operator and the checks, advanced in steps. */
import { addMs } from '../src/clock.js';
import type { Instant } from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import { FleetOperator } from './fleet-operator.js';
import { LossChecks } from './loss-checks.js';
import { SourceFleet } from './source-fleet.js';
import type { SourceFleetOptions } from './source-fleet.js';

/** Runs a fleet and checks it at each step. */
export class CheckedFleet {
  readonly fleet: SourceFleet;
  readonly operator: FleetOperator;
  readonly checks: LossChecks;

  constructor(options: Pick<SourceFleetOptions, 'seed'> & Partial<SourceFleetOptions>) {
    this.fleet = new SourceFleet({ ...FLEET_OPTIONS, ...options });
    this.operator = new FleetOperator(this.fleet, new SeededRandom(options.seed));
    this.checks = new LossChecks(this.fleet, this.operator);
    this.fleet.startAll();
    this.operator.start();
  }

  /** Advances virtual time, and checks the fleet at each step. */
  run(milliseconds: number): void {
    const end = addMs(this.fleet.now, milliseconds);
    while (this.fleet.now < end) {
      this.fleet.run(Math.min(STEP_MS, end - this.fleet.now));
      this.checks.check();
    }
  }

  /** Advances virtual time until the next command is acknowledged. Returns false after a limit. */
  runUntilAcknowledged(limitMs = RECOVERY_MS): boolean {
    const { acknowledged } = this.operator;
    const count = acknowledged.length;
    const end = addMs(this.fleet.now, limitMs);
    while (acknowledged.length === count && this.fleet.now < end) this.fleet.run(1);
    return acknowledged.length > count;
  }

  /** Checks that a read succeeds in time after all hosts are back. */
  checkRecovery(backAt: Instant): void {
    this.fleet.run(Math.max(0, backAt - this.fleet.now));
    const end = addMs(backAt, RECOVERY_MS);
    while (this.operator.lastReadSentAt < backAt && this.fleet.now < end) this.fleet.run(STEP_MS);
    if (this.operator.lastReadSentAt < backAt) {
      this.checks.add('no-read', `no read within ${RECOVERY_MS} ms after all hosts are back`);
    }
    this.checks.checkReads();
  }
}

// Internals.

/** The bound of the users' terms, `recoveryS`. */
const RECOVERY_MS = 15_000;
const STEP_MS = 20;

const FLEET_OPTIONS = {
  sources: 5,
  proxies: 13,
  toleratedLosses: 2,
  catchUpSeconds: 4,
  maxSyncMs: 10,
  commandLength: 0,
  applyMsPerCharacter: 0,
} as const;
