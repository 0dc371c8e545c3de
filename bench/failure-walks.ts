/**
 * Sends requests that fail in different ways to a small mesh, and prints the lines that each process
 * logged about them. docs/OPERATIONS.md explains the output.
 */
import { request } from 'undici';
import { stopProcess, waitFor } from './mesh.js';
import type { MeshProcess } from './mesh.js';
import type { SmallMesh } from './small-mesh.js';
import { startSmallMesh } from './small-mesh.js';

const FIRST_NOTE = `number = 1
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

/** All proxies except the last one have a backend server of the catalogue; calls enter at the last one. */
const PROXY_COUNT = 4;
const SERVER_COUNT = 3;
/** Time until every process has logged its lines about a request. */
const LOG_DELAY_MS = 200;
/** Longer than it takes for the heartbeat of a crashed server to expire. */
const READY_TIMEOUT_MS = 20_000;

const smallMesh = await startSmallMesh(PROXY_COUNT, SERVER_COUNT);
try {
  await runFailures(smallMesh);
} finally {
  await smallMesh.mesh.stop();
}

async function runFailures({
  mesh,
  operator,
  tokenFile,
  calls,
  processes,
}: SmallMesh): Promise<void> {
  const note = mesh.writeFile('note.toml', FIRST_NOTE);
  await mesh.runCommand([
    'note',
    'submit',
    note,
    '--operator',
    operator,
    '--token-file',
    tokenFile,
  ]);
  const entry = calls[PROXY_COUNT - 1] ?? '';
  const runFailure = async (title: string, path: string, headers: Record<string, string> = {}) => {
    const id = `walk-${title.replaceAll(/[^a-z0-9]+/g, '-')}`;
    const sent = { ...headers, 'idempotency-key': id };
    const answer = await request(`http://${entry}${path}`, { method: 'GET', headers: sent });
    await answer.body.dump();
    await new Promise((resolve) => setTimeout(resolve, LOG_DELAY_MS));
    printLines(`${title}: ${answer.statusCode}`, processes, (line) =>
      line.includes(`"request":"${id}"`),
    );
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
  await runFailure('refused as not run', '/drawings');
  await runFailure('outcome unknown, time is up', '/order', { 'x-work-ms': '5000' });
  await runFailure('answered late', '/browse', { 'x-work-ms': '400' });
  await runFailure('sent again and run twice', '/browse', { 'x-crash': '1' });
  await runFailure('outcome unknown, server lost', '/order', { 'x-crash': '1' });

  const [, first] = processes;
  if (first === undefined) return;
  await stopProcess(first);
  printLines('start of a source and of a proxy', processes.slice(0, 2), (line) =>
    line.includes('"sinceStartMs"'),
  );
}

function printLines(
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
