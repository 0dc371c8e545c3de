// Stand-ins for the users' backends, clients, operator and provider, as their protocol page describes them.
import { randomBytes } from 'node:crypto';
import { Agent, createServer, request as sendRequest } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';

const HEARTBEAT_MS = 1_500;

function newId() {
  return `i-${randomBytes(5).toString('hex')}`;
}

/** Sends a request; resolves with the answer, or with the error. Never rejects. */
export function send({
  host,
  port,
  method = 'GET',
  path,
  headers = {},
  body,
  timeoutMs = 5_000,
  agent,
}) {
  return new Promise((resolve) => {
    const request = sendRequest({ host, port, method, path, headers, agent: agent ?? false });
    const timer = setTimeout(() => request.destroy(new Error('no answer in time')), timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    request.on('error', (error) => finish({ error: error.message }));
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', (error) => finish({ error: error.message }));
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString();
        if (!response.complete) finish({ error: 'the answer broke off' });
        else finish({ status: response.statusCode, headers: response.headers, text });
      });
    });
    request.end(body);
  });
}

/** A backend beside a proxy. It says what it is in pings and notes each request that it runs. */
export class Backend {
  constructor({ service, ip, port, control, record, slots = 18, workMs = 20 }) {
    Object.assign(this, { service, ip, port, control, record, slots, workMs });
    this.id = newId();
    this.state = 'ready';
    this.sequence = 0;
    this.runs = [];
  }

  async start() {
    this.born = Date.now();
    this.running = new Set();
    this.server = createServer((request, response) => this.#handle(request, response));
    this.server.keepAliveTimeout = 15_000;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.ip, resolve);
    });
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /** Builds the next ping; it may be sent later than it was built. */
  buildBeat() {
    this.sequence += 1;
    return {
      service: this.service,
      address: `${this.ip}:${this.port}`,
      zone: 'zone-a',
      version: 'v1',
      slots: this.slots,
      state: this.state,
      coldRemainingS: 0,
      sequence: this.sequence,
      born: this.born,
    };
  }

  beat(body = this.buildBeat()) {
    return this.#tell('heartbeat', body);
  }

  stopBeats() {
    clearInterval(this.timer);
  }

  deregister() {
    this.stopBeats();
    return this.#tell('deregister', { born: this.born });
  }

  stop() {
    this.stopBeats();
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Ends without a word, with every connection and run; a new incarnation starts some time later. */
  crash(downMs) {
    this.stop();
    for (const timer of this.running) clearTimeout(timer);
    this.id = newId();
    this.sequence = 0;
    setTimeout(
      () => void this.start().catch((error) => this.record('error', { message: error.message })),
      downMs,
    );
  }

  /** The number of runs in progress. */
  countRunning() {
    return this.running.size;
  }

  #tell(what, body) {
    return send({
      host: this.control.ip,
      port: this.control.port,
      method: 'POST',
      path: `/instances/${this.id}/${what}`,
      headers: { 'Content-Type': 'application/json' },
      body: JSON.stringify(body),
      timeoutMs: 1_000,
    });
  }

  #handle(request, response) {
    const id = request.headers['x-attempt-id'];
    const expected = request.headers['x-expect-instance'];
    request.resume();
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Attempt-Id': id, 'X-Not-Executed': '1', 'Content-Length': 0 });
      response.end();
      return;
    }
    const run = { id, path: request.url, service: this.service, backend: this.id, at: Date.now() };
    this.runs.push(run);
    this.record('run', run);
    this.onRun?.(run);
    if (request.destroyed) return;
    const timer = setTimeout(() => {
      this.running.delete(timer);
      const body = `${this.service} ${id}\n`;
      response.writeHead(200, {
        'X-Attempt-Id': id,
        'X-Server-Seal': `${this.id}.${id}`,
        'Content-Length': Buffer.byteLength(body),
      });
      response.end(body);
    }, this.workMs);
    this.running.add(timer);
    // Most backends drop a request when its connection closes.
    response.on('close', () => {
      clearTimeout(timer);
      this.running.delete(timer);
    });
  }
}

