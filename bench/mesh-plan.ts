/** Starts meshes from plans, which place hosts in data centres and give them their settings. */
import type { Address } from '../src/ids.js';
import { OperatorClient } from '../src/program/commands/operator-client.js';
import type { HostLink, LinkNetwork } from './link-network.js';
import { PartitionRelay } from './partition-relay.js';
import { findFreeAddress, findFreePort, Mesh, waitFor } from './mesh.js';
import type { MeshProcess } from './mesh.js';

/** Describes a mesh to start. */
export interface MeshPlan {
  readonly region: string;
  readonly dataCentres: readonly string[];
  /** Number of source hosts, which also run the ledger; assigned to data centres round robin. */
  readonly sources: number;
  /** Number of backend servers, each with its proxy, by service; assigned to data centres round robin. */
  readonly services: Readonly<Record<string, number>>;
  readonly policy: 'convergence-time' | 'control-bytes';
  /** URL to which the proxies export spans over OTLP; absent for none. */
  readonly otlpUrl?: string;
  /** Whether peers reach each process through a relay that can simulate a network partition. */
  readonly usesRelays?: boolean;
  /** The links that the relays imitate; absent for links without limits. */
  readonly network?: LinkNetwork;
  /** The number of proxies of each service that have a backend server; all if absent. */
  readonly serversPerService?: number;
  /** Additional lines of the settings section `[proxy]`. */
  readonly proxySettings?: string;
  /** How long backend servers serve after they have announced that they leave; 0 if absent. */
  readonly leaveMs?: number;
}

/**
 * The address that peers use (`control`), the one where the process listens (`bind`), and the relay
 * between them, if any.
 */
interface ProcessAddresses {
  readonly control: string;
  readonly bind: string;
  readonly relay: PartitionRelay | undefined;
}

/** A source host of a running mesh. */
export interface SourceHost {
  readonly name: string;
  readonly control: string;
  readonly operator: string;
  readonly status: string;
  readonly settings: string;
  readonly folder: string;
  process: MeshProcess;
}

/** A proxy of a running mesh and its backend server. */
export interface ProxyHost {
  readonly name: string;
  readonly service: string;
  readonly control: string;
  readonly calls: string;
  readonly announce: string;
  readonly status: string;
  /** The address of the readiness endpoint. */
  readonly ready: string;
  readonly settings: string;
  readonly serverPort: number;
  process: MeshProcess;
  /** Absent for a proxy beyond {@link MeshPlan.serversPerService}. */
  server: MeshProcess | undefined;
}

/** The production layout of Napernyő: three data centres and four services. */
export const NAPERNYO_PLAN: MeshPlan = {
  region: 'hu-central',
  dataCentres: ['hu-a', 'hu-b', 'hu-c'],
  sources: 3,
  services: { catalogue: 4, orders: 3, drawings: 3, jobs: 3 },
  policy: 'convergence-time',
};

/** A mesh whose processes have been started from a plan. */
export class RunningMesh {
  readonly mesh = new Mesh();
  readonly plan: MeshPlan;
  readonly sources: SourceHost[] = [];
  readonly proxies: ProxyHost[] = [];
  readonly tokenFile: string;
  readonly #relays = new Map<string, PartitionRelay>();

  private constructor(plan: MeshPlan) {
    this.plan = plan;
    this.tokenFile = this.mesh.writeFile('token', OPERATOR_TOKEN);
  }

  /** Starts every process of a plan and waits until all of them have logged their start. */
  static async start(plan: MeshPlan): Promise<RunningMesh> {
    const running = new RunningMesh(plan);
    try {
      await running.#startProcesses();
    } catch (error) {
      await running.stop();
      throw error;
    }
    return running;
  }

  /** Returns a client that finds and calls the leader of the source. */
  createClient(): OperatorClient {
    const operators = this.sources.map(({ operator }) => operator as Address);
    return new OperatorClient(operators, OPERATOR_TOKEN);
  }

  /** Command line options that give the addresses and the token of the source. */
  get accessOptions(): readonly string[] {
    const operators = this.sources.flatMap(({ operator }) => ['--operator', operator]);
    return [...operators, '--token-file', this.tokenFile];
  }

  /** Starts a stopped source host with its previous settings. */
  async restartSource(source: SourceHost): Promise<void> {
    source.process = this.mesh.startProgram(source.name, source.settings);
    await waitForStart(source.process);
  }

  /** Starts a stopped proxy with its previous settings, and waits for its start. */
  async restartProxy(proxy: ProxyHost): Promise<void> {
    this.startProxyAgain(proxy);
    await waitForStart(proxy.process);
  }

  /** Starts a stopped proxy with its previous settings. */
  startProxyAgain(proxy: ProxyHost): void {
    proxy.process = this.mesh.startProgram(proxy.name, proxy.settings);
  }

  /** Starts the stopped backend server of a proxy. */
  restartServer(proxy: ProxyHost): void {
    proxy.server = this.mesh.startServer(
      proxy.service,
      proxy.serverPort,
      proxy.announce,
      proxy.calls,
      this.plan.leaveMs,
    );
  }

