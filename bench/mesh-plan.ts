/** Plans of whole meshes: which hosts run in which data centre, with their settings. */
import type { Address } from '../src/ids.js';
import { OperatorClient } from '../src/program/commands/operator-client.js';
import { CutRelay } from './partition-relay.js';
import { findFreeAddress, findFreePort, Mesh, waitFor } from './mesh.js';
import type { MeshProcess } from './mesh.js';

/** A mesh to start. */
export interface MeshPlan {
  readonly region: string;
  readonly dataCentres: readonly string[];
  /** Source hosts, which carry the ledger too; spread over the data centres in turn. */
  readonly sources: number;
  /** Backend servers per service; spread over the data centres in turn. */
  readonly services: Readonly<Record<string, number>>;
  readonly policy: 'convergence-time' | 'control-bytes';
  /** Where spans go, if anywhere. */
  readonly otlpUrl?: string;
  /** Whether each process stands behind a relay that can cut it off. */
  readonly relayed?: boolean;
  /** Further settings of the section `[proxy]`. */
  readonly proxyLines?: string;
}

/** Where a process is reached, where it listens, and the relay in between, if any. */
interface Place {
  readonly control: string;
  readonly bind: string;
  readonly relay: CutRelay | undefined;
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

/** A proxy and the backend server beside it. */
export interface ProxyHost {
  readonly name: string;
  readonly service: string;
  readonly control: string;
  readonly calls: string;
  readonly announce: string;
  readonly status: string;
  readonly settings: string;
  readonly serverPort: number;
  process: MeshProcess;
  server: MeshProcess;
}

/** Napernyő's shape of today: three data centres, four services. */
export const NAPERNYO: MeshPlan = {
  region: 'hu-central',
  dataCentres: ['hu-a', 'hu-b', 'hu-c'],
  sources: 3,
  services: { catalogue: 4, orders: 3, drawings: 3, jobs: 3 },
  policy: 'convergence-time',
};

/** A planned mesh whose processes run. */
export class RunningMesh {
  readonly mesh = new Mesh();
  readonly plan: MeshPlan;
  readonly sources: SourceHost[] = [];
  readonly proxies: ProxyHost[] = [];
  readonly tokenFile: string;
  readonly #relays = new Map<string, CutRelay>();

  private constructor(plan: MeshPlan) {
    this.plan = plan;
    this.tokenFile = this.mesh.writeFile('token', TOKEN);
  }

  /** Starts every process of a plan and waits until each of them runs. */
  static async start(plan: MeshPlan): Promise<RunningMesh> {
    const running = new RunningMesh(plan);
    try {
      await running.#startAll();
    } catch (error) {
      await running.stop();
      throw error;
    }
    return running;
  }

  /** Reaches the leader of the source. */
  createClient(): OperatorClient {
    const operators = this.sources.map(({ operator }) => operator as Address);
    return new OperatorClient(operators, TOKEN);
  }

  /** The options with which the command line reaches the source. */
  get access(): readonly string[] {
    const operators = this.sources.flatMap(({ operator }) => ['--operator', operator]);
    return [...operators, '--token-file', this.tokenFile];
  }

  /** Starts a source host again with its former settings. */
  async restartSource(source: SourceHost): Promise<void> {
    source.process = this.mesh.startNode(source.name, source.settings);
    await waitForStart(source.process);
  }

  /** Starts a proxy again with its former settings. */
  async restartProxy(proxy: ProxyHost): Promise<void> {
    proxy.process = this.mesh.startNode(proxy.name, proxy.settings);
    await waitForStart(proxy.process);
  }

  /** Starts the backend server beside a proxy again. */
  restartServer(proxy: ProxyHost): void {
    proxy.server = this.mesh.startServer(
      proxy.service,
      proxy.serverPort,
      proxy.announce,
      proxy.calls,
    );
  }

