/**
 * Measures the processor time of calls that pass two proxies: `npm run bench -- hop [ROUNDS]`.
 *
 * Both proxies, a minimal backend server and a minimal caller share one process. Other load on the machine only adds
 * to the cost of a round, so the lowest of the later rounds is the most reliable figure. The first rounds show
 * the cost before the code is optimized, as in a process that has just started.
 */
import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { PlatformCallFront } from '../platform/platform-call-front.js';
import { SystemClock } from '../src/clock.js';
import { CallTask } from '../src/edge/index.js';
import type { Address, CallerId, Instant, RequestKindName, ServiceName } from '../src/ids.js';
import { splitAddress } from '../src/ids.js';
import type { Announcement, Member, Resource } from '../src/messages/index.js';
import { MetricsRegistry } from '../src/metrics/index.js';
import { EMPTY_CONFIGURATION, ResourceMap } from '../src/notes/index.js';
import { CallLog } from '../src/program/call-log.js';
import { CallMetrics } from '../src/program/call-metrics.js';
import { SeededRandom } from '../src/random.js';
import { makeMember } from './call-fleet.js';
import { findFreeAddress } from './mesh.js';

const CALLS_PER_ROUND = 500;
/** Number of first rounds, before the code is optimized, which are reported one by one. */
const COLD_ROUNDS = 3;
const CONNECTIONS = 4;
const HOST = 'shop.example';
const SERVICE = 'shop' as ServiceName;
const REQUEST_KIND = 'reads' as RequestKindName;
const NEVER_EXPIRES = 1e15 as Instant;
/** 1 Gbit/s, at which no answer waits for the link. */
const LINK_BYTES_PER_SECOND = 125_000_000;

const rounds = Number(process.argv[2] ?? 20);
const server = await startServer();
const entry = await makeMember('entry', []);
const guard = await makeMember('guard', [buildServer(server)]);
const tasks = await Promise.all([entry, guard].map((self) => startProxy(self, [entry, guard])));
const sockets = await Promise.all(Array.from({ length: CONNECTIONS }, () => openSocket(entry)));
const costs: number[] = [];
for (let round = 0; round < rounds; round += 1) {
  const before = process.cpuUsage();
  const callsPerSocket = CALLS_PER_ROUND / CONNECTIONS;
  await Promise.all(
    sockets.map((socket, index) => runCalls(socket, `${round}-${index}`, callsPerSocket)),
  );
  const { user, system } = process.cpuUsage(before);
  costs.push((user + system) / CALLS_PER_ROUND);
}
for (const [round, cost] of costs.slice(0, COLD_ROUNDS).entries()) {
  const first = round * CALLS_PER_ROUND;
  console.log(`calls ${first} to ${first + CALLS_PER_ROUND}: ${formatCost(cost)}`);
}
const warmCosts = costs.slice(COLD_ROUNDS).sort((left, right) => left - right);
console.log(`lowest later round: ${formatCost(warmCosts[0])}`);
console.log(`median later round: ${formatCost(warmCosts[Math.floor(warmCosts.length / 2)])}`);
console.log(`resident MB: ${Math.round(process.memoryUsage.rss() / 1e6)}`);
for (const socket of sockets) socket.destroy();
await Promise.all(tasks.map((task) => task.stop()));
process.exit(0);

function formatCost(microseconds = Number.NaN): string {
  return `${microseconds.toFixed(0)} us of CPU per call`;
}

async function startProxy(self: Member, members: readonly Member[]): Promise<CallTask> {
  const task = new CallTask({
    address: self.calls,
    front: new PlatformCallFront(),
    caller: 'shop' as CallerId,
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
    observer: new CallLog({
      log: () => {
        // Log lines are discarded.
      },
      next: new CallMetrics(new MetricsRegistry()),
    }),
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  });
  await task.start();
  const resources = ResourceMap.create(buildResources());
  task.post({ kind: 'whole', configuration: { ...EMPTY_CONFIGURATION, resources } });
  for (const member of members) task.post({ kind: 'member-up', member });
  return task;
}

function buildResources(): Resource[] {
  const flags = { idempotent: true, claim: false, hedge: false, worth: 1, timeoutMs: 5_000 };
  const route = {
    pathPrefix: '/',
    method: '*',
    host: HOST,
    service: SERVICE,
    requestKind: REQUEST_KIND,
  };
  return [
    { kind: 'service', name: SERVICE },
    { kind: 'request-kind', name: REQUEST_KIND, targetLatencyMs: 1_000, maxAttempts: 2, ...flags },
    { kind: 'route', name: 'all', generation: 'a' as never, ...route },
  ];
}

function buildServer(address: Address): Announcement {
  const limits = { slots: 64, connections: 100, warmAt: 0 as Instant };
  const life = { state: 'ready', heartbeatDeadline: NEVER_EXPIRES } as const;
  return { service: SERVICE, address, instance: 'i-1' as never, ...limits, ...life };
}

/**
 * Starts a server that answers every request with 600 bytes. It expects each request to arrive in one
 * read.
 */
async function startServer(): Promise<Address> {
  const address = (await findFreeAddress()) as Address;
  const body = 'x'.repeat(600);
  const tcpServer = createServer({ noDelay: true }, (socket) => {
    socket.setEncoding('latin1');
    socket.on('data', (text) => {
      const id = /x-attempt-id: (\S+)/i.exec(String(text))?.[1] ?? '';
      const headers = `X-Attempt-Id: ${id}\r\nX-Server-Seal: 3e1b.07.5a2\r\nKeep-Alive: timeout=60`;
      const type = 'Content-Type: application/octet-stream\r\nContent-Length: 600';
      socket.write(`HTTP/1.1 200 OK\r\n${headers}\r\n${type}\r\n\r\n${body}`);
    });
    socket.on('error', () => {
      // Connections may be reset at the end of the benchmark.
    });
  });
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve) => tcpServer.listen(port, host, resolve));
  return address;
}

function openSocket({ calls }: Member): Promise<Socket> {
  const { host, port } = splitAddress(calls);
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port, noDelay: true }, () => {
      resolve(socket);
    });
    socket.once('error', reject);
  });
}

/** Sends calls one after the other on one connection. */
function runCalls(socket: Socket, name: string, count: number): Promise<void> {
  return new Promise((resolve, reject) => {
    let sent = 0;
    let received = '';
    const send = (): void => {
      sent += 1;
      const id = `X-Attempt-Id: ${name}-${sent}\r\nX-Deadline-Ms: 2500`;
      socket.write(`GET /leny950/2f HTTP/1.1\r\nHost: ${HOST}\r\n${id}\r\n\r\n`);
    };
    const receive = (chunk: Buffer): void => {
      received += chunk.toString('latin1');
      const end = received.indexOf('\r\n\r\n');
      if (end < 0 || received.length < end + 604) return;
      if (!received.startsWith('HTTP/1.1 200')) reject(new Error(received));
      received = '';
      if (sent < count) {
        send();
        return;
      }
      socket.off('data', receive);
      resolve();
    };
    socket.on('data', receive);
    send();
  });
}
