/** A simulated process that is a member only, as a proxy is. */
import { NEVER } from '../src/clock.js';
import type { Address, DataCentreId, HostId, Incarnation, Instant, RegionId } from '../src/ids.js';
import { NO_VERSION } from '../src/ids.js';
import type { MembersIn, MembersOut, MembersState } from '../src/members/index.js';
import { MembersFilter } from '../src/members/index.js';
import type { MembershipEvent, ProbeMessage } from '../src/messages/index.js';
import type { Random } from '../src/random.js';
import type { FleetNetwork } from './fleet-network.js';
import type { FleetMessage } from './fleet-process.js';
import { FleetProcess } from './fleet-process.js';

/** What a process is told at its start. */
export interface MemberOptions {
  readonly host: HostId;
  readonly address: Address;
  readonly isSource: boolean;
  readonly seeds: readonly Address[];
  readonly random: Random;
  readonly network: FleetNetwork;
  readonly clockOffsetMs: number;
}

/** Wires the membership to the network as `createMembership` does. */
export class MemberProcess extends FleetProcess {
  readonly host: HostId;
  readonly #filter: MembersFilter;
  #state: MembersState;
  #wakeAt: Instant = NEVER;

  constructor(options: MemberOptions) {
    const { host, address, isSource, seeds, random, network } = options;
    super(address, network, options.clockOffsetMs);
    this.host = host;
    this.#filter = new MembersFilter({
      self: {
        host,
        region: 'region' as RegionId,
        dataCentre: 'data-centre' as DataCentreId,
        control: address,
        calls: address,
        pass: '',
        isSource,
        incarnation: 0 as Incarnation,
        liveness: 'alive',
        version: NO_VERSION,
        servers: [],
      },
      startedAt: this.now,
      seeds,
      random,
    });
    this.#state = this.#filter.createState();
  }

  override start(): void {
    this.#post({ kind: 'tick' });
  }

  override handleDatagram(from: Address, message: ProbeMessage): void {
    this.#post({ kind: 'datagram', from, message });
  }

  override handlePacket(address: Address, message: FleetMessage): void {
    if (message.channel !== 'members') return;
    this.#post({ kind: 'received', address, body: message.body });
  }

  protected handleMembership(_event: MembershipEvent): void {
    // A proxy keeps no replica of the log.
  }

  // Internals.

  #post(message: MembersIn): void {
    const step = this.#filter.decide(this.#state, message, this.now);
    this.#state = step.state;
    for (const output of step.outputs) this.#route(output);
  }

  #route(output: MembersOut): void {
    switch (output.kind) {
      case 'wake':
        this.#wake(output.at);
        return;
      case 'datagram':
        this.network.sendDatagram(this.address, output.to, output.message);
        return;
      case 'send':
        this.links.send(output.to, { channel: 'members', body: output.body });
        return;
      case 'member-up':
      case 'member-gone':
      case 'broadcast':
        this.handleMembership(output);
    }
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