/** A client on one machine. Each call has its own attempt id. */
export async function call({
  ip,
  port,
  host,
  path,
  method = 'GET',
  deadlineMs = 1_000,
  record,
  agent,
}) {
  const id = randomBytes(8).toString('hex');
  const sentAt = Date.now();
  const headers = { Host: host, 'X-Attempt-Id': id, 'X-Deadline-Ms': `${deadlineMs}` };
  const answer = await send({
    host: ip,
    port,
    method,
    path,
    headers,
    timeoutMs: deadlineMs + 500,
    agent,
  });
  const result = {
    id,
    to: ip,
    path,
    sentAt,
    status: answer.status,
    error: answer.error,
    text: answer.text,
  };
  record('call', result);
  return result;
}

/** A pool of kept connections of clients. */
export function createAgent() {
  return new Agent({ keepAlive: true, maxSockets: 4 });
}

/** The operator: sends an order to the nodes in turn until it has a clear answer. */
export class Operator {
  constructor({ nodes, port, record }) {
    Object.assign(this, { nodes, port, record });
    this.next = 0;
  }

  /** Sends a configuration until it is answered clearly; undefined after `withinMs`. */
  replace(configuration, withinMs = 20_000) {
    const body = JSON.stringify(configuration);
    this.record('order', { version: configuration.version, sentAt: Date.now() });
    return this.#ask({ method: 'POST', path: '/config/replace', body }, withinMs);
  }

  read(withinMs = 5_000) {
    return this.#ask({ method: 'GET', path: '/config/get' }, withinMs);
  }

  async #ask(message, withinMs) {
    const deadline = Date.now() + withinMs;
    for (let pauseMs = 50; Date.now() < deadline; pauseMs = Math.min(500, pauseMs * 2)) {
      const answer = await this.#follow(message);
      const isClear = answer.status !== undefined && answer.status < 500 && answer.status !== 429;
      this.record('operator', {
        path: message.path,
        at: Date.now(),
        status: answer.status,
        by: answer.by,
        error: answer.error,
      });
      if (isClear && answer.status !== 307) return { ...answer, at: Date.now() };
      await wait(pauseMs);
    }
    return undefined;
  }

  async #follow(message) {
    let node = this.nodes[this.next % this.nodes.length];
    this.next += 1;
    for (let hops = 0; ; hops += 1) {
      const headers = { 'Content-Type': 'application/json' };
      const answer = await send({
        ...message,
        host: node,
        port: this.port,
        headers,
        timeoutMs: 1_000,
      });
      if (answer.status !== 307 || hops === 2) return { ...answer, by: node };
      node = new URL(answer.headers.location).hostname;
    }
  }
}

/** Builds a configuration; `routes` maps a path prefix to a service. */
export function buildConfiguration(version, base, routes, services, kind = 'safe') {
  const resources = [];
  for (const [prefix, service] of Object.entries(routes)) {
    resources.push({
      type: 'routes',
      metadata: { name: `r-${prefix.replaceAll('/', '')}` },
      spec: {
        host: 'site.example',
        pathPrefix: prefix,
        kind,
        timeoutS: 1.2,
        targetLatencyS: 0.6,
        priority: 1,
        service,
        maxAttempts: 2,
      },
    });
  }
  for (const name of services) {
    resources.push({
      type: 'services',
      metadata: { name },
      spec: { healthPath: '/healthz', maxConnections: 110, protocol: 'h1', tls: false },
    });
  }
  resources.push({
    type: 'limits',
    metadata: {},
    spec: { maxHeaderBytes: 16384, maxBodyBytes: 67108864, headerTimeoutS: 3, idleTimeoutS: 15 },
  });
  return { version: `r${version}`, baseVersion: base === 0 ? 0 : `r${base}`, resources };
}
