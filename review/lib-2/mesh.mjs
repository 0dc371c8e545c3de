// Starts small deployments of the project's own programs as separate processes on loopback addresses.
// Machines are loopback IPs with the same ports everywhere, as on the users' platform.
import { spawn } from 'node:child_process';
import {
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const START_ARGUMENTS = readRunCommand();

/** Reads the command of the roles from the deploy file. */
function readRunCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const [, command] = /^run = "(.+)"$/m.exec(text);
  return command.split(' ');
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));

/** Writes what was sent, answered and run to record.txt, with the seconds since the start. */
export class Record {
  #path;
  #lines = [];
  #startedAt = performance.now();

  constructor(folder) {
    this.#path = join(folder, 'record.txt');
  }

  get seconds() {
    return (performance.now() - this.#startedAt) / 1000;
  }

  add(text) {
    const line = `${this.seconds.toFixed(3).padStart(8)} s  ${text}`;
    this.#lines.push(line);
    console.log(line);
  }

  save() {
    writeFileSync(this.#path, `${this.#lines.join('\n')}\n`);
  }
}

/** A deployment: its machines, their ports and its temporary folder. */
export class Mesh {
  folder = mkdtempSync(join(tmpdir(), 'review-'));
  machines = [];
  #net = 1 + Math.floor(Math.random() * 250);

  /** Picks ports that are free on all addresses of the deployment. */
  async open({ cores, sidecars }) {
    const ips = [];
    for (let n = 1; n <= cores + sidecars; n += 1) ips.push(`127.${this.#net}.0.${10 + n}`);
    this.ips = ips;
    this.ports = {};
    for (const name of ['control', 'internal', 'status', 'outbound', 'inbound', 'ready', 'app']) {
      this.ports[name] = await findPort(ips, Object.values(this.ports));
    }
    this.seeds = ips.slice(0, Math.min(3, cores)).map((ip) => `${ip}:${this.ports.control}`);
    for (let n = 0; n < cores; n += 1)
      this.machines.push(new Machine(this, `core-${n + 1}`, 'core', ips[n]));
    for (let n = 0; n < sidecars; n += 1) {
      this.machines.push(new Machine(this, `sidecar-${n + 1}`, 'sidecar', ips[cores + n]));
    }
  }

  get cores() {
    return this.machines.filter(({ kind }) => kind === 'core');
  }

  get sidecars() {
    return this.machines.filter(({ kind }) => kind === 'sidecar');
  }

  /** Ends all processes and removes the temporary folder. */
  async close() {
    for (const machine of this.machines) machine.signal('SIGKILL');
    await sleep(100);
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** One machine with its process. */
export class Machine {
  process;
  /** When the process ended by itself. */
  ends = [];
  restarts = false;

  constructor(mesh, name, kind, ip) {
    Object.assign(this, { mesh, name, kind, ip });
    this.dataFolder = join(mesh.folder, name);
    this.logFile = join(mesh.folder, `${name}.out`);
    this.settingsFile = join(mesh.folder, `${name}.conf`);
    mkdirSync(this.dataFolder, { recursive: true });
  }

  address(port) {
    return `${this.ip}:${this.mesh.ports[port]}`;
  }

  /** Renders the template of the role, as the platform does at every start. */
  writeSettings(bootstrap) {
    const { mesh } = this;
    const seeds = JSON.stringify(mesh.seeds);
    const common = [
      `host = "${this.name}"`,
      'region = "region"',
      `data_centre = "${this.zone ?? 'zone-a'}"`,
      `control = "${this.address('internal')}"`,
      `seed_port = ${mesh.ports.internal}`,
      `status = "${this.address('status')}"`,
    ];
    const text =
      this.kind === 'core'
        ? [
            ...common,
            'roles = ["source"]',
            `data_folder = ${JSON.stringify(this.dataFolder)}`,
            '[source]',
            `operator = "${this.address('control')}"`,
            '[source.growth]',
            `seeds = ${seeds}`,
            `founds = ${bootstrap}`,
            'tolerated_losses = 2',
            'catch_up_seconds = 4',
          ]
        : [
            ...common,
            'roles = ["proxy"]',
            '[proxy]',
            `calls = "${this.address('outbound')}"`,
            `forwards = "${this.address('inbound')}"`,
            `ready = "${this.address('ready')}"`,
            `announce = "${this.address('control')}"`,
            `service = "${this.service}"`,
            `seeds = ${seeds}`,
            'linger_ms = 2200',
            'stop_within_seconds = 6',
            ...(this.linkMbps === undefined ? [] : [`link_mbit_per_second = ${this.linkMbps}`]),
            '[proxy.retries]',
            'shared = true',
            'per_call = 0.2',
            'burst = 58',
            '[proxy.accounts]',
          ];
    writeFileSync(this.settingsFile, `${text.join('\n')}\n`);
  }

  start(bootstrap = false) {
    if (this.isRunning) return;
    this.writeSettings(bootstrap);
    const [program, ...rest] = START_ARGUMENTS;
    const words = rest.map((word) =>
      word === '/etc/bilberryswitch/local.conf' ? this.settingsFile : word,
    );
    const { PATH, HOME, LANG } = process.env;
    const out = openSync(this.logFile, 'a');
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG },
      stdio: ['ignore', out, out],
    });
    closeSync(out);
    this.process = child;
    child.on('exit', (code, signal) => {
      if (this.process !== child) return;
      this.process = undefined;
      if (!this.isStopping) this.ends.push({ code, signal });
    });
    this.isStopping = false;
  }

  signal(name) {
    if (this.process === undefined) return;
    if (name === 'SIGKILL' || name === 'SIGTERM') this.isStopping = true;
    this.process.kill(name);
  }

  get isRunning() {
    return this.process !== undefined;
  }

  /** Returns the anonymous memory of the process in MB. */
  get memoryMb() {
    try {
      const text = readFileSync(`/proc/${this.process.pid}/status`, 'utf8');
      return Number(/RssAnon:\s+(\d+)/.exec(text)[1]) / 1024;
    } catch {
      return 0;
    }
  }

  readLog() {
    return readFileSync(this.logFile, 'utf8');
  }
}

/** Sends one request on a new connection; resolves with undefined if there is no answer in time. */
export function send({
  address,
  method = 'GET',
  path,
  headers = {},
  body,
  timeoutMs = 1000,
  agent = false,
}) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const request = http.request({ host, port, method, path, headers, agent, timeout: timeoutMs });
    const timer = setTimeout(() => request.destroy(new Error('no answer in time')), timeoutMs);
    request.on('error', (error) => {
      clearTimeout(timer);
      resolve({ status: undefined, cause: error.code ?? error.message });
    });
    request.on('response', (response) => {
      const parts = [];
      response.on('data', (part) => parts.push(part));
      response.on('error', () => undefined);
      response.on('close', () => {
        clearTimeout(timer);
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(parts),
          isWhole: response.complete,
        });
      });
    });
    request.end(body);
  });
}

