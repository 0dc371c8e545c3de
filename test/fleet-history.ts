/** Checks every whole that the proxies of a fake fleet ever hold or serve. */
import type { FakeFleet, FakeNode } from '../bench/fake-fleet.js';
import type { VersionMaker } from '../bench/generated-versions.js';
import type { HostId, Version } from '../src/ids.js';
import type { Whole } from '../src/notes/index.js';
import { findDangling } from '../src/notes/index.js';

/** Records a fleet's history and lists what broke a rule. */
export class FleetHistory {
  /** What broke a rule, in words. */
  readonly faults: string[] = [];
  /** Counts what proxies rejected, by kind. */
  readonly rejected = new Map<string, number>();
  heldCount = 0;
  readonly #maker: VersionMaker;
  readonly #held = new Map<string, Version>();
  readonly #served = new Map<HostId, Version>();

  constructor(fleet: FakeFleet, maker: VersionMaker) {
    this.#maker = maker;
    fleet.observeHeld = (node, whole) => {
      this.#checkHeld(node, whole);
    };
    fleet.observeServed = (node, whole) => {
      this.#checkServed(node, whole);
    };
    fleet.observeRejected = (_node, kind) => {
      this.rejected.set(kind, (this.rejected.get(kind) ?? 0) + 1);
    };
  }

  // Internals.

  /** Within one life a proxy only moves upward, whole, and to what the notes add up to. */
  #checkHeld(node: FakeNode, whole: Whole): void {
    this.heldCount += 1;
    const life = `${node.host} life ${node.life}`;
    const former = this.#held.get(life);
    if (former !== undefined && whole.version <= former) this.#add(life, 'held went back', whole);
    this.#held.set(life, whole.version);
    if (!this.#maker.matches(whole)) this.#add(life, 'differs from the fold', whole);
    if (findDangling(whole).length > 0) this.#add(life, 'dangling reference', whole);
  }

  /** What serves calls never goes back, not even from one life of a proxy to the next. */
  #checkServed(node: FakeNode, whole: Whole): void {
    const former = this.#served.get(node.host);
    if (former !== undefined && whole.version < former) {
      this.#add(node.host, `served went back from ${former}`, whole);
    }
    this.#served.set(node.host, whole.version);
    if (!this.#maker.matches(whole)) this.#add(node.host, 'serves another whole', whole);
  }

  #add(who: string, what: string, { version }: Whole): void {
    this.faults.push(`${who}: ${what} at version ${version}`);
  }
}
