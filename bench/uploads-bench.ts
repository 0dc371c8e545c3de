/**
 * Uploads and small calls toward one host with a link of 4.2 Mbit/s: `npm run bench -- uploads [SECONDS]`.
 *
 * Three entry proxies, the guard and its backend server share one process; a relay is the link. For each load (bytes
 * of uploads by those that the link carries), a line without and a line with `large_bodies` of the request kind tells
 * the shares in time: uploads within 1,500 ms, small calls within 173 ms.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { Agent, request } from 'undici';
import { SystemClock } from '../src/clock.js';
import { CallTask } from '../src/edge/index.js';
import type { Address, Instant, RequestKindName, ServiceName } from '../src/ids.js';
import { splitAddress } from '../src/ids.js';
import type { Announcement, Member, Resource } from '../src/messages/index.js';
import { EMPTY_CONFIGURATION, ResourceMap } from '../src/notes/index.js';
import { SeededRandom } from '../src/random.js';
import { makeMember } from './call-fleet.js';
import { findFreeAddress } from './mesh.js';
import { NarrowRelay } from './narrow-relay.js';

const LOADS = [0.9, 1.1, 1.5];
const LINK_BYTES_PER_SECOND = 525_000;
const MEAN_BODY_BYTES = 60_000;
const MIN_BODY_BYTES = 1_000;
const MAX_BODY_BYTES = 400_000;
const SMALL_PER_SECOND = 20;
const SMALL_MS = 173;
const TIMEOUT_MS = 1_500;
const UPLOAD_RUN_MS = 133;
const SMALL_RUN_MS = 31;
const SERVICE = 'tiles' as ServiceName;
const NEVER_EXPIRES = 1e15 as Instant;

interface CallResult {
  readonly isServed: boolean;
  readonly isNotRun: boolean;
  readonly milliseconds: number;
}

const seconds = Number(process.argv[2] ?? 12);
const random = new SeededRandom(1);
const agent = new Agent({ connections: 512 });
const backend = await startBackend();
for (const load of LOADS) {
  for (const largeBodies of [false, true]) await measure(load, largeBodies);
}
process.exit(0);

async function measure(load: number, largeBodies: boolean): Promise<void> {
  const guard = await makeMember('guard', [buildServer(backend)]);
  const relay = new NarrowRelay(guard.calls, LINK_BYTES_PER_SECOND);
  const behindLink = { ...guard, calls: await relay.start() };
  const entries = await Promise.all(['a', 'b', 'c'].map((name) => makeMember(name, [])));
  const tasks = await Promise.all([
    startProxy(guard, guard, largeBodies),
    ...entries.map((self) => startProxy(self, behindLink, largeBodies)),
  ]);
  const pickEntry = (): Address => random.pick(entries).calls;
  const uploadsPerSecond = (load * LINK_BYTES_PER_SECOND) / MEAN_BODY_BYTES;
  const [uploads, small] = await Promise.all([
    runCalls(uploadsPerSecond, () => sendCall(pickEntry(), '/upload', pickBody())),
    runCalls(SMALL_PER_SECOND, () => sendCall(pickEntry(), '/small')),
  ]);
  report(`load ${load} ${largeBodies ? 'permitted' : 'as before'}`, uploads, small);
  await Promise.all(tasks.map((task) => task.stop()));
  relay.stop();
}

function report(name: string, uploads: readonly CallResult[], small: readonly CallResult[]): void {
  const served = small.filter(({ isServed }) => isServed);
  const times = served.map(({ milliseconds }) => milliseconds).sort((one, other) => one - other);
  const timely = times.filter((milliseconds) => milliseconds <= SMALL_MS).length / small.length;
  const uploaded = uploads.filter(({ isServed }) => isServed).length / uploads.length;
  const notRun = uploads.filter(({ isNotRun }) => isNotRun).length / uploads.length;
  const [p50, p90] = [0.5, 0.9].map((share) => times[Math.floor(times.length * share)] ?? 0);
  console.log(
    `${name}: uploads served ${uploaded.toFixed(3)}, refused as not run ${notRun.toFixed(3)}; ` +
      `small calls in time ${timely.toFixed(3)}, p50 ${p50?.toFixed(0)} ms, p90 ${p90?.toFixed(0)} ms`,
  );
}

/** Makes calls at random instants, and waits for all of them. */
async function runCalls(perSecond: number, send: () => Promise<CallResult>): Promise<CallResult[]> {
  const calls: Promise<CallResult>[] = [];
  const endsAt = performance.now() + seconds * 1_000;
  while (performance.now() < endsAt) {
    const pauseMs = (-Math.log(1 - random.next()) * 1_000) / perSecond;
    await new Promise((resolve) => setTimeout(resolve, pauseMs));
    calls.push(send());
  }
  return Promise.all(calls);
}

