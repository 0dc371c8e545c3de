/**
 * Measures the call path: `npm run bench -- calls [latency|overload|memory]`.
 *
 * `latency` sends calls directly, through a plain TCP forwarder, and through one and two proxies, round
 * robin in one run. `overload` sends 0.5 to 3 times the capacity through one entry proxy. `memory` measures
 * the memory of the guard proxy per open connection.
 */
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import type { RequestKindName, ServiceName, Generation } from '../src/ids.js';
import type { Resource } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { CallFleet } from './call-fleet.js';
import type { LoadKind, LoadPath, LoadResult } from './call-load.js';
import { runLoad } from './call-load.js';
import { findFreePort } from './mesh.js';

const SEED = 1;
const PLAIN_KIND: LoadKind = { path: '/shop', share: 1, worth: 1, timeoutMs: 2_000 };
const KIND_MIX: readonly LoadKind[] = [
  { path: '/catalogue', share: 0.7, worth: 1, timeoutMs: 400 },
  { path: '/stock', share: 0.2, worth: 5, timeoutMs: 200 },
  { path: '/orders', share: 0.1, worth: 50, timeoutMs: 1_000 },
];

const [mode = 'latency', ...args] = process.argv.slice(2);
if (mode === 'latency') await measureLatency(Number(args[0] ?? 100), Number(args[1] ?? 20));
else if (mode === 'overload') await measureOverload(Number(args[0] ?? 8));
else if (mode === 'memory') await measureMemory(Number(args[0] ?? 1_000));
else
  throw new Error(
    'name a mode: latency [CALLS A SECOND PER PATH] [SECONDS], overload [SECONDS], memory [CONNECTIONS]',
  );

async function measureLatency(rate: number, seconds: number): Promise<void> {
  const fleet = new CallFleet();
  await fleet.start({
    servers: [{ slots: 64, runMs: 0 }],
    resources: buildResources([PLAIN_KIND]),
  });
  const [server = '', guard = ''] = [fleet.servers[0], fleet.guards[0]];
  const splice = await findFreePort();
  await fleet.run('call-splice', [`${splice}`, server.split(':')[1] ?? '']);
  const paths: LoadPath[] = [
    { name: 'direct', address: server },
    { name: 'splice', address: `127.0.0.1:${splice}` },
    { name: 'one hop', address: guard },
    { name: 'two hops', address: fleet.entry },
  ];
  const options = { paths, kinds: [PLAIN_KIND], random: new SeededRandom(SEED) };
  await runLoad({ ...options, rate: rate * paths.length, seconds: 6 });
  const before = await fleet.readUsage();
  const results = await runLoad({ ...options, rate: rate * paths.length, seconds });
  const after = await fleet.readUsage();
  fleet.stop();
  const direct = results[0];
  console.log('path        answered  p50 us  p99 us  added p50  added p99');
  for (const [index, result] of results.entries()) {
    console.log(formatLatency(paths[index]?.name ?? '', result, direct));
  }
  const [entryCpu, guardCpu] = after.map(
    ({ cpuMicros }, index) => cpuMicros - (before[index]?.cpuMicros ?? 0),
  );
  const [, , oneHop, twoHops] = results.map(({ answered }) => answered);
  console.log(`entry proxy: ${Math.round((entryCpu ?? 0) / (twoHops ?? 1))} us of CPU per call`);
  const guarded = (oneHop ?? 0) + (twoHops ?? 0);
  console.log(`guard proxy: ${Math.round((guardCpu ?? 0) / guarded)} us of CPU per call`);
  console.log(`resident MB: ${after.map((one) => Math.round(one.residentBytes / 1e6)).join(', ')}`);
}

async function measureOverload(seconds: number): Promise<void> {
  const server = { slots: 4, runMs: 40 };
  const servers = [server, server];
  const capacity = (servers.length * server.slots * 1_000) / server.runMs;
  const fleet = new CallFleet();
  await fleet.start({ servers, resources: buildResources(KIND_MIX) });
  const paths = [{ name: 'entry', address: fleet.entry }];
  const random = new SeededRandom(SEED);
  const load = { paths, kinds: KIND_MIX, random };
  await runLoad({ ...load, rate: capacity / 2, seconds: 6 });
  console.log('load  goodput/capacity  worth share  not run  failed  p99 ms');
  for (const factor of [0.5, 1, 1.5, 2, 2.5, 3]) {
    const [result] = await runLoad({ ...load, rate: capacity * factor, seconds });
    if (result === undefined) continue;
    const goodput = result.answered / seconds / capacity;
    const worth = result.worthAnswered / result.worthSent;
    const p99 = result.latency.getValueAtPercentile(99) / 1_000;
    const shares = [goodput.toFixed(3).padStart(16), worth.toFixed(3).padStart(11)];
    const counts = [`${result.refusedNotRun}`.padStart(7), `${result.failed}`.padStart(6)];
    console.log(
      [factor.toFixed(1).padEnd(4), ...shares, ...counts, p99.toFixed(0).padStart(6)].join('  '),
    );
  }
  fleet.stop();
}

async function measureMemory(connections: number): Promise<void> {
  const fleet = new CallFleet();
  await fleet.start({
    servers: [{ slots: 64, runMs: 0 }],
    resources: buildResources([PLAIN_KIND]),
  });
  const [guard = ''] = fleet.guards;
  const paths = [{ name: 'guard', address: guard }];
  const random = new SeededRandom(SEED);
  await runLoad({ paths, kinds: [PLAIN_KIND], random, rate: 200, seconds: 6 });
  const [, before] = await fleet.readUsage();
  const sockets = await Promise.all(
    Array.from({ length: connections }, () => openConnection(guard)),
  );
  const [, after] = await fleet.readUsage();
  const grownBytes = (after?.residentBytes ?? 0) - (before?.residentBytes ?? 0);
  console.log(
    `${Math.round(grownBytes / connections)} bytes for each of ${connections} connections`,
  );
  for (const socket of sockets) socket.destroy();
  fleet.stop();
}

/** Opens a connection, sends one call and waits for its answer. */
function openConnection(address: string): Promise<Socket> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host ?? '');
    socket.once('error', reject);
    socket.once('data', () => {
      resolve(socket);
    });
    socket.write('GET /shop HTTP/1.1\r\nhost: bench\r\n\r\n');
  });
}

function formatLatency(
  name: string,
  { latency, answered }: LoadResult,
  direct?: LoadResult,
): string {
  const cells = [50, 99].map((percentile) => latency.getValueAtPercentile(percentile));
  const added = [50, 99].map(
    (percentile, index) =>
      (cells[index] ?? 0) - (direct?.latency.getValueAtPercentile(percentile) ?? 0),
  );
  const columns = [`${answered}`, ...cells.map(String), ...added.map(String)];
  const widths = [8, 6, 6, 9, 9];
  const padded = columns.map((text, index) => text.padStart(widths[index] ?? 0));
  return [name.padEnd(10), ...padded].join('  ');
}

function buildResources(kinds: readonly LoadKind[]): Resource[] {
  const service = 'shop' as ServiceName;
  const resources: Resource[] = [{ kind: 'service', name: service }];
  for (const { path, worth, timeoutMs } of kinds) {
    const name = path.slice(1) as RequestKindName;
    const flags = { idempotent: true, claim: false, hedge: false };
    resources.push({ kind: 'request-kind', name, worth, timeoutMs, ...flags });
    const route = { generation: 'old' as Generation, pathPrefix: path, method: '*' };
    resources.push({ kind: 'route', name, ...route, service, requestKind: name });
  }
  return resources;
}
