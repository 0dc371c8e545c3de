/**
 * Measures the processor time of the deployed program by phase of a process's life:
 * `npm run bench -- fleet-cost [PROXIES] [ROUTES] [CALLS] [PROFILE_FOLDER]`.
 *
 * Starts `target/start.cjs` as deploy/system.toml does: three sources, and proxies that share one backend
 * server in this process. Phases: start and join, the first configuration, a series of changes of one route,
 * idle seconds, then rounds of calls through two proxies each. With a folder, one source and one proxy write
 * CPU profiles there.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { parse } from 'smol-toml';
import { request } from 'undici';
import { findFreeAddress, findFreePort, waitFor } from './mesh.js';

const ROOT = join(import.meta.dirname, '..', '..');
const SOURCES = 3;
const HOST = 'shop.example';
const SERVICE = 'shop';
const START_MS = 10_000;
const IDLE_MS = 10_000;
const START_TIMEOUT_MS = 60_000;
/** Linux reports processor time in hundredths of a second. */
const TICKS_PER_SECOND = 100;
const KB_PER_MB = 1_024;
const MS_PER_SECOND = 1_000;
const CALL_GAP_MS = 5;
const CHANGES = 30;
const CHANGE_GAP_MS = 170;
const CALL_ROUNDS = 4;
const HEARTBEAT_MS = 1_500;

/** A started process and its addresses. */
interface CostProcess {
  readonly role: 'proxy' | 'source';
  readonly child: ChildProcess;
  readonly addresses: Readonly<Record<string, string>>;
  /** Address for calls (proxy) or operators (source). */
  readonly entry: string;
}

/** A sum over the processes of one role. */
interface Usage {
  readonly seconds: number;
  readonly anonymousMb: number;
}

const [proxies = 12, routes = 2_400, calls = 200] = process.argv.slice(2, 5).map(Number);
const profileFolder = process.argv[5];
const folder = mkdtempSync(join(tmpdir(), 'fleet-cost-'));
const flags = readFlags();
const processes: CostProcess[] = [];
let previousUsage = new Map<string, Usage>();
let sequence = 0;
let attempts = 0;
let failures = 0;
const server = createServer((incoming, response) => {
  incoming.resume();
  response.writeHead(200, {
    'X-Attempt-Id': incoming.headers['x-attempt-id'] ?? '',
    'X-Server-Seal': 'signed',
  });
  response.end('x'.repeat(4_000));
});
const serverPort = await findFreePort();
server.listen(serverPort, '127.0.0.1');

try {
  await run();
} finally {
  for (const { child } of processes) child.kill('SIGTERM');
  await wait(3_000);
  for (const { child } of processes) child.kill('SIGKILL');
  server.close();
  rmSync(folder, { recursive: true, force: true });
}
process.exit(0);

async function run(): Promise<void> {
  await startAll();
  await wait(START_MS);
  report('start and join', readUsage());
  await sendConfiguration(1);
  await wait(START_MS / 2);
  report('first configuration', readUsage());
  for (let version = 2; version < CHANGES + 2; version += 1) {
    await sendConfiguration(version);
    await wait(CHANGE_GAP_MS);
  }
  await wait(START_MS / 10);
  report(`${CHANGES} changes of one route`, readUsage());
  await wait(IDLE_MS);
  report(`idle ${IDLE_MS / MS_PER_SECOND} s`, readUsage());
  const timer = setInterval(() => void announceAll(), HEARTBEAT_MS);
  await announceAll();
  await wait(IDLE_MS);
  report(`idle ${IDLE_MS / MS_PER_SECOND} s, with backend servers`, readUsage());
  for (let round = 0; round < CALL_ROUNDS; round += 1) {
    const startedAt = performance.now();
    await runCalls();
    const seconds = ((performance.now() - startedAt) / MS_PER_SECOND).toFixed(1);
    report(`${calls} calls a proxy in ${seconds} s`, readUsage());
  }
  clearInterval(timer);
}

function readFlags(): string[] {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const { roles } = parse(text) as unknown as { roles: Record<string, { run: string }> };
  const [words = []] = Object.values(roles).map(({ run: line }) => line.split(' '));
  return words.slice(1, words.indexOf('target/start.cjs'));
}

async function startAll(): Promise<void> {
  const sources = await Promise.all(Array.from({ length: SOURCES }, listAddresses));
  const seeds = sources.map(({ control }) => control).join('", "');
  for (const [index, addresses] of sources.entries()) {
    const data = join(folder, `data-${index}`);
    mkdirSync(data);
    startProcess('source', index, addresses, addresses.operator, [
      `data_folder = "${data}"`,
      '[source]',
      `operator = "${addresses.operator}"`,
      '[source.growth]',
      `seeds = ["${seeds}"]`,
      'founds = true',
      'tolerated_losses = 1',
    ]);
  }
  for (let index = 0; index < proxies; index += 1) {
    const addresses = await listAddresses();
    startProcess('proxy', index, addresses, addresses.calls, [
      '[proxy]',
      `calls = "${addresses.calls}"`,
      `forwards = "${addresses.forwards}"`,
      `ready = "${addresses.ready}"`,
      `announce = "${addresses.announce}"`,
      `service = "${SERVICE}"`,
      `seeds = ["${seeds}"]`,
      'linger_ms = 200',
      'stop_within_seconds = 2',
      'link_mbit_per_second = 1000',
      '[proxy.retries]',
      'shared = true',
      'per_call = 0.2',
      'burst = 430',
    ]);
  }
}

