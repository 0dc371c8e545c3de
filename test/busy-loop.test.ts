/** Overload: calls that need twice the event loop time of a proxy. */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { findFreeAddress } from '../bench/mesh.js';
import type { Address, Instant } from '../src/ids.js';
import type { BusyProxyOptions } from './busy-node.js';
import { makeKind, makeMember, makeRoute, makeServer } from './call-resources.js';
import type { CallEnd } from './keep-alive-caller.js';
import { KeepAliveCaller } from './keep-alive-caller.js';
import { answerAfter, TestServer } from './test-server.js';

const LOOP_COST_MS = 4;
const SERVER_MS = 10;
const TARGET_MS = 400;
const TIMEOUT_MS = 750;
/** Each caller sends one call per period, independent of the outcome of the previous one. */
const PERIOD_MS = 800;
const CALLERS = 400;
const WARM_UP_PERIODS = 3;
const PERIODS = 6;
/** The number of calls that the loop could serve if it did nothing else. */
const LOOP_CAPACITY_CALLS = (PERIODS * PERIOD_MS) / LOOP_COST_MS;
/** Three standard deviations of the difference between two samples under equal treatment. */
const MAX_RANDOM_DIFFERENCE = 0.08;
const PROXY_IP = '127.0.0.1';
const OTHER_IP = '127.0.0.2';

/** The properties by which calls are compared. */
interface Group {
  readonly worth: 1 | 4;
  /** Whether the caller is on the host of the proxy, like a backend server that makes calls during its runs. */
  readonly isFromProxyHost: boolean;
}

interface Caller extends Group {
  readonly connection: KeepAliveCaller;
}

interface EndedCall extends Group, CallEnd {}

const calls: EndedCall[] = [];

test.before(async () => {
  const server = new TestServer(answerAfter(SERVER_MS));
  const proxy = (await findFreeAddress()) as Address;
  const child = fork(join(import.meta.dirname, 'busy-node.js'), [
    JSON.stringify(buildOptions(proxy, await server.listen())),
  ]);
  await once(child, 'message');
  const callers = await openCallers(proxy);
  const warmUpCallers = callers.filter((_, index) => index % 4 === 0);
  await runPeriods(warmUpCallers, WARM_UP_PERIODS);
  calls.push(...(await runPeriods(callers, PERIODS)));
  for (const { connection } of callers) connection.close();
  server.kill();
  child.disconnect();
  await once(child, 'exit');
});

test('busy loop: what is not served is refused at once', (t) => {
  const unserved = calls.filter(({ kind }) => kind !== 'answered');
  const late = unserved.filter(
    ({ kind, milliseconds }) => kind !== 'refused' || milliseconds > TARGET_MS / 4,
  );
  t.is(late.length, 0, `${late.length} of ${unserved.length} calls without an answer`);
});

test('busy loop: goodput holds', (t) => {
  const served = calls.filter(isInTime).length;
  t.true(
    served >= LOOP_CAPACITY_CALLS / 2,
    `${served} in time, of ${LOOP_CAPACITY_CALLS} that the loop can serve`,
  );
});

test('busy loop: calls of higher worth get no smaller share', (t) => {
  const [highWorth, lowWorth] = [4, 1].map((worth) => measureShare((call) => call.worth === worth));
  t.true(
    Number(highWorth) >= Number(lowWorth) - MAX_RANDOM_DIFFERENCE,
    `worth 4: ${highWorth}, worth 1: ${lowWorth}`,
  );
});

test('busy loop: calls from the proxy host get no smaller share', (t) => {
  const [fromProxyHost, others] = [true, false].map((is) =>
    measureShare((call) => call.isFromProxyHost === is),
  );
  t.true(
    Number(fromProxyHost) >= Number(others) - MAX_RANDOM_DIFFERENCE,
    `from the proxy host: ${fromProxyHost}, others: ${others}`,
  );
});

// Internals.

function buildOptions(proxy: Address, server: Address): BusyProxyOptions {
  const announcement = makeServer(server, { slots: 100, heartbeatDeadline: 1e15 as Instant });
  const times = { targetLatencyMs: TARGET_MS, timeoutMs: TIMEOUT_MS };
  return {
    costMs: LOOP_COST_MS,
    self: makeMember('host-0', [announcement], { calls: proxy }),
    resources: [
      { kind: 'service', name: announcement.service },
      ...[1, 4].flatMap((worth) => [
        makeKind(`worth-${worth}`, { ...times, worth }),
        makeRoute(`/${worth}`, `worth-${worth}`),
      ]),
    ],
  };
}

/** Opens all callers; a fifth of them is on the host of the proxy. */
async function openCallers(proxy: Address): Promise<Caller[]> {
  const callers: Caller[] = [];
  for (let index = 0; index < CALLERS; index += 1) {
    const worth = index % 2 === 0 ? 1 : 4;
    const isFromProxyHost = index % 5 === 0;
    const from = isFromProxyHost ? PROXY_IP : OTHER_IP;
    const options = { proxy, from, path: `/${worth}`, patienceMs: TIMEOUT_MS };
    const connection = new KeepAliveCaller(options);
    await connection.waitOpen();
    callers.push({ worth, isFromProxyHost, connection });
  }
  return callers;
}

/** Sends the calls of all periods; the callers start at even distances within a period. */
async function runPeriods(callers: readonly Caller[], periods: number): Promise<EndedCall[]> {
  const startAt = performance.now();
  const runs = callers.map(async ({ worth, isFromProxyHost, connection }, index) => {
    const ended: EndedCall[] = [];
    for (let period = 0; period < periods; period += 1) {
      const at = startAt + (period + index / callers.length) * PERIOD_MS;
      await sleep(Math.max(0, at - performance.now()));
      ended.push({ worth, isFromProxyHost, ...(await connection.call()) });
    }
    return ended;
  });
  return (await Promise.all(runs)).flat();
}

function isInTime({ kind, milliseconds }: CallEnd): boolean {
  return kind === 'answered' && milliseconds <= TARGET_MS;
}

function measureShare(isInGroup: (group: Group) => boolean): number {
  const groupCalls = calls.filter(isInGroup);
  return groupCalls.filter(isInTime).length / groupCalls.length;
}
