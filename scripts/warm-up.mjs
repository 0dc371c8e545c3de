// Runs the built program for a moment, so that the code cache holds what starts, joins and serves calls.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';

const HOST = 'shop.example';
const SERVICE = 'shop';
const ROUTES = 100;
const CALLS = 150;
const TIMEOUT_MS = 30_000;
const RETRY_MS = 100;
/** The time for a stopped process to end and write the cache. */
const STOP_MS = 10_000;

/**
 * Starts a source with a proxy, and a second proxy; the first process writes the code cache when it ends.
 * `folder` is used for settings and data and is removed. Throws an error if no call is served in time.
 */
export async function warmUp(start, folder, variables) {
  mkdirSync(folder, { recursive: true });
  const server = createServer(answerCall).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const processes = [];
  try {
    const addresses = await listAddresses(12);
    const first = buildNode('first', addresses.slice(0, 6), addresses[0]);
    const second = buildNode('second', addresses.slice(6, 12), addresses[0]);
    const source = buildSource(addresses[0], await findAddress(), folder);
    processes.push(startNode(start, folder, { ...first, ...source }, variables));
    processes.push(startNode(start, folder, second, {}));
    await runCalls([first, second], source.operator, server.address().port);
  } finally {
    await Promise.all(processes.map(stopNode));
    server.close();
    server.closeAllConnections();
    rmSync(folder, { recursive: true, force: true });
  }
}

async function runCalls(nodes, operator, port) {
  const deadline = Date.now() + TIMEOUT_MS;
  await repeatUntil(deadline, () => sendConfiguration(operator));
  const announce = () => Promise.all(nodes.map((node) => sendHeartbeat(node, port)));
  await repeatUntil(deadline, async () => (await announce()).every((isTaken) => isTaken));
  for (const { calls } of nodes) await repeatUntil(deadline, () => sendCall(calls));
  for (let count = 0; count < CALLS; count += 1) {
    await Promise.all(nodes.map(({ calls }) => sendCall(calls)));
    if (count % 50 === 0) await announce();
  }
}

async function repeatUntil(deadline, attempt) {
  for (;;) {
    const isDone = await attempt().catch(() => false);
    if (isDone) return;
    if (Date.now() > deadline) throw new Error('the warm-up served no call in time');
    await wait(RETRY_MS);
  }
}

function answerCall(request, response) {
  request.resume();
  const id = request.headers['x-attempt-id'] ?? '';
  response.writeHead(200, { 'X-Attempt-Id': id, 'X-Server-Seal': 'signed' });
  response.end('x'.repeat(4_000));
}

function buildNode(host, [control, status, calls, forwards, ready, announce], seed) {
  return { host, control, status, calls, forwards, ready, announce, seed };
}

function buildSource(seed, operator, folder) {
  return { operator, seed, dataFolder: join(folder, 'data') };
}

function startNode(start, folder, node, variables) {
  const { host, operator, dataFolder } = node;
  const path = join(folder, `${host}.toml`);
  if (dataFolder !== undefined) mkdirSync(dataFolder, { recursive: true });
  writeFileSync(path, formatSettings(node, operator, dataFolder));
  const options = { stdio: 'ignore', env: { ...process.env, ...variables } };
  return spawn(process.execPath, [start, 'run', '--settings', path], options);
}

function formatSettings(node, operator, dataFolder) {
  const source = [
    '[source]',
    `operator = "${operator}"`,
    '[source.growth]',
    `seeds = ["${node.seed}"]`,
    'founds = true',
    'tolerated_losses = 0',
  ];
  return [
    `host = "${node.host}"`,
    'region = "here"',
    'data_centre = "here"',
    `roles = [${operator === undefined ? '' : '"source", '}"proxy"]`,
    `control = "${node.control}"`,
    `status = "${node.status}"`,
    ...(dataFolder === undefined ? [] : [`data_folder = "${dataFolder}"`]),
    '[proxy]',
    `calls = "${node.calls}"`,
    `forwards = "${node.forwards}"`,
    `ready = "${node.ready}"`,
    `announce = "${node.announce}"`,
    `service = "${SERVICE}"`,
    `seeds = ["${node.seed}"]`,
    'linger_ms = 100',
    'stop_within_seconds = 2',
    'link_mbit_per_second = 1000',
    ...(operator === undefined ? [] : source),
    '',
  ].join('\n');
}

async function sendConfiguration(operator) {
  const spec = {
    host: HOST,
    kind: 'safe',
    timeoutS: 2,
    targetLatencyS: 1,
    priority: 1,
    service: SERVICE,
    maxAttempts: 2,
  };
  const routes = Array.from({ length: ROUTES }, (_, index) => ({
    type: 'routes',
    metadata: { name: `route-${index}` },
    spec: { ...spec, pathPrefix: `/path${index}/` },
  }));
  const service = { healthPath: '/healthz', maxConnections: 100, protocol: 'h1', tls: false };
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_048_576,
    headerTimeoutS: 3,
    idleTimeoutS: 15,
  };
  const resources = [
    ...routes,
    { type: 'services', metadata: { name: SERVICE }, spec: service },
    { type: 'limits', metadata: {}, spec: limits },
  ];
  const body = { version: 'r1', baseVersion: 'r0', resources };
  return send(`http://${operator}/config/replace`, body);
}

async function sendHeartbeat({ host, announce }, port) {
  return send(`http://${announce}/instances/${host}/heartbeat`, {
    service: SERVICE,
    address: `127.0.0.1:${port}`,
    zone: 'here',
    version: 'v1',
    slots: 8,
    state: 'ready',
    coldRemainingS: 0,
    sequence: Date.now(),
    born: 1,
  });
}

async function send(url, body) {
  const headers = { 'content-type': 'application/json' };
  const answer = await fetch(url, { method: 'POST', headers, body: JSON.stringify(body) });
  await answer.arrayBuffer();
  return answer.ok;
}

let attempts = 0;

async function sendCall(calls) {
  attempts += 1;
  const [hostname, port] = calls.split(':');
  const headers = { host: HOST, 'x-attempt-id': `warm-${attempts}`, 'x-deadline-ms': '2000' };
  const sent = request({ hostname, port, path: `/path1/${attempts}`, headers }).end();
  const [answer] = await once(sent, 'response');
  answer.resume();
  await once(answer, 'end');
  return answer.statusCode === 200;
}

async function stopNode(child) {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const ended = once(child, 'exit');
  child.kill('SIGTERM');
  const timer = setTimeout(() => child.kill('SIGKILL'), STOP_MS);
  await ended;
  clearTimeout(timer);
}

function listAddresses(count) {
  return Promise.all(Array.from({ length: count }, findAddress));
}

async function findAddress() {
  const server = createTcpServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address();
  server.close();
  return `127.0.0.1:${port}`;
}
