/**
 * Measures memory, processor time and control traffic of idle proxies:
 * `npm run bench -- footprint [PROXIES] [SECONDS]`.
 *
 * Runs the binary that `BILBERRYSWITCH_BINARY` names, or the compiled sources if it is not set.
 */
import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';
import { buildKindsNote, NAPERNYO_KINDS } from './mesh-notes.js';
import { NAPERNYO_PLAN, RunningMesh } from './mesh-plan.js';

const BYTES_PER_MB = 1_000_000;
const MS_PER_SECOND = 1_000;
const SETTLE_MS = 10_000;
const NOTE_WAIT_MS = 10_000;

/** The resource usage of one process by its metrics. */
interface Footprint {
  readonly residentMb: number;
  readonly processorSeconds: number;
  readonly controlBytes: number;
}

const [proxies = 8, seconds = 20] = process.argv.slice(2).map(Number);
const plan = { ...NAPERNYO_PLAN, sources: 1, services: { catalogue: proxies } };
const running = await RunningMesh.start(plan);
try {
  await measure();
} finally {
  await running.stop();
}

async function measure(): Promise<void> {
  const client = running.createClient();
  const kinds = NAPERNYO_KINDS.filter(({ service }) => service === 'catalogue');
  await client.send({ method: 'POST', path: '/notes', body: buildKindsNote(1, 'old', kinds) });
  await client.send({ method: 'GET', path: '/notes/1/wait', waitMs: NOTE_WAIT_MS });
  await wait(SETTLE_MS);
  const before = await readAll();
  await wait(seconds * MS_PER_SECOND);
  const after = await readAll();
  const shares = after.map((one, index) => {
    const spentSeconds = one.processorSeconds - (before[index]?.processorSeconds ?? 0);
    return (spentSeconds / seconds) * 100;
  });
  const rates = after.map(
    (one, index) => (one.controlBytes - (before[index]?.controlBytes ?? 0)) / seconds,
  );
  console.log(`proxies ${proxies}, idle for ${seconds} s; median and highest`);
  report(
    'resident MB',
    after.map((one) => one.residentMb),
  );
  report('% of a core', shares);
  report('control B/s over links, both directions', rates);
}

function readAll(): Promise<Footprint[]> {
  return Promise.all(running.proxies.map(({ status }) => readFootprint(status)));
}

async function readFootprint(status: string): Promise<Footprint> {
  const answer = await request(`http://${status}/metrics`);
  const text = await answer.body.text();
  return {
    residentMb: sumSeries(text, 'resident_memory_bytes') / BYTES_PER_MB,
    processorSeconds: sumSeries(text, 'processor_seconds'),
    controlBytes: sumSeries(text, 'control_bytes'),
  };
}

function sumSeries(text: string, name: string): number {
  const pattern = new RegExp(`^bilberryswitch_${name}(?:\\{[^}]*\\})? (\\S+)$`, 'gm');
  return [...text.matchAll(pattern)].reduce((sum, [, value]) => sum + Number(value), 0);
}

function report(title: string, values: readonly number[]): void {
  const sorted = [...values].sort((left, right) => left - right);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  console.log(`${title}: ${median.toFixed(2)}, ${(sorted.at(-1) ?? 0).toFixed(2)}`);
}
