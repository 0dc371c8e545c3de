/**
 * Makes requests that fail in ways of their own on a small mesh, and prints the lines that each process
 * logged of them. docs/OPERATIONS.md explains what it prints.
 */
import { request } from 'undici';
import { stopProcess, waitFor } from './mesh.js';
import type { MeshProcess } from './mesh.js';
import type { SmallMesh } from './small-mesh.js';
import { startSmallMesh } from './small-mesh.js';

const NOTE = `number = 1
title = "Walks from an id to a cause"

[[add]]
kind = "service"
name = "catalogue"

[[add]]
kind = "service"
name = "drawings"

[[add]]
kind = "request-kind"
name = "browse"
idempotent = true
worth = 1.0
timeout_ms = 800
target_latency_ms = 200

[[add]]
kind = "request-kind"
name = "order"
idempotent = false
worth = 1.0
timeout_ms = 800

[[add]]
kind = "route"
name = "browse"
generation = "old"
path_prefix = "/browse"
method = "*"
service = "catalogue"
request_kind = "browse"

[[add]]
kind = "route"
name = "order"
generation = "old"
path_prefix = "/order"
method = "*"
service = "catalogue"
request_kind = "order"

[[add]]
kind = "route"
name = "drawings"
generation = "old"
path_prefix = "/drawings"
method = "*"
service = "drawings"
request_kind = "browse"
`;

/** All proxies but the last have a backend server of the catalogue beside them; calls enter at the last. */
const PROXIES = 4;
const SERVERS = 3;
/** Within this time the last process has logged its line of a request. */
const LINES_MS = 200;
/** Long enough for heartbeats of a server that has crashed to lapse. */
const READY_TIMEOUT_MS = 20_000;

const small = await startSmallMesh(PROXIES, SERVERS);
try {
  await runWalks(small);
} finally {
  await small.mesh.stop();
}

async function runWalks({ mesh, operator, tokenFile, calls, nodes }: SmallMesh): Promise<void> {
  const note = mesh.writeFile('note.toml', NOTE);
  await mesh.runCommand([
    'note',
    'submit',
    note,
    '--operator',
    operator,
    '--token-file',
    tokenFile,
  ]);
  const entry = calls[PROXIES - 1] ?? '';
  const walk = async (title: string, path: string, headers: Record<string, string> = {}) => {
    const id = `walk-${title.replaceAll(/[^a-z0-9]+/g, '-')}`;
    const sent = { ...headers, 'idempotency-key': id };
    const answer = await request(`http://${entry}${path}`, { method: 'GET', headers: sent });
    await answer.body.dump();
    await new Promise((resolve) => setTimeout(resolve, LINES_MS));
    print(`${title}: ${answer.statusCode}`, nodes, (line) => line.includes(`"request":"${id}"`));
  };
  await waitFor(
    'a first answer',
    async () => {
      const answer = await request(`http://${entry}/browse`);
      await answer.body.dump();
      return answer.statusCode === 200 || undefined;
    },
    READY_TIMEOUT_MS,
  );
  await walk('refused as not run', '/drawings');
  await walk('outcome unknown, time is up', '/order', { 'x-work-ms': '5000' });
  await walk('answered late', '/browse', { 'x-work-ms': '400' });
  await walk('sent again and run twice', '/browse', { 'x-crash': '1' });
  await walk('outcome unknown, server lost', '/order', { 'x-crash': '1' });

  const [, first] = nodes;
  if (first === undefined) return;
  await stopProcess(first);
  print('start of a source and of a proxy', nodes.slice(0, 2), (line) =>
    line.includes('"sinceStartMs"'),
  );
}

function print(
  title: string,
  nodes: readonly MeshProcess[],
  isWanted: (line: string) => boolean,
): void {
  process.stdout.write(`\n${title}\n`);
  for (const { output } of nodes) {
    const lines = output().split('\n').filter(isWanted);
    for (const line of lines) process.stdout.write(`${line}\n`);
  }
}
