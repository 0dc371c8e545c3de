/** The demonstration of `npm start`: runs a mesh with the layout of Napernyő on loopback. */
import { readFileSync } from 'node:fs';
import { build } from 'hdr-histogram-js';
import { request } from 'undici';
import type { OperatorClient, SourceRequest } from '../src/program/commands/operator-client.js';
import { stopProcess, waitFor } from './mesh.js';
import { buildExtraRouteNote, buildKindsNote, NAPERNYO_KINDS } from './mesh-notes.js';
import type { ProxyHost } from './mesh-plan.js';
import { NAPERNYO_PLAN, RunningMesh } from './mesh-plan.js';

const CALLS = 600;
const CALLERS = 6;
const EXTRA_NOTES = 10;
const WAIT_MS = 10_000;
const MICROS_PER_MILLI = 1_000;

const running = await RunningMesh.start(NAPERNYO_PLAN);
try {
  await runDemo();
} finally {
  await running.stop();
}
printLine('every process has stopped');

async function runDemo(): Promise<void> {
  const { sources, proxies } = running;
  printLine(`${sources.length} sources and ${proxies.length} proxies run in three data centres`);
  const first = await measureNote(buildKindsNote(1, 'old', NAPERNYO_KINDS), 1);
  printLine(`note 1 is in force on every proxy ${first} ms after it was submitted`);
  await waitForServices();
  await measureCalls();
  await measureDeposit();
  await measureNotes();
  await measureDrain();
  await printStatus();
}

/** Submits a note; returns the milliseconds until it is in force on every proxy. */
async function measureNote(body: string, number: number): Promise<number> {
  const client = running.createClient();
  const startedAt = performance.now();
  await sendOrFail(client, { method: 'POST', path: '/notes', body });
  await sendOrFail(client, { method: 'GET', path: `/notes/${number}/wait`, waitMs: WAIT_MS });
  return Math.round(performance.now() - startedAt);
}

async function sendOrFail(client: OperatorClient, sent: SourceRequest): Promise<void> {
  const reply = await client.send(sent);
  if (reply.kind === 'answered' && reply.status === 200) return;
  throw new Error(`${sent.method} ${sent.path}: ${JSON.stringify(reply)}`);
}

async function runCommandOrFail(args: readonly string[]): Promise<string> {
  const { code, out, err } = await running.mesh.runCommand(args);
  if (code !== 0) throw new Error(`${args.slice(0, 2).join(' ')} ended with ${code}: ${err}`);
  return out;
}

async function waitForServices(): Promise<void> {
  for (const { service } of NAPERNYO_KINDS.filter((kind) => !kind.claim)) {
    for (const proxy of running.proxies) {
      await waitFor(`${service} through ${proxy.name}`, async () => {
        const { status } = await call(proxy, `/${service}`);
        return status === 200 || undefined;
      });
    }
  }
}

async function measureCalls(): Promise<void> {
  const latency = createHistogram();
  let wrongAnswers = 0;
  const runCaller = async (caller: number): Promise<void> => {
    for (let index = caller; index < CALLS; index += CALLERS) {
      const proxy = running.proxies[index % running.proxies.length];
      if (proxy === undefined) continue;
      const startedAt = performance.now();
      const answer = await call(proxy, '/catalogue', { 'x-nonce': `nonce-${index}` });
      latency.recordValue((performance.now() - startedAt) * MICROS_PER_MILLI);
      if (answer.nonce !== `nonce-${index}`) wrongAnswers += 1;
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, (_, caller) => runCaller(caller)));
  const [p50, p99] = [50, 99].map((share) => formatMillis(latency.getValueAtPercentile(share)));
  printLine(
    `${CALLS} calls through every proxy, ${wrongAnswers} wrong answers, p50 ${p50}, p99 ${p99}`,
  );
}

async function measureDeposit(): Promise<void> {
  const [one, other] = running.proxies;
  if (one === undefined || other === undefined) return;
  const key = 'deposit-7';
  for (const [proxy, nonce] of [
    [one, 'sent'],
    [other, 'resent'],
  ] as const) {
    await waitFor('the deposit to be answered', async () => {
      const headers = { 'idempotency-key': key, 'bilberryswitch-caller': 'fitter-3' };
      const { status } = await call(proxy, '/orders', { ...headers, 'x-nonce': nonce }, 'POST');
      return status === 200 || undefined;
    });
  }
  const runs = readFileSync(running.mesh.runsFile, 'utf8').split('\n');
  const count = runs.filter((line) => line.includes(key)).length;
  printLine(`a deposit sent twice, through two proxies, ran ${count} time`);
}

async function measureNotes(): Promise<void> {
  const times: number[] = [];
  for (let number = 2; number < EXTRA_NOTES + 2; number += 1) {
    times.push(await measureNote(buildExtraRouteNote(number), number));
  }
  times.sort((left, right) => left - right);
  const median = times[Math.floor(times.length / 2)] ?? 0;
  printLine(
    `${EXTRA_NOTES} more notes, in force after ${median} ms (median), ${times.at(-1)} ms (last)`,
  );
}

async function measureDrain(): Promise<void> {
  const leaving = running.proxies.find(({ service }) => service === 'catalogue');
  const entry = running.proxies.find((proxy) => proxy !== leaving);
  if (leaving === undefined || entry === undefined) return;
  const calls = Array.from({ length: 100 }, (_, index) =>
    call(entry, '/catalogue', { 'x-work-ms': `${(index % 10) * 20}` }),
  );
  await Promise.all([stopProcess(leaving.server), stopProcess(leaving.process)]);
  const statuses = await Promise.all(calls);
  const failedCalls = statuses.filter(({ status }) => status !== 200).length;
  printLine(`${leaving.name} was stopped under 100 calls; ${failedCalls} of them failed`);
}

async function printStatus(): Promise<void> {
  const [source] = running.sources;
  if (source === undefined) return;
  const out = await runCommandOrFail(['status', '--address', source.status]);
  process.stdout.write(`\n${out}\n`);
}

async function call(
  proxy: ProxyHost,
  path: string,
  headers: Record<string, string> = {},
  method: 'GET' | 'POST' = 'GET',
): Promise<{ status: number; nonce: string | null }> {
  const answer = await request(`http://${proxy.calls}${path}`, { method, headers });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) return { status: answer.statusCode, nonce: null };
  return { status: 200, nonce: (JSON.parse(text) as { nonce: string | null }).nonce };
}

function createHistogram() {
  return build({ bitBucketSize: 32, autoResize: true, numberOfSignificantValueDigits: 2 });
}

function formatMillis(micros: number): string {
  return `${(micros / MICROS_PER_MILLI).toFixed(1)} ms`;
}

function printLine(line: string): void {
  process.stdout.write(`• ${line}\n`);
}
