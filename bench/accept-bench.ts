/**
 * Measures the rate and latency of accepted notes over the operators' interface:
 * `npm run bench -- accept [NOTES]`.
 *
 * Source hosts are processes on loopback that share one disk. With one note at a time, each note costs one disk sync.
 */
import { statSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'hdr-histogram-js';
import { buildExtraRouteNote, buildKindsNote, NAPERNYO_KINDS } from './mesh-notes.js';
import { NAPERNYO_PLAN, RunningMesh } from './mesh-plan.js';

const MICROS_PER_MILLI = 1_000;
const MS_PER_SECOND = 1_000;
const CONCURRENT_NOTES = 64;

const [notes = 400] = process.argv.slice(2).map(Number);
for (const sources of [1, 3]) await measureAcceptance(sources);

async function measureAcceptance(sources: number): Promise<void> {
  const running = await RunningMesh.start({ ...NAPERNYO_PLAN, sources, services: {} });
  try {
    await submitNote(running, buildKindsNote(1, 'old', NAPERNYO_KINDS));
    const before = readLogBytes(running);
    await reportRate(running, sources, 1, 2);
    await reportRate(running, sources, CONCURRENT_NOTES, notes + 2);
    const bytes = (readLogBytes(running) - before) / (2 * notes);
    console.log(`${sources} hosts: ${bytes.toFixed(0)} bytes on disk per note of one route`);
  } finally {
    await running.stop();
  }
}

async function reportRate(
  running: RunningMesh,
  sources: number,
  parallel: number,
  first: number,
): Promise<void> {
  const times = build({ bitBucketSize: 32, autoResize: true, numberOfSignificantValueDigits: 2 });
  let next = first;
  const startedAt = performance.now();
  const runOperator = async (): Promise<void> => {
    while (next < first + notes) {
      const number = next;
      next += 1;
      const sentAt = performance.now();
      await submitNote(running, buildExtraRouteNote(number));
      times.recordValue((performance.now() - sentAt) * MICROS_PER_MILLI);
    }
  };
  await Promise.all(Array.from({ length: parallel }, runOperator));
  const rate = (notes * MS_PER_SECOND) / (performance.now() - startedAt);
  const [p50, p99] = [50, 99].map((share) =>
    (times.getValueAtPercentile(share) / MICROS_PER_MILLI).toFixed(1),
  );
  console.log(
    `${sources} hosts, ${parallel} at once: ${rate.toFixed(0)} notes/s, p50 ${p50}, p99 ${p99} ms`,
  );
}

async function submitNote(running: RunningMesh, body: string): Promise<void> {
  const reply = await running.createClient().send({ method: 'POST', path: '/notes', body });
  if (reply.kind === 'answered' && reply.status === 200) return;
  throw new Error(`a note was not accepted: ${JSON.stringify(reply)}`);
}

function readLogBytes(running: RunningMesh): number {
  const folder = running.sources[0]?.folder ?? '';
  return statSync(join(folder, 'notes.log')).size;
}
