/** Calls that ask for twice the time that the event loop of a proxy has. */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { findFreeAddress } from '../bench/mesh.js';
import type { Address, Instant } from '../src/ids.js';
import type { BusyPlan } from './busy-node.js';
import { makeKind, makeMember, makeRoute, makeServer } from './call-resources.js';
import type { CallEnd } from './keep-alive-caller.js';
import { KeptCaller } from './keep-alive-caller.js';
import { answerAfter, StandIn } from './test-server.js';

const COST_MS = 4;
const RUN_MS = 10;
const TARGET_MS = 400;
const PATIENCE_MS = 750;
/** Each caller sends a call once a period, whatever became of the one before. */
const PERIOD_MS = 800;
const CALLERS = 400;
const WARM_UP_PERIODS = 3;
const PERIODS = 6;
/** The calls for which the loop has the time, if it did nothing else. */
const BORNE = (PERIODS * PERIOD_MS) / COST_MS;
/** Three standard deviations of the difference between two samples that are treated alike. */
const MAX_CHANCE = 0.08;
const PROXY_IP = '127.0.0.1';
const OTHER_IP = '127.0.0.2';

/** What tells calls apart. */
interface Group {
  readonly worth: 1 | 4;
  /** Whether they come from the host of the proxy, as the calls of runs do. */
  readonly isOfRun: boolean;
}

interface Caller extends Group {
  readonly connection: KeptCaller;
}

interface EndedCall extends Group, CallEnd {}

const calls: EndedCall[] = [];

test.before(async () => {
  const server = new StandIn(answerAfter(RUN_MS));
  const proxy = (await findFreeAddress()) as Address;
  const child = fork(join(import.meta.dirname, 'busy-node.js'), [
    JSON.stringify(formPlan(proxy, await server.listen())),
  ]);
  await once(child, 'message');
  const callers = await openCallers(proxy);
  const few = callers.filter((_, index) => index % 4 === 0);
  await runPeriods(few, WARM_UP_PERIODS);
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
  t.is(late.length, 0, `${late.length} of ${unserved.length} that were not served`);
});

test('busy loop: goodput holds', (t) => {
  const served = calls.filter(isInTime).length;
  t.true(served >= BORNE / 2, `${served} in time, of ${BORNE} that the loop bears`);
});

test('busy loop: more worth is served as well', (t) => {
  const [dear, cheap] = [4, 1].map((worth) => measureShare((call) => call.worth === worth));
  t.true(Number(dear) >= Number(cheap) - MAX_CHANCE, `worth 4: ${dear}, worth 1: ${cheap}`);
});

test('busy loop: calls of runs are served as well', (t) => {
  const [ofRuns, fresh] = [true, false].map((is) => measureShare((call) => call.isOfRun === is));
  t.true(Number(ofRuns) >= Number(fresh) - MAX_CHANCE, `of runs: ${ofRuns}, fresh: ${fresh}`);
});

// Internals.

function formPlan(proxy: Address, server: Address): BusyPlan {
  const announcement = makeServer(server, { slots: 100, heartbeatDeadline: 1e15 as Instant });
  const times = { targetLatencyMs: TARGET_MS, timeoutMs: PATIENCE_MS };
  return {
    costMs: COST_MS,
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

/** A fifth of the callers stands on the host of the proxy. */
async function openCallers(proxy: Address): Promise<Caller[]> {
  const callers: Caller[] = [];
  for (let index = 0; index < CALLERS; index += 1) {
    const worth = index % 2 === 0 ? 1 : 4;
    const isOfRun = index % 5 === 0;
    const from = isOfRun ? PROXY_IP : OTHER_IP;
    const options = { proxy, from, path: `/${worth}`, patienceMs: PATIENCE_MS };
    const connection = new KeptCaller(options);
    await connection.waitOpen();
    callers.push({ worth, isOfRun, connection });
  }
  return callers;
}

/** The callers begin evenly spread over a period. */
async function runPeriods(callers: readonly Caller[], periods: number): Promise<EndedCall[]> {
  const startAt = performance.now();
  const runs = callers.map(async ({ worth, isOfRun, connection }, index) => {
    const ended: EndedCall[] = [];
    for (let period = 0; period < periods; period += 1) {
      const at = startAt + (period + index / callers.length) * PERIOD_MS;
      await sleep(Math.max(0, at - performance.now()));
      ended.push({ worth, isOfRun, ...(await connection.call()) });
    }
    return ended;
  });
  return (await Promise.all(runs)).flat();
}

function isInTime({ kind, milliseconds }: CallEnd): boolean {
  return kind === 'answered' && milliseconds <= TARGET_MS;
}

function measureShare(isMeant: (group: Group) => boolean): number {
  const meant = calls.filter(isMeant);
  return meant.filter(isInTime).length / meant.length;
}