/** The operator of PROTOCOL.md: tries other nodes after a failure, and follows a 307 twice. */
export class Operator {
  #mesh;
  #next = 0;

  constructor(mesh) {
    this.#mesh = mesh;
  }

  async #ask(options, timeoutMs) {
    const { cores } = this.#mesh;
    let address = cores[this.#next % cores.length].address('control');
    let path = options.path;
    for (let hop = 0; hop < 3; hop += 1) {
      const answer = await send({ ...options, path, address, timeoutMs });
      if (answer.status !== 307) {
        if (answer.status === undefined || answer.status >= 500) this.#next += 1;
        return answer;
      }
      const to = new URL(answer.headers.location);
      address = to.host;
      path = to.pathname;
    }
    this.#next += 1;
    return { status: undefined, cause: 'redirected too often' };
  }

  /** Sends an order until it gets a clear answer; returns undefined if none came within `forMs`. */
  async replace(configuration, forMs, timeoutMs = 1000) {
    const body = JSON.stringify(configuration);
    const until = performance.now() + forMs;
    let pauseMs = 50;
    while (performance.now() < until) {
      const headers = {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      };
      const answer = await this.#ask(
        { method: 'POST', path: '/config/replace', headers, body },
        timeoutMs,
      );
      this.last = answer;
      if (
        answer.status !== undefined &&
        answer.status < 500 &&
        answer.status !== 408 &&
        answer.status !== 429
      ) {
        return answer.status;
      }
      await sleep(pauseMs);
      pauseMs = Math.min(500, pauseMs * 2);
    }
    return undefined;
  }

  /** Reads the configuration back until it comes; returns undefined if it did not within `forMs`. */
  async read(forMs, timeoutMs = 1000) {
    const until = performance.now() + forMs;
    let tries = 0;
    while (performance.now() < until) {
      tries += 1;
      const answer = await this.#ask({ path: '/config/get' }, timeoutMs);
      if (answer.status === 200) return { body: answer.body.toString(), tries };
      await sleep(100);
    }
    return undefined;
  }
}

