/** Measures distribution with real processes and sockets on loopback, against the naive star. */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import type { Address, DataCentreId, HostId } from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import { VersionMaker } from './generated-versions.js';
import { findFreeAddress, waitFor } from './mesh.js';
import type { NodeCommand, NodeEvent, NodeFigures, NodePlan } from './spread-node.js';
import { findQuantile, formatRow } from './table.js';

/** The head of the table of {@link reportSockets}. */
export const SOCKETS_HEAD = [
  formatRow([
    'proxies',
    'policy',
    'p50 ms',
    'p99 ms',
    'last ms',
    'total KB/change',
    'B/change a proxy',
    'source B/change',
    'source CPU ms/change',
    'proxy CPU ms/change',
    'proxy RSS MB',
    'storm of a third ms',
    'source B in storm',
  ]),
  formatRow(Array.from({ length: 13 }, () => '---')),
].join('\n');

/** Runs one fleet of processes and writes its figures as one row. */
export async function reportSockets(
  proxies: number,
  policy: NodePlan['policy'],
  versions: number,
): Promise<string> {
  const fleet = await SocketFleet.start(proxies, policy);
  try {
    return await fleet.report(versions);
  } finally {
    fleet.stop();
  }
}

// Internals.

const NODE = join(import.meta.dirname, 'spread-node.js');
const ROUTES = 400;
const SETTLE_MS = 2_500;
const VERSION_INTERVAL_MS = 700;
const DATA_CENTRES = 3;
const SERVED_LIMIT_MS = 20_000;

/** A running process and what it has written. */
class SocketNode {
  readonly plan: NodePlan;
  /** When each version began to serve. */
  readonly served = new Map<number, number>();
  isReady = false;
  #figures: NodeFigures | undefined;
  readonly #child: ChildProcess;

  constructor(plan: NodePlan) {
    this.plan = plan;
    this.#child = spawn(process.execPath, [NODE, JSON.stringify(plan)], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    if (this.#child.stdout === null) throw new Error('the node has no output');
    createInterface({ input: this.#child.stdout }).on('line', (line) => {
      this.#take(JSON.parse(line) as NodeEvent);
    });
  }

  tell(command: NodeCommand): void {
    this.#child.stdin?.write(`${JSON.stringify(command)}\n`);
  }

  async readFigures(): Promise<NodeFigures> {
    this.#figures = undefined;
    this.tell({ kind: 'figures' });
    return waitFor('the figures', () => this.#figures);
  }

  kill(): void {
    this.#child.kill('SIGKILL');
  }

  // Internals.

  #take(event: NodeEvent): void {
    if (event.kind === 'ready') this.isReady = true;
    else if (event.kind === 'figures') this.#figures = event;
    else this.served.set(event.version, event.at);
  }
}

/** The processes of one fleet. */
class SocketFleet {
  readonly #source: SocketNode;
  #proxies: SocketNode[];
  readonly #maker = new VersionMaker(new SeededRandom(1), ROUTES);

  private constructor(source: SocketNode, proxies: SocketNode[]) {
    this.#source = source;
    this.#proxies = proxies;
  }

  static async start(count: number, policy: NodePlan['policy']): Promise<SocketFleet> {
    const source = (await findFreeAddress()) as Address;
    const members: NodePlan['members'][number][] = [];
    for (let index = 0; index < count; index += 1) {
      const control = (await findFreeAddress()) as Address;
      const dataCentre = `dc-${index % DATA_CENTRES}` as DataCentreId;
      members.push({ host: `proxy-${index}` as HostId, dataCentre, control });
    }
    const home = { host: 'source' as HostId, dataCentre: 'dc-0' as DataCentreId, control: source };
    const sourceNode = new SocketNode({
      ...home,
      role: 'source',
      source,
      members,
      policy,
      seed: 1,
    });
    const proxies = members.map(
      (member, seed) => new SocketNode({ ...member, role: 'proxy', source, members, policy, seed }),
    );
    const fleet = new SocketFleet(sourceNode, proxies);
    for (const node of [sourceNode, ...proxies]) {
      await waitFor('a node', () => node.isReady || undefined, SERVED_LIMIT_MS);
    }
    return fleet;
  }

  async report(versions: number): Promise<string> {
    await pause(SETTLE_MS);
    this.#source.tell({ kind: 'commit', delta: this.#maker.makeMany(ROUTES).delta });
    await this.#waitServed(this.#proxies);
    await pause(SETTLE_MS);
    const before = await this.#readAll();
    const delays: number[] = [];
    for (let made = 0; made < versions; made += 1) delays.push(...(await this.#measureVersion()));
    const after = await this.#readAll();
    const storm = await this.#measureStorm();
    const sum = (read: (figures: NodeFigures) => number) =>
      after.all.reduce((total, figures, index) => {
        const former = before.all[index];
        return total + read(figures) - (former === undefined ? 0 : read(former));
      }, 0) / versions;
    const count = this.#proxies.length;
    const totalBytes = sum((figures) => figures.sentBytes);
    const sourceCpuMs = (after.source.cpuUs - before.source.cpuUs) / versions / 1_000;
    const cpuMs = sum((figures) => figures.cpuUs) / 1_000;
    const rss = after.all.slice(1).map((figures) => figures.rssBytes / 1_024 / 1_024);
    return formatRow([
      count,
      this.#source.plan.policy,
      findQuantile(delays, 0.5),
      findQuantile(delays, 0.99),
      findQuantile(delays, 1),
      totalBytes / 1_024,
      totalBytes / count,
      (after.source.sentBytes - before.source.sentBytes) / versions,
      sourceCpuMs,
      (cpuMs - sourceCpuMs) / count,
      findQuantile(rss, 0.5),
      storm.milliseconds,
      storm.sourceBytes,
    ]);
  }

  stop(): void {
    for (const node of [this.#source, ...this.#proxies]) node.kill();
  }

  // Internals.

  async #measureVersion(): Promise<number[]> {
    const { delta } = this.#maker.makeNext();
    const committedAt = performance.timeOrigin + performance.now();
    this.#source.tell({ kind: 'commit', delta });
    await this.#waitServed(this.#proxies);
    const delays = this.#proxies.map((node) => (node.served.get(delta.version) ?? 0) - committedAt);
    await pause(VERSION_INTERVAL_MS);
    return delays;
  }

  /** Kills a third of the proxies, starts them anew and waits until they serve. */
  async #measureStorm(): Promise<{ milliseconds: number; sourceBytes: number }> {
    const herd = this.#proxies.filter((_node, index) => index % 3 === 0);
    for (const node of herd) node.kill();
    await pause(SETTLE_MS);
    const { sentBytes } = await this.#source.readFigures();
    const start = performance.now();
    const started = herd.map((node) => new SocketNode(node.plan));
    this.#proxies = [...this.#proxies.filter((node) => !herd.includes(node)), ...started];
    await this.#waitServed(started);
    const milliseconds = performance.now() - start;
    const after = await this.#source.readFigures();
    return { milliseconds, sourceBytes: after.sentBytes - sentBytes };
  }

  async #waitServed(nodes: readonly SocketNode[]): Promise<void> {
    const isServed = () => nodes.every((node) => node.served.has(this.#maker.newest));
    await waitFor('the version', () => isServed() || undefined, SERVED_LIMIT_MS);
  }

  async #readAll(): Promise<{ source: NodeFigures; all: NodeFigures[] }> {
    const source = await this.#source.readFigures();
    const proxies = await Promise.all(this.#proxies.map((node) => node.readFigures()));
    return { source, all: [source, ...proxies] };
  }
}

async function pause(milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}