  /** Cuts a host off from all others, silently and in both directions. Needs `relayed`. */
  cutOff(name: string): void {
    for (const [other, relay] of this.#relays) {
      if (other === name) relay.cutAll();
      else relay.cut(findBindHost(this.#listNames().indexOf(name)));
    }
  }

  /** Mends what {@link RunningMesh.cutOff} cut. */
  mend(name: string): void {
    for (const [other, relay] of this.#relays) {
      if (other === name) relay.mendAll();
      else relay.mend(findBindHost(this.#listNames().indexOf(name)));
    }
  }

  /** Stops every process and removes the folder. */
  async stop(): Promise<void> {
    await this.mesh.stop();
    await Promise.all([...this.#relays.values()].map((relay) => relay.stop()));
  }

  // Internals.

  async #startAll(): Promise<void> {
    await this.#startSources();
    await this.#startProxies();
    const processes = [...this.sources, ...this.proxies].map(({ process }) => process);
    for (const process of processes) await waitForStart(process);
  }

  async #startSources(): Promise<void> {
    const places: Place[] = [];
    for (let index = 0; index < this.plan.sources; index += 1) {
      places.push(await this.#findPlace(`source-${index}`));
    }
    const controls = places.map(({ control }) => control);
    for (const [index, place] of places.entries()) {
      const name = `source-${index}`;
      const { control } = place;
      const [operator, status] = [await findFreeAddress(), await findFreeAddress()];
      const folder = this.mesh.makeFolder(`${name}-data`);
      const settings = `${this.#formHead(name, index, place, status, ['source', 'ledger'])}
data_folder = "${name}-data"

[source]
operator = "${operator}"
token_file = "token"
${controls.length > 1 ? `replicas = ${JSON.stringify(controls)}` : ''}

[ledger]
${controls.length > 1 ? `replicas = ${JSON.stringify(controls)}` : ''}
`;
      const process = this.mesh.startNode(name, settings);
      this.sources.push({ name, control, operator, status, settings, folder, process });
    }
  }

  async #startProxies(): Promise<void> {
    const services = Object.entries(this.plan.services).flatMap(([service, count]) =>
      Array.from({ length: count }, () => service),
    );
    for (const [index, service] of services.entries()) {
      this.proxies.push(await this.#startProxy(index, service));
    }
  }

  async #startProxy(index: number, service: string): Promise<ProxyHost> {
    const name = `proxy-${index}`;
    const place = await this.#findPlace(name);
    const { control } = place;
    const [calls, announce, status] = [
      await findFreeAddress(),
      await findFreeAddress(),
      await findFreeAddress(),
    ];
    const sources = JSON.stringify(this.sources.map((source) => source.control));
    const seeds = JSON.stringify(this.proxies.slice(0, SEED_COUNT).map((proxy) => proxy.control));
    const settings = `${this.#formHead(name, index, place, status, ['proxy'])}

[proxy]
calls = "${calls}"
announce = "${announce}"
sources = ${sources}
ledgers = ${sources}
seeds = ${seeds}
${this.plan.proxyLines ?? ''}
[spread]
policy = "${this.plan.policy}"
${this.plan.otlpUrl === undefined ? '' : `[traces]\notlp_url = "${this.plan.otlpUrl}"\nsample_ratio = 1.0`}
`;
    const serverPort = await findFreePort();
    const process = this.mesh.startNode(name, settings);
    const server = this.mesh.startServer(service, serverPort, announce, calls);
    return {
      name,
      service,
      control,
      calls,
      announce,
      status,
      settings,
      serverPort,
      process,
      server,
    };
  }

  #listNames(): string[] {
    return [...this.#relays.keys()];
  }

  async #findPlace(name: string): Promise<Place> {
    const port = await findFreePort();
    if (this.plan.relayed !== true) {
      const address = `127.0.0.1:${port}`;
      return { control: address, bind: address, relay: undefined };
    }
    const index = this.#relays.size;
    const [near, far] = [`127.1.0.${index + 1}`, findBindHost(index)];
    const relay = new CutRelay(near, port, far);
    this.#relays.set(name, relay);
    await relay.start();
    return { control: `${near}:${port}`, bind: `${far}:${port}`, relay };
  }

  #formHead(
    host: string,
    index: number,
    { control, bind }: Place,
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
const TOKEN = 'mesh-token';

/** The IP number of a relayed process, by the order in which it was planned. */
function findBindHost(index: number): string {
  return `127.2.0.${index + 1}`;
}

async function waitForStart(process: MeshProcess): Promise<void> {
  await waitFor(`${process.name} to start`, () => {
    if (process.child.exitCode !== null) {
      throw new Error(`${process.name} ended at its start: ${process.output()}`);
    }
    return process.output().includes('"started"') || undefined;
  });
}
