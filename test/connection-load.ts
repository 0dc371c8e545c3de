/** Kept connections that fill the event loop of a proxy, and new connections beside them. */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import type { OutgoingHttpHeaders } from 'node:http';
import { Agent, get } from 'node:http';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import type { Address } from '../src/ids.js';
import type { SlowProxyAddresses, SlowProxyPlan } from './slow-proxy.js';

const KEPT_CONNECTIONS = 60;
const KEPT_PER_SECOND = 300;
const NEW_PER_SECOND = 140;
/** With both rates, a third more than the loop of the proxy bears. */
export const HEAD_MS = 3;
const PATIENCE_MS = 1_000;
const KEPT_PATIENCE_MS = 30_000;
const SECONDS = 6;
/** Within this time a proxy that says that it is ready must take some new connection. */
export const CONTACT_SECONDS = 3;
const LEAST_ANSWERED = 0.5;
const PACE_MS = 2;

/** What came of the new callers that began within one second. */
interface Second {
  opened: number;
  answered: number;
}

/** Starts a proxy in a process of its own, until the test has ended. */
export async function startProxy(t: ExecutionContext, plan: SlowProxyPlan) {
  const child = fork(join(import.meta.dirname, 'slow-proxy.js'), [JSON.stringify(plan)]);
  t.teardown(() => {
    child.disconnect();
  });
  const [addresses] = (await once(child, 'message')) as [SlowProxyAddresses];
  return { child, ...addresses };
}

/** Tells whether a whole answer came in time, whatever its status. */
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

/** Opens a connection for one call, and tells whether a whole answer came in time. */
export async function isNewAnswered(
  address: Address,
  patienceMs = PATIENCE_MS,
  headers?: OutgoingHttpHeaders,
): Promise<boolean> {
  const agent = new Agent({ keepAlive: true });
  const answered = await isAnswered(address, agent, patienceMs, headers);
  agent.destroy();
  return answered;
}

/** Calls `action` at a steady rate until the function that it returns is called. */
function startPace(perSecond: number, action: (elapsedMs: number) => void): () => void {
  const startedAt = performance.now();
  let count = 0;
  const timer = setInterval(() => {
    const elapsedMs = performance.now() - startedAt;
    for (; count < (elapsedMs * perSecond) / 1_000; count += 1) action(elapsedMs);
  }, PACE_MS);
  return () => {
    clearInterval(timer);
  };
}

/** Calls on kept connections, as long as one of them is free. */
export async function startKept(t: ExecutionContext, address: Address): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: KEPT_CONNECTIONS });
  let open = 0;
  const call = async (): Promise<void> => {
    open += 1;
    await isAnswered(address, agent, KEPT_PATIENCE_MS);
    open -= 1;
  };
  await Promise.all(Array.from({ length: KEPT_CONNECTIONS }, call));
  const stop = startPace(KEPT_PER_SECOND, () => {
    if (open < KEPT_CONNECTIONS) void call();
  });
  t.teardown(() => {
    stop();
    agent.destroy();
  });
}

/** Opens connections with one call each, and counts the answers by the second in which they were opened. */
export async function runNew(
  address: Address,
  headers?: OutgoingHttpHeaders,
): Promise<readonly Second[]> {
  const seconds = Array.from({ length: SECONDS }, (): Second => ({ opened: 0, answered: 0 }));
  const ends: Promise<void>[] = [];
  const stop = startPace(NEW_PER_SECOND, (elapsedMs) => {
    const second = seconds[Math.floor(elapsedMs / 1_000)];
    if (second === undefined) return;
    second.opened += 1;
    const end = isNewAnswered(address, PATIENCE_MS, headers).then((answered) => {
      if (answered) second.answered += 1;
    });
    ends.push(end);
  });
  await wait(SECONDS * 1_000);
  stop();
  await Promise.all(ends);
  return seconds;
}

/** Checks that somebody is answered in each span, and at least half from the second one on. */
export function checkAnswered(t: ExecutionContext, seconds: readonly Second[]): void {
  const text = seconds.map(({ opened, answered }) => `${answered}/${opened}`).join(' ');
  for (let from = 0; from + CONTACT_SECONDS <= SECONDS; from += 1) {
    const span = seconds.slice(from, from + CONTACT_SECONDS);
    t.true(
      span.some(({ answered }) => answered > 0),
      `from second ${from} on nobody is answered: ${text}`,
    );
  }
  for (const [index, { opened, answered }] of seconds.entries()) {
    if (index === 0) continue;
    t.true(answered >= LEAST_ANSWERED * opened, `too few answers in second ${index}: ${text}`);
  }
}

const wait = (milliseconds: number) => new Promise((resolve) => setTimeout(resolve, milliseconds));
