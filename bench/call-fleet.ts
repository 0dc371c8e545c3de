/** Starts the processes of a call benchmark. */
import type { ChildProcess } from 'node:child_process';
import { fork } from 'node:child_process';
import { join } from 'node:path';
import type { Address, DataCentreId, HostId, Incarnation, Instant, RegionId } from '../src/ids.js';
import { NO_VERSION } from '../src/ids.js';
import type { Announcement, Member, Resource } from '../src/messages/index.js';
import type { NodePlan, NodeUsage } from './call-node.js';
import { findFreeAddress, findFreePort } from './mesh.js';

/** The slots of a backend server and the milliseconds that it takes to run a call. */
export interface ServerPlan {
  readonly slots: number;
  readonly runMs: number;
}

/** Options of a fleet: one backend server with its proxy for each plan, and one entry proxy. */
export interface FleetOptions {
  readonly servers: readonly ServerPlan[];
  readonly resources: readonly Resource[];
}

/** Starts and stops the processes of one benchmark. */
export class CallFleet {
  /** The address for calls of the entry proxy, which has no backend server. */
  entry = '' as Address;
  /** The addresses for calls of the proxies that guard the backend servers. */
  readonly guards: Address[] = [];
  readonly servers: Address[] = [];
  readonly #children: ChildProcess[] = [];
  #nodes: ChildProcess[] = [];

  /** Starts the backend servers and the proxies. */
  async start({ servers, resources }: FleetOptions): Promise<void> {
    const members: Member[] = [];
    for (const [index, { slots, runMs }] of servers.entries()) {
      const port = await findFreePort();
      await this.run('call-server', [`${port}`, `${slots}`, `${runMs}`]);
      const address = `127.0.0.1:${port}` as Address;
      this.servers.push(address);
      const member = await makeMember(`host-${index}`, [makeServer(address, slots)]);
      this.guards.push(member.calls);
      members.push(member);
    }
    const entry = await makeMember('entry', []);
    this.entry = entry.calls;
    for (const self of [entry, ...members]) {
      const plan: NodePlan = { self, members: [entry, ...members], resources };
      this.#nodes.push(await this.run('call-node', [JSON.stringify(plan)]));
    }
  }

  /** Starts a script of this folder and waits until it reports that it is ready. */
  async run(name: string, args: readonly string[]): Promise<ChildProcess> {
    const child = fork(join(import.meta.dirname, `${name}.js`), [...args]);
    this.#children.push(child);
    await new Promise((resolve) => child.once('message', resolve));
    return child;
  }

  /** Reads the resource usage of every proxy, with the entry proxy first. */
  async readUsage(): Promise<NodeUsage[]> {
    return Promise.all(
      this.#nodes.map(
        (child) =>
          new Promise<NodeUsage>((resolve) => {
            child.once('message', (usage) => {
              resolve(usage as NodeUsage);
            });
            child.send('usage');
          }),
      ),
    );
  }

  /** Stops every process. */
  stop(): void {
    for (const child of this.#children) child.disconnect();
    this.#nodes = [];
  }
}

// Internals.

const NEVER_EXPIRES = 1e15 as Instant;

/** Creates the member record of a proxy on a free address. */
export async function makeMember(host: string, servers: Announcement[]): Promise<Member> {
  const address = (await findFreeAddress()) as Address;
  return {
    host: host as HostId,
    region: 'hu-central' as RegionId,
    dataCentre: 'a' as DataCentreId,
    control: address,
    calls: address,
    pass: `pass of ${host}`,
    isSource: false,
    incarnation: 1 as Incarnation,
    liveness: 'alive',
    version: NO_VERSION,
    servers,
  };
}

function makeServer(address: Address, slots: number): Announcement {
  return {
    service: 'shop' as Announcement['service'],
    address,
    slots,
    connections: 5 * slots,
    state: 'ready',
    heartbeatDeadline: NEVER_EXPIRES,
  };
}