function pickBody(): Buffer {
  const bytes = -Math.log(1 - random.next()) * MEAN_BODY_BYTES;
  return Buffer.alloc(Math.min(MAX_BODY_BYTES, Math.max(MIN_BODY_BYTES, Math.round(bytes))));
}

async function sendCall(entry: Address, path: string, body?: Buffer): Promise<CallResult> {
  const startedAt = performance.now();
  const method = body === undefined ? 'GET' : 'POST';
  try {
    const answer = await request(`http://${entry}${path}`, {
      method,
      dispatcher: agent,
      ...(body === undefined ? {} : { body }),
    });
    await answer.body.dump();
    const milliseconds = performance.now() - startedAt;
    const isNotRun = answer.headers['bilberryswitch-outcome'] === 'not-run';
    return { isServed: answer.statusCode === 200, isNotRun, milliseconds };
  } catch {
    return { isServed: false, isNotRun: false, milliseconds: performance.now() - startedAt };
  }
}

async function startProxy(self: Member, guard: Member, largeBodies: boolean): Promise<CallTask> {
  const task = new CallTask({
    address: self.calls,
    place: self,
    pass: self.pass,
    clock: new SystemClock(),
    random: new SeededRandom(1),
    reportFailure: (name, error) => {
      throw new Error(`${name} failed`, { cause: error });
    },
    send: () => {
      // The outputs of the task have no consumer in a benchmark.
    },
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  });
  await task.start();
  const resources = ResourceMap.create(buildResources(largeBodies));
  task.post({ kind: 'whole', configuration: { ...EMPTY_CONFIGURATION, resources } });
  task.post({ kind: 'member-up', member: guard });
  return task;
}

function buildResources(largeBodies: boolean): Resource[] {
  const flags = { claim: false, hedge: false, worth: 1, timeoutMs: TIMEOUT_MS };
  const kinds: Resource[] = [
    {
      kind: 'request-kind',
      name: 'upload' as RequestKindName,
      idempotent: false,
      largeBodies,
      ...flags,
    },
    { kind: 'request-kind', name: 'small' as RequestKindName, idempotent: true, ...flags },
  ];
  const routes = ['upload', 'small'].map((name): Resource => {
    const requestKind = name as RequestKindName;
    const match = { generation: 'a' as never, pathPrefix: `/${name}`, method: '*' };
    return { kind: 'route', name, service: SERVICE, requestKind, ...match };
  });
  return [{ kind: 'service', name: SERVICE }, ...kinds, ...routes];
}

function buildServer(address: Address): Announcement {
  const limits = { slots: 4, connections: 100, warmAt: 0 as Instant };
  return { service: SERVICE, address, ...limits, state: 'ready', heartbeatDeadline: NEVER_EXPIRES };
}

/** Starts a backend server that runs a call once its body is complete. */
async function startBackend(): Promise<Address> {
  const address = (await findFreeAddress()) as Address;
  const { host, port } = splitAddress(address);
  const answer = (incoming: IncomingMessage, response: ServerResponse): void => {
    incoming.resume();
    incoming.on('end', () => {
      setTimeout(
        () => response.end('ok'),
        incoming.url === '/small' ? SMALL_RUN_MS : UPLOAD_RUN_MS,
      );
    });
  };
  const server = createServer(answer);
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
  return address;
}
