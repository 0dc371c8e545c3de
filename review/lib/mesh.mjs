// A small deployment on loopback: the processes of the deploy file, started with settings from its templates.
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { Relay } from './relay.mjs';
import { fillTemplate } from './template.mjs';

const ROOT = join(import.meta.dirname, '..', '..');
const START = join(ROOT, 'target', 'start.cjs');

/** The bounds of the users' standard sites. */
export const BOUNDS = {
  contactWindowS: 3,
  ackTimeoutS: 4,
  drainTimeoutS: 2,
  graceS: 6,
  lossSlackS: 0.2,
  configApplyS: 2,
  rollbackSlackS: 0.25,
  retryBudgetRatio: 0.2,
  retryBudgetSlack: 58,
};

/** Owns the processes, the relays and the folder of one run. */
export class Mesh {
  /** `cores`: the number of core machines; `spares`: those that start later; `sidecars`: the service beside each proxy. */
  constructor({ cores = 5, spares = 0, sidecars, tolerated = 2, network }) {
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.network = network ?? 20 + (process.pid % 200);
    this.tolerated = tolerated;
    this.machines = [];
    for (let n = 0; n < cores; n += 1) this.#add(`core-${n}`, 'source', undefined);
    for (let n = 0; n < spares; n += 1) this.#add(`core-${cores + n}`, 'source', undefined, true);
    sidecars.forEach((service, n) => this.#add(`sidecar-${n}`, 'proxy', service));
  }

  get cores() {
    return this.machines.filter(({ role }) => role === 'source');
  }

  get sidecars() {
    return this.machines.filter(({ role }) => role === 'proxy');
  }

  /** Chooses free ports, starts the relays and every process. */
  async start() {
    this.ports = await this.#findPorts(7);
    for (const machine of this.machines) {
      machine.relay = new Relay(machine.ip, machine.bind, this.ports[0]);
      await machine.relay.start();
    }
    for (const machine of this.machines) if (!machine.isSpare) this.startProcess(machine, true);
  }

  startProcess(machine, bootstrap = false) {
    const path = join(this.folder, `${machine.node}.conf`);
    writeFileSync(path, this.#buildSettings(machine, bootstrap));
    const child = spawn(process.execPath, [START, 'run', '--settings', path], {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = join(this.folder, `${machine.node}.log`);
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (chunk) => appendFileSync(log, chunk));
    }
    machine.child = child;
    machine.ended = new Promise((resolve) => child.once('exit', resolve));
  }

  async kill(machine, signal = 'SIGKILL') {
    machine.child.kill(signal);
    await machine.ended;
  }

  /** Empties the disk of a machine whose process has ended. */
  loseDisk(machine) {
    rmSync(this.#dataDir(machine), { recursive: true, force: true });
  }

  /** The text that a process has written. */
  readLog(machine) {
    try {
      return readFileSync(join(this.folder, `${machine.node}.log`), 'utf8');
    } catch {
      return '';
    }
  }

  async stop() {
    for (const { child } of this.machines) {
      if (child && child.exitCode === null && child.signalCode === null) child.kill('SIGKILL');
    }
    await Promise.all(this.machines.map(({ ended }) => ended));
    for (const { relay } of this.machines) relay?.stop();
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true });
  }

  address(machine, port) {
    return `${machine.ip}:${this.ports[port]}`;
  }

  #add(node, role, service, isSpare = false) {
    const n = this.machines.length + 1;
    const ip = `127.${this.network}.${n}.1`;
    const bind = `127.${this.network}.${n}.2`;
    this.machines.push({ node, role, service, isSpare, ip, bind });
  }

  #buildSettings(machine, bootstrap) {
    const [from, to, outbound, inbound, ready, control, app] = this.ports;
    const { ip, node, role, service } = machine;
    const dataDir = this.#dataDir(machine);
    mkdirSync(dataDir, { recursive: true });
    const fields = {
      node,
      ip,
      zone: 'zone-a',
      region: 'region',
      bootstrap,
      service,
      appAddr: `${ip}:${app}`,
      dataDir,
      limits: { linkMbps: 1000 },
      listen: {
        outbound: `${ip}:${outbound}`,
        inbound: `${ip}:${inbound}`,
        ready: `${ip}:${ready}`,
        control: `${ip}:${control}`,
      },
      internalPortRange: [from, to],
      seeds: this.cores.slice(0, 3).map((core) => `${core.ip}:${control}`),
      faultTolerance: { machines: this.tolerated },
      bounds: BOUNDS,
    };
    const template = readFileSync(join(ROOT, 'deploy', `${role}.toml`), 'utf8');
    const text = fillTemplate(template, fields);
    // The relay listens at the address that the other machines use.
    return text.replace(/^control = .*$/m, (line) => `${line}\nbind = "${machine.bind}:${from}"`);
  }

  #dataDir({ node }) {
    return join(this.folder, `${node}.data`);
  }

  async #findPorts(count) {
    const ports = [];
    for (let port = 12_000 + (process.pid % 9_000) * 2; ports.length < count; port += 1) {
      const hosts = this.machines.flatMap(({ ip, bind }) => [ip, bind]);
      const free = await Promise.all(hosts.map((host) => isFree(host, port)));
      if (free.every(Boolean)) ports.push(port);
    }
    return ports;
  }
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Polls until `read` returns a value other than undefined and false. */
export async function waitFor(description, read, timeoutMs = 20_000) {
  const deadline = Date.now() + timeoutMs;
  for (;;) {
    const value = await read();
    if (value !== undefined && value !== false) return value;
    if (Date.now() > deadline) throw new Error(`timed out waiting for ${description}`);
    await wait(50);
  }
}