async function listAddresses() {
  const [control, status, operator, callsAddress, forwards, ready, announce] = await Promise.all(
    Array.from({ length: 7 }, findFreeAddress),
  );
  if (control === undefined || status === undefined || operator === undefined)
    throw new Error('no free address');
  if (callsAddress === undefined || forwards === undefined) throw new Error('no free address');
  if (ready === undefined || announce === undefined) throw new Error('no free address');
  return { control, status, operator, calls: callsAddress, forwards, ready, announce };
}

function startProcess(
  role: CostProcess['role'],
  index: number,
  addresses: CostProcess['addresses'],
  entry: string,
  lines: readonly string[],
): void {
  const path = join(folder, `${role}-${index}.toml`);
  const common = [
    `host = "${role}-${index}"`,
    'region = "hu-central"',
    `data_centre = "hu-central-${index % SOURCES}"`,
    `roles = ["${role}"]`,
    `control = "${addresses.control ?? ''}"`,
    `status = "${addresses.status ?? ''}"`,
  ];
  writeFileSync(path, [...common, ...lines, ''].join('\n'));
  const profile =
    profileFolder !== undefined && index === 0
      ? ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`, `--cpu-prof-name=${role}.cpuprofile`]
      : [];
  const args = [...flags, ...profile, 'target/start.cjs', 'run', '--settings', path];
  const child = spawn(process.execPath, args, {
    cwd: ROOT,
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  processes.push({ role, child, addresses, entry });
}

async function sendConfiguration(version: number): Promise<void> {
  const routesList = Array.from({ length: routes }, (_, index) => ({
    type: 'routes',
    metadata: { name: `r-${index}` },
    spec: {
      host: index === 0 ? HOST : `host-${index % 7}.example`,
      pathPrefix: `/path${index}/`,
      kind: 'safe',
      timeoutS: index === 1 ? 2.5 + version / MS_PER_SECOND : 2.5,
      targetLatencyS: 1.5,
      priority: 2,
      service: SERVICE,
      maxAttempts: 2,
    },
  }));
  const spec = { healthPath: '/healthz', maxConnections: 1_200, protocol: 'h1', tls: false };
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 67_108_864,
    headerTimeoutS: 3,
    idleTimeoutS: 15,
  };
  const body = JSON.stringify({
    version: `r${version}`,
    baseVersion: `r${version - 1}`,
    resources: [
      ...routesList,
      { type: 'services', metadata: { name: SERVICE }, spec },
      { type: 'limits', metadata: {}, spec: limits },
    ],
  });
  await waitFor('the configuration to be accepted', () => tryConfiguration(body), START_TIMEOUT_MS);
}

async function tryConfiguration(body: string): Promise<true | undefined> {
  for (const { role, entry } of processes) {
    if (role !== 'source') continue;
    const answer = await request(`http://${entry}/config/replace`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body,
    });
    const text = await answer.body.text();
    if (answer.statusCode === 200) return true;
    if (answer.statusCode === 400) throw new Error(text);
  }
  return undefined;
}

async function announceAll(): Promise<void> {
  sequence += 1;
  const listed = processes.filter(({ role }) => role === 'proxy');
  await Promise.all(
    listed.map(({ addresses }, index) =>
      request(`http://${addresses.announce ?? ''}/instances/i-${index}/heartbeat`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({
          service: SERVICE,
          address: `127.0.0.1:${serverPort}`,
          zone: `hu-central-${index % SOURCES}`,
          version: 'v1',
          slots: 8,
          state: 'ready',
          coldRemainingS: 0,
          sequence,
          born: 1_700_000_000_000,
        }),
      }).then(({ body }) => body.dump()),
    ),
  );
}

async function runCalls(): Promise<void> {
  const listed = processes.filter(({ role }) => role === 'proxy');
  for (let count = 0; count < calls; count += 1) {
    await Promise.all(listed.map(({ entry }) => call(entry)));
    await wait(CALL_GAP_MS);
  }
}

async function call(entry: string): Promise<void> {
  attempts += 1;
  const answer = await request(`http://${entry}/path0/${attempts}`, {
    headers: { host: HOST, 'x-attempt-id': `a-${attempts}`, 'x-deadline-ms': '4000' },
  });
  await answer.body.dump();
  if (answer.statusCode !== 200) failures += 1;
}

function readUsage(): Map<string, Usage> {
  const usage = new Map<string, Usage>();
  for (const { role, child } of processes) {
    const { seconds, anonymousMb } = readProcess(child.pid ?? 0);
    const known = usage.get(role) ?? { seconds: 0, anonymousMb: 0 };
    usage.set(role, {
      seconds: known.seconds + seconds,
      anonymousMb: known.anonymousMb + anonymousMb,
    });
  }
  return usage;
}

/** Reads processor time and anonymous memory; zero for a process that has ended. */
function readProcess(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kb = Number(/^RssAnon:\s+(\d+)/m.exec(status)?.[1] ?? 0);
  return { seconds: ticks / TICKS_PER_SECOND, anonymousMb: kb / KB_PER_MB };
}

function report(phase: string, usage: Map<string, Usage>): void {
  for (const [role, { seconds, anonymousMb }] of usage) {
    const count = processes.filter((one) => one.role === role).length;
    const spentMs = ((seconds - (previousUsage.get(role)?.seconds ?? 0)) / count) * MS_PER_SECOND;
    const memory = (anonymousMb / count).toFixed(1);
    console.log(`${phase}: ${role} ${spentMs.toFixed(0)} ms, ${memory} MB anonymous`);
  }
  if (failures > 0) console.log(`${failures} calls failed so far`);
  previousUsage = usage;
}