  /**
   * Partitions a host from all others in both directions; its connections stay open.
   * Requires {@link MeshPlan.usesRelays}.
   */
  isolate(name: string): void {
    for (const [other, relay] of this.#relays) {
      if (other === name) relay.cutAll();
      else relay.cut(formatBindIp(this.#listNames().indexOf(name)));
    }
  }

  /** Ends the partition made by {@link RunningMesh.isolate}. */
  reconnect(name: string): void {
    for (const [other, relay] of this.#relays) {
      if (other === name) relay.reconnectAll();
      else relay.reconnect(formatBindIp(this.#listNames().indexOf(name)));
    }
  }

  /** Returns the relay of a host. Requires {@link MeshPlan.usesRelays}. */
  findRelay(name: string): PartitionRelay {
    const relay = this.#relays.get(name);
    if (relay === undefined) throw new Error(`${name} has no relay`);
    return relay;
  }

  /** Returns the link of a host. Requires {@link MeshPlan.network}. */
  findLink(name: string): HostLink {
    const link = this.plan.network?.findLink(formatBindIp(this.#listNames().indexOf(name)));
    if (link === undefined) throw new Error('the plan has no network');
    return link;
  }

  /** Stops every process and removes the folder. */
  async stop(): Promise<void> {
    await this.mesh.stop();
    await Promise.all([...this.#relays.values()].map((relay) => relay.stop()));
  }

  // Internals.

  async #startProcesses(): Promise<void> {
    await this.#startSources();
    await this.#startProxies();
    const processes = [...this.sources, ...this.proxies].map(({ process }) => process);
    for (const process of processes) await waitForStart(process);
  }

  async #startSources(): Promise<void> {
    const addresses: ProcessAddresses[] = [];
    for (let index = 0; index < this.plan.sources; index += 1) {
      addresses.push(await this.#openAddresses(`source-${index}`));
    }
    const controls = addresses.map(({ control }) => control);
    for (const [index, processAddresses] of addresses.entries()) {
      const name = `source-${index}`;
      const { control } = processAddresses;
      const [operator, status] = [await findFreeAddress(), await findFreeAddress()];
      const folder = this.mesh.createFolder(`${name}-data`);
      const settings = `${this.#buildHead(name, index, processAddresses, status, ['source', 'ledger'])}
data_folder = "${name}-data"

[source]
operator = "${operator}"
token_file = "token"
${controls.length > 1 ? `replicas = ${JSON.stringify(controls)}` : ''}

[ledger]
${controls.length > 1 ? `replicas = ${JSON.stringify(controls)}` : ''}
`;
      const process = this.mesh.startProgram(name, settings);
      this.sources.push({ name, control, operator, status, settings, folder, process });
    }
  }

  async #startProxies(): Promise<void> {
    const { services, serversPerService = Infinity } = this.plan;
    const placements = Object.entries(services).flatMap(([service, count]) =>
      Array.from({ length: count }, (_, rank) => ({
        service,
        hasServer: rank < serversPerService,
      })),
    );
    for (const [index, { service, hasServer }] of placements.entries()) {
      this.proxies.push(await this.#startProxy(index, service, hasServer));
    }
  }

  async #startProxy(index: number, service: string, hasServer: boolean): Promise<ProxyHost> {
    const name = `proxy-${index}`;
    const addresses = await this.#openAddresses(name);
    const { control } = addresses;
    const [calls, announce, status, ready] = [
      await findFreeAddress(),
      await findFreeAddress(),
      await findFreeAddress(),
      await findFreeAddress(),
    ];
    const sources = JSON.stringify(this.sources.map((source) => source.control));
    const seeds = JSON.stringify(this.proxies.slice(0, SEED_COUNT).map((proxy) => proxy.control));
    const settings = `${this.#buildHead(name, index, addresses, status, ['proxy'])}

[proxy]
calls = "${calls}"
announce = "${announce}"
ready = "${ready}"
sources = ${sources}
ledgers = ${sources}
seeds = ${seeds}
${this.plan.proxySettings ?? ''}
[spread]
policy = "${this.plan.policy}"
${this.plan.otlpUrl === undefined ? '' : `[traces]\notlp_url = "${this.plan.otlpUrl}"\nsample_ratio = 1.0`}
`;
    const serverPort = await findFreePort();
    const process = this.mesh.startProgram(name, settings);
    const server = hasServer
      ? this.mesh.startServer(service, serverPort, announce, calls, this.plan.leaveMs)
      : undefined;
    return {
      name,
      service,
      control,
      calls,
      announce,
      status,
      ready,
      settings,
      serverPort,
      process,
      server,
    };
  }

  #listNames(): string[] {
    return [...this.#relays.keys()];
  }

  async #openAddresses(name: string): Promise<ProcessAddresses> {
    const port = await findFreePort();
    if (this.plan.usesRelays !== true) {
      const address = `127.0.0.1:${port}`;
      return { control: address, bind: address, relay: undefined };
    }
    const index = this.#relays.size;
    const [relayIp, bindIp] = [`127.1.0.${index + 1}`, formatBindIp(index)];
    const relay = new PartitionRelay(relayIp, port, bindIp, this.plan.network);
    this.#relays.set(name, relay);
    await relay.start();
    return { control: `${relayIp}:${port}`, bind: `${bindIp}:${port}`, relay };
  }

  #buildHead(
    host: string,
    index: number,
    { control, bind }: ProcessAddresses,
    status: string,
    roles: readonly string[],
  ): string {
    const { region, dataCentres } = this.plan;
    return `host = "${host}"
region = "${region}"
data_centre = "${dataCentres[index % dataCentres.length] ?? ''}"
roles = ${JSON.stringify(roles)}
control = "${control}"
bind = "${bind}"
status = "${status}"`;
  }
}

// Internals.

const SEED_COUNT = 3;
const OPERATOR_TOKEN = 'mesh-token';

/** Returns the IP address on which the process with this index listens behind its relay. */
function formatBindIp(index: number): string {
  return `127.2.0.${index + 1}`;
}

async function waitForStart(process: MeshProcess): Promise<void> {
  await waitFor(`${process.name} to start`, () => {
    if (process.child.exitCode !== null) {
      throw new Error(`${process.name} exited during its start: ${process.output()}`);
    }
    return process.output().includes('"started"') || undefined;
  });
}
