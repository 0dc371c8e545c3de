/** Checks every configuration that the proxies of a simulated fleet hold or serve. */
import type { FakeFleet, FakeNode } from '../bench/fake-fleet.js';
import type { VersionGenerator } from '../bench/generated-versions.js';
import type { HostId, Version } from '../src/ids.js';
import type { Configuration } from '../src/notes/index.js';
import { findDanglingReferences } from '../src/notes/index.js';

/** Records the history of a fleet and the violations of its invariants. */
export class FleetHistory {
  /** Descriptions of the violations. */
  readonly faults: string[] = [];
  /** The number of messages that proxies rejected, by kind of fault. */
  readonly rejected = new Map<string, number>();
  heldCount = 0;
  readonly #maker: VersionGenerator;
  readonly #held = new Map<string, Version>();
  readonly #served = new Map<HostId, Version>();

  constructor(fleet: FakeFleet, maker: VersionGenerator) {
    this.#maker = maker;
    fleet.observeHeld = (node, configuration) => {
      this.#checkHeld(node, configuration);
    };
    fleet.observeServed = (node, configuration) => {
      this.#checkServed(node, configuration);
    };
    fleet.observeRejected = (_node, kind) => {
      this.rejected.set(kind, (this.rejected.get(kind) ?? 0) + 1);
    };
  }

  // Internals.

  /** Between two restarts, a proxy holds increasing versions, each equal to the fold of the notes. */
  #checkHeld(node: FakeNode, configuration: Configuration): void {
    this.heldCount += 1;
    const life = `${node.host} life ${node.life}`;
    const former = this.#held.get(life);
    if (former !== undefined && configuration.version <= former)
      this.#addFault(life, 'held version decreased', configuration);
    this.#held.set(life, configuration.version);
    if (!this.#maker.matches(configuration))
      this.#addFault(life, 'held configuration differs from the fold', configuration);
    if (findDanglingReferences(configuration).length > 0)
      this.#addFault(life, 'dangling reference', configuration);
  }

  /** The served version never decreases, not even after a restart of the proxy. */
  #checkServed(node: FakeNode, configuration: Configuration): void {
    const former = this.#served.get(node.host);
    if (former !== undefined && configuration.version < former) {
      this.#addFault(node.host, `served version decreased from ${former}`, configuration);
    }
    this.#served.set(node.host, configuration.version);
    if (!this.#maker.matches(configuration))
      this.#addFault(node.host, 'served configuration differs from the fold', configuration);
  }

  #addFault(subject: string, fault: string, { version }: Configuration): void {
    this.faults.push(`${subject}: ${fault} at version ${version}`);
  }
}
