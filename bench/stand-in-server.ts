/**
 * A backend server for tests, run as a separate process. It announces itself to its proxy, records each
 * request that it runs in a file, and answers with the nonce of the request.
 *
 * Request headers control the behaviour: `x-work-ms` is the run time, `x-answer-bytes` is the number of
 * filler bytes in the answer, and `x-crash` exits the process during the run. `x-next` is a
 * comma-separated list of paths: before it answers, the server calls the first path through its proxy
 * and passes the rest of the list on.
 *
 * After SIGTERM it announces that it leaves, and serves for `--leave-ms` longer.
 */
import { appendFileSync } from 'node:fs';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { parseArgs } from 'node:util';
import { request } from 'undici';

/** A request that the server ran, as recorded in the file of runs, one JSON line each. */
export interface RunRecord {
  readonly service: string;
  readonly nonce: string | undefined;
  readonly key: string | undefined;
  readonly startedAt: number;
  /** The process id of the server. */
  readonly pid: number;
}

/** An acknowledged announcement that the server leaves, as recorded beside the runs, one JSON line each. */
export interface LeaveRecord {
  readonly pid: number;
  readonly acknowledgedAt: number;
}

const HEARTBEAT_MS = 3_000;
const ANNOUNCE_INTERVAL_MS = 500;
const STOP_POLL_MS = 20;
const STOP_TIMEOUT_MS = 10_000;
const CRASH_EXIT_CODE = 86;
const FORWARDED_HEADERS = ['traceparent', 'bilberryswitch-timeout-ms', 'bilberryswitch-attempt'];

const { values } = parseArgs({
  options: {
    service: { type: 'string', default: '' },
    port: { type: 'string', default: '0' },
    announce: { type: 'string', default: '' },
    calls: { type: 'string', default: '' },
    runs: { type: 'string' },
    slots: { type: 'string', default: '20' },
    connections: { type: 'string', default: '100' },
    'leave-ms': { type: 'string', default: '0' },
  },
});
const { service, announce } = values;
const port = Number(values.port);
let running = 0;
let state: 'ready' | 'leaving' = 'ready';

const server = createServer((call, response) => {
  recordRun(call);
  running += 1;
  response.once('close', () => {
    running -= 1;
  });
  if (call.headers['x-crash'] !== undefined) process.exit(CRASH_EXIT_CODE);
  call.resume();
  call.once('end', () => {
    handleCall(call, response).catch(() => {
      response.destroy();
    });
  });
});

server.listen(port, '127.0.0.1', () => {
  announceState();
  setInterval(announceState, ANNOUNCE_INTERVAL_MS);
});
process.once('SIGTERM', () => {
  state = 'leaving';
  announceState();
  const leaveMs = Number(values['leave-ms']);
  setTimeout(() => {
    stopWhenIdle(Date.now() + STOP_TIMEOUT_MS);
  }, leaveMs);
});

function recordRun(call: IncomingMessage): void {
  if (values.runs === undefined) return;
  const run: RunRecord = {
    service,
    nonce: readHeader(call, 'x-nonce'),
    key: readHeader(call, 'idempotency-key'),
    startedAt: Date.now(),
    pid: process.pid,
  };
  appendFileSync(values.runs, `${JSON.stringify(run)}\n`);
}

async function handleCall(call: IncomingMessage, response: ServerResponse): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, readNumber(call, 'x-work-ms')));
  await sendNextCall(call);
  answerCall(call, response);
}

async function sendNextCall(call: IncomingMessage): Promise<void> {
  const [next, ...rest] = (readHeader(call, 'x-next') ?? '').split(',');
  if (next === undefined || next === '') return;
  const headers: Record<string, string> = { 'x-next': rest.join(',') };
  for (const name of FORWARDED_HEADERS) {
    const value = readHeader(call, name);
    if (value !== undefined) headers[name] = value;
  }
  const answer = await request(`http://${values.calls}${next}`, { headers });
  await answer.body.dump();
  if (answer.statusCode !== 200) throw new Error(`${next} answered ${answer.statusCode}`);
}

function answerCall(call: IncomingMessage, response: ServerResponse): void {
  const nonce = readHeader(call, 'x-nonce') ?? null;
  const filling = 'x'.repeat(readNumber(call, 'x-answer-bytes'));
  const text = JSON.stringify({ service, port, path: call.url, nonce, filling });
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

function appendLeave(): void {
  if (values.runs === undefined) return;
  const leave: LeaveRecord = { pid: process.pid, acknowledgedAt: Date.now() };
  appendFileSync(`${values.runs}.left`, `${JSON.stringify(leave)}\n`);
}

function announceState(): void {
  const announced = state;
  const body = JSON.stringify({
    service,
    address: `127.0.0.1:${port}`,
    slots: Number(values.slots),
    connections: Number(values.connections),
    state,
    heartbeat_ms: HEARTBEAT_MS,
  });
  request(`http://${announce}/announce`, { method: 'POST', body })
    .then(async (answer) => {
      await answer.body.dump();
      if (announced === 'leaving' && answer.statusCode === 200) appendLeave();
    })
    .catch(() => undefined);
}

function stopWhenIdle(deadline: number): void {
  if (running === 0 || Date.now() > deadline) process.exit(0);
  setTimeout(() => {
    stopWhenIdle(deadline);
  }, STOP_POLL_MS);
}

function readHeader(call: IncomingMessage, name: string): string | undefined {
  const value = call.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function readNumber(call: IncomingMessage, name: string): number {
  return Number(readHeader(call, name) ?? '0');
}
