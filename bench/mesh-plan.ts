/** Plans of whole meshes: which hosts run in which data centre, with their settings. */
import type { Address } from '../src/ids.js';
import { OperatorClient } from '../src/program/commands/operator-client.js';
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
}

/** A source host of a running mesh. */
export interface SourceHost {
  readonly name: string;
  readonly control: string;
  readonly operator: string;
  readonly status: string;
  readonly settings: string;
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

  private constructor(plan: MeshPlan) {
    this.plan = plan;
    this.tokenFile = this.mesh.writeFile('token', TOKEN);
  }

  /** Starts every process of a plan and waits until each of them runs. */
  static async start(plan: MeshPlan): Promise<RunningMesh> {
    const running = new RunningMesh(plan);
    await running.#startSources();
    await running.#startProxies();
    const processes = [...running.sources, ...running.proxies].map(({ process }) => process);
    for (const process of processes) await waitForStart(process);
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

  /** Stops every process and removes the folder. */
  async stop(): Promise<void> {
    await this.mesh.stop();
  }

  // Internals.

  async #startSources(): Promise<void> {
    const controls: string[] = [];
    for (let index = 0; index < this.plan.sources; index += 1) {
      controls.push(await findFreeAddress());
    }
    for (const [index, control] of controls.entries()) {
      const name = `source-${index}`;
      const [operator, status] = [await findFreeAddress(), await findFreeAddress()];
      this.mesh.makeFolder(`${name}-data`);
      const settings = `${this.#formHead(name, index, control, status, ['source', 'ledger'])}
data_folder = "${name}-data"

[source]
operator = "${operator}"
token_file = "token"
${controls.length > 1 ? `replicas = ${JSON.stringify(controls)}` : ''}

[ledger]
${controls.length > 1 ? `replicas = ${JSON.stringify(controls)}` : ''}
`;
      const process = this.mesh.startNode(name, settings);
      this.sources.push({ name, control, operator, status, settings, process });
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
    const [control, calls, announce, status] = [
      await findFreeAddress(),
      await findFreeAddress(),
      await findFreeAddress(),
      await findFreeAddress(),
    ];
    const sources = JSON.stringify(this.sources.map((source) => source.control));
    const seeds = JSON.stringify(this.proxies.slice(0, SEED_COUNT).map((proxy) => proxy.control));
    const settings = `${this.#formHead(name, index, control, status, ['proxy'])}

[proxy]
calls = "${calls}"
announce = "${announce}"
sources = ${sources}
ledgers = ${sources}
seeds = ${seeds}

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

  #formHead(
    host: string,
    index: number,
    control: string,
    status: string,
    roles: readonly string[],
  ): string {
    const { region, dataCentres } = this.plan;
    return `host = "${host}"
region = "${region}"
data_centre = "${dataCentres[index % dataCentres.length] ?? ''}"
roles = ${JSON.stringify(roles)}
control = "${control}"
status = "${status}"`;
  }
}

// Internals.

const SEED_COUNT = 3;
const TOKEN = 'mesh-token';

async function waitForStart(process: MeshProcess): Promise<void> {
  await waitFor(`${process.name} to start`, () => {
    if (process.child.exitCode !== null) {
      throw new Error(`${process.name} ended at its start: ${process.output()}`);
    }
    return process.output().includes('"started"') || undefined;
  });
}

/** Writes a note that adds one service, one route and one idempotent request kind per name. */
export function formServicesNote(number: number, services: readonly string[]): string {
  const adds = services.map(
    (service) => `
[[add]]
kind = "service"
name = "${service}"

[[add]]
kind = "request-kind"
name = "read-${service}"
idempotent = true
worth = 1.0
timeout_ms = 10000

[[add]]
kind = "route"
name = "${service}"
generation = "old"
path_prefix = "/${service}"
method = "*"
service = "${service}"
request_kind = "read-${service}"
`,
  );
  return `number = ${number}\ntitle = "Services ${services.join(', ')}"\n${adds.join('')}`;
}