async function findPort(ips, taken) {
  for (;;) {
    const port = 20_000 + Math.floor(Math.random() * 10_000);
    if (taken.includes(port)) continue;
    const results = await Promise.all(ips.map((ip) => isFree(ip, port)));
    if (results.every(Boolean)) return port;
  }
}

function isFree(ip, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

/** A sound backend of PROTOCOL.md beside a sidecar: runs requests, and sends heartbeats to its machine's node. */
export class Backend {
  runs = [];
  state = 'ready';
  isBeating = false;
  #sequence = 0;

  constructor(machine, { service, slots = 6, workMs = 30, beatMs = 870, id }) {
    Object.assign(this, { machine, service, slots, workMs, beatMs });
    this.id = id ?? `i-${Math.floor(Math.random() * 2 ** 40).toString(16)}`;
    this.born = Date.now();
  }

  async open() {
    this.server = http.createServer((request, response) => this.#handle(request, response));
    this.server.keepAliveTimeout = 10_000;
    await new Promise((resolve) =>
      this.server.listen(this.machine.mesh.ports.app, this.machine.ip, resolve),
    );
  }

  /** Builds the body of a heartbeat; each has the next sequence. */
  buildBeat() {
    this.#sequence += 1;
    return JSON.stringify({
      service: this.service,
      address: this.machine.address('app'),
      zone: 'zone-a',
      version: 'v1',
      slots: this.slots,
      state: this.state,
      coldRemainingS: 0,
      sequence: this.#sequence,
      born: this.born,
    });
  }

  /** Sends a call to the node of this machine; returns whether it was acknowledged. */
  async call(verb, body) {
    const answer = await send({
      address: this.machine.address('control'),
      method: 'POST',
      path: `/instances/${this.id}/${verb}`,
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
      body,
    });
    return answer.status >= 200 && answer.status < 300;
  }

  startBeats() {
    this.isBeating = true;
    const beat = async () => {
      if (!this.isBeating) return;
      await this.call('heartbeat', this.buildBeat());
      if (this.isBeating) this.timer = setTimeout(beat, this.beatMs);
    };
    void beat();
  }

  stopBeats() {
    this.isBeating = false;
    clearTimeout(this.timer);
  }

  close() {
    this.stopBeats();
    this.server?.closeAllConnections();
    this.server?.close();
  }

  #handle(request, response) {
    if (request.url === '/healthz') {
      response.writeHead(200, { 'X-Instance-Id': this.id }).end();
      return;
    }
    const attempt = request.headers['x-attempt-id'];
    const expected = request.headers['x-expect-instance'];
    const head = { 'X-Attempt-Id': attempt };
    if (expected !== undefined && expected !== this.id) {
      request.resume();
      response.writeHead(421, { ...head, 'X-Not-Executed': '1' }).end();
      return;
    }
    request.resume();
    this.runs.push({ attempt, at: performance.now(), url: request.url, method: request.method });
    setTimeout(() => {
      if (response.destroyed) return;
      const body = `${this.service} ${attempt}\n`;
      response.writeHead(200, {
        ...head,
        'X-Server-Seal': `seal.${this.id}`,
        'Content-Length': Buffer.byteLength(body),
      });
      response.end(body);
    }, this.workMs);
  }
}

let attempts = 0;

/** Sends one client attempt to the outbound address of a machine. */
export function callService(
  machine,
  { host, path, method = 'GET', deadlineMs = 1000, headers = {}, body, agent },
) {
  attempts += 1;
  const id = `${process.pid.toString(16)}${(attempts + 0x100000).toString(16)}`;
  return send({
    address: machine.address('outbound'),
    method,
    path,
    body,
    agent,
    timeoutMs: deadlineMs,
    headers: {
      Host: host,
      'X-Attempt-Id': id,
      'X-Deadline-Ms': `${deadlineMs}`,
      ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }),
      ...headers,
    },
  }).then((answer) => ({ id, sentAt: performance.now(), ...answer }));
}
