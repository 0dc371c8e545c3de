/** Load on the event loop of a proxy from keep-alive connections, together with new connections. */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import type { OutgoingHttpHeaders } from 'node:http';
import { Agent, get } from 'node:http';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import type { Address } from '../src/ids.js';
import type { SlowProxyAddresses, SlowProxyPlan } from './slow-proxy.js';

const KEEP_ALIVE_CONNECTIONS = 60;
const KEEP_ALIVE_CALLS_PER_SECOND = 300;
const NEW_CONNECTIONS_PER_SECOND = 140;
/** Busy time per call; both rates together exceed the capacity of the event loop by a third. */
export const HEAD_MS = 3;
const TIME_LIMIT_MS = 1_000;
const KEEP_ALIVE_TIME_LIMIT_MS = 30_000;
const RUN_SECONDS = 6;
/** Within this time, a ready proxy must answer at least one new connection. */
export const MAX_UNANSWERED_SECONDS = 3;
const MIN_ANSWERED_SHARE = 0.5;
const PACE_INTERVAL_MS = 2;

/** The counts of connections opened within one second and of those answered. */
interface Second {
  opened: number;
  answered: number;
}

/** Starts a proxy in a child process, which ends with the test. */
export async function startProxy(t: ExecutionContext, plan: SlowProxyPlan) {
  const child = fork(join(import.meta.dirname, 'slow-proxy.js'), [JSON.stringify(plan)]);
  t.teardown(() => {
    child.disconnect();
  });
  const [addresses] = (await once(child, 'message')) as [SlowProxyAddresses];
  return { child, ...addresses };
}

/** Makes a call; returns whether a complete answer of any status arrived in time. */
async function isAnswered(
  address: Address,
  agent: Agent,
  patienceMs: number,
  headers: OutgoingHttpHeaders = {},
): Promise<boolean> {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const request = get(`http://${address}/shop`, { agent, headers }, (response) => {
      response.resume();
      response.on('close', () => {
        resolve(response.complete && performance.now() - startedAt <= patienceMs);
      });
    });
    const timer = setTimeout(() => request.destroy(), patienceMs);
    request.on('error', () => {
      resolve(false);
    });
    request.on('close', () => {
      clearTimeout(timer);
    });
  });
}

/** Makes a call on a new connection; returns whether a complete answer arrived in time. */
export async function isNewConnectionAnswered(
  address: Address,
  patienceMs = TIME_LIMIT_MS,
  headers?: OutgoingHttpHeaders,
): Promise<boolean> {
  const agent = new Agent({ keepAlive: true });
  const answered = await isAnswered(address, agent, patienceMs, headers);
  agent.destroy();
  return answered;
}

/** Calls `action` at a constant rate; the returned function stops it. */
function startPace(perSecond: number, action: (elapsedMs: number) => void): () => void {
  const startedAt = performance.now();
  let count = 0;
  const timer = setInterval(() => {
    const elapsedMs = performance.now() - startedAt;
    for (; count < (elapsedMs * perSecond) / 1_000; count += 1) action(elapsedMs);
  }, PACE_INTERVAL_MS);
  return () => {
    clearInterval(timer);
  };
}

/** Makes calls on keep-alive connections at a constant rate while one of them is idle, until the test ends. */
export async function startKeepAliveLoad(t: ExecutionContext, address: Address): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: KEEP_ALIVE_CONNECTIONS });
  let open = 0;
  const call = async (): Promise<void> => {
    open += 1;
    await isAnswered(address, agent, KEEP_ALIVE_TIME_LIMIT_MS);
    open -= 1;
  };
  await Promise.all(Array.from({ length: KEEP_ALIVE_CONNECTIONS }, call));
  const stop = startPace(KEEP_ALIVE_CALLS_PER_SECOND, () => {
    if (open < KEEP_ALIVE_CONNECTIONS) void call();
  });
  t.teardown(() => {
    stop();
    agent.destroy();
  });
}

/** Opens connections with one call each; returns the counts by the second in which they were opened. */
export async function runNewConnections(
  address: Address,
  headers?: OutgoingHttpHeaders,
): Promise<readonly Second[]> {
  const seconds = Array.from({ length: RUN_SECONDS }, (): Second => ({ opened: 0, answered: 0 }));
  const ends: Promise<void>[] = [];
  const stop = startPace(NEW_CONNECTIONS_PER_SECOND, (elapsedMs) => {
    const second = seconds[Math.floor(elapsedMs / 1_000)];
    if (second === undefined) return;
    second.opened += 1;
    const end = isNewConnectionAnswered(address, TIME_LIMIT_MS, headers).then((answered) => {
      if (answered) second.answered += 1;
    });
    ends.push(end);
  });
  await wait(RUN_SECONDS * 1_000);
  stop();
  await Promise.all(ends);
  return seconds;
}

/** Checks that each span has an answer, and that from the second second on at least half are answered. */
export function checkAnswered(t: ExecutionContext, seconds: readonly Second[]): void {
  const text = seconds.map(({ opened, answered }) => `${answered}/${opened}`).join(' ');
  for (let from = 0; from + MAX_UNANSWERED_SECONDS <= RUN_SECONDS; from += 1) {
    const span = seconds.slice(from, from + MAX_UNANSWERED_SECONDS);
    t.true(
      span.some(({ answered }) => answered > 0),
      `from second ${from} on no connection is answered: ${text}`,
    );
  }
  for (const [index, { opened, answered }] of seconds.entries()) {
    if (index === 0) continue;
    t.true(answered >= MIN_ANSWERED_SHARE * opened, `too few answers in second ${index}: ${text}`);
  }
}

const wait = (milliseconds: number) => new Promise((resolve) => setTimeout(resolve, milliseconds));
