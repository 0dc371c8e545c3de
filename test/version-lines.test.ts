/** The lines of committed, acknowledged, held and applied versions. */
import test from 'ava';
import { findFreeAddress, killProcess, Mesh, waitFor } from '../bench/mesh.js';
import { FIRST_NOTE } from '../bench/small-mesh.js';
import type { MeshProcess } from '../bench/mesh.js';
import type { HostId, NoteNumber, Revision, Version } from '../src/ids.js';
import type { NoteAnswer, NoteReceipt } from '../src/messages/index.js';
import { AcknowledgementLog } from '../src/program/acknowledgement-log.js';
import { CommitLog } from '../src/program/commit-log.js';
import { RateLimitedLog } from '../src/program/logger.js';
import { RecoveryLog } from '../src/program/recovery-log.js';
import { ListSink } from './list-sink.js';
import { ManualClock } from './manual-clock.js';

const HOST = 'host-0' as HostId;

function startLog() {
  const clock = new ManualClock();
  const sink = new ListSink();
  const { write: log } = new RateLimitedLog({ host: HOST, level: 'info', clock, sink });
  const recovery = new RecoveryLog({ host: HOST, log, clock, sources: [] });
  return { lines: sink.lines, clock, log, recovery };
}

function accept(version: number, isRepeat?: boolean): NoteAnswer {
  const receipt: NoteReceipt = {
    number: 7 as NoteNumber,
    revision: 2 as Revision,
    version: version as Version,
    digest: 'd' as NoteReceipt['digest'],
  };
  return { kind: 'accepted', receipt, ...(isRepeat === undefined ? {} : { isRepeat }) };
}

test('acknowledgement: time since the commit and coverage', (t) => {
  const { lines, clock, log } = startLog();
  const acknowledgements = new AcknowledgementLog({ log, clock });
  acknowledgements.handleCommitted(4 as Version);
  clock.advance(120);
  const held = [
    { version: 3 as Version, count: 2 },
    { version: 4 as Version, count: 5 },
    { version: 5 as Version, count: 1 },
  ];
  acknowledgements.handleCoverage({ known: 9, held, stragglers: [] });
  acknowledgements.handleAnswer(accept(4));
  t.like(lines[0], { event: 'command-acknowledged', number: 7, revision: 2, version: 4 });
  t.like(lines[0], { isRepeat: false, sinceCommitMs: 120, known: 9, holding: 6 });
});

test('acknowledgement of a repeated command: marked', (t) => {
  const { lines, clock, log } = startLog();
  const acknowledgements = new AcknowledgementLog({ log, clock });
  acknowledgements.handleAnswer(accept(4, true));
  t.like(lines[0], { isRepeat: true, version: 4, known: 0, holding: 0 });
  t.false('sinceCommitMs' in (lines[0] ?? {}));
});

test('refused command: not acknowledged', (t) => {
  const { lines, clock, log } = startLog();
  const acknowledgements = new AcknowledgementLog({ log, clock });
  acknowledgements.handleAnswer({ kind: 'stale-base', current: undefined });
  t.deepEqual(lines, []);
});

test('many commits: only the newest are remembered', (t) => {
  const { lines, clock, log } = startLog();
  const acknowledgements = new AcknowledgementLog({ log, clock });
  for (let version = 1; version <= 1_025; version += 1) {
    acknowledgements.handleCommitted(version as Version);
  }
  for (const version of [1, 2, 1_025]) acknowledgements.handleAnswer(accept(version));
  t.deepEqual(
    lines.map(({ sinceCommitMs }) => sinceCommitMs),
    [undefined, 0, 0],
  );
});

test('ten versions a second for 10 s: every line is written', (t) => {
  const { lines, clock, log, recovery } = startLog();
  const commits = new CommitLog({ recovery, clock });
  const acknowledgements = new AcknowledgementLog({ log, clock });
  const versions = Array.from({ length: 100 }, (_, index) => (index + 1) as Version);
  for (const version of versions) {
    commits.handleCommitted(version);
    acknowledgements.handleAnswer(accept(version));
    log('version-held', { version });
    log('version-applied', { version });
    clock.advance(100);
  }
  const events = ['version-committed', 'command-acknowledged', 'version-held', 'version-applied'];
  for (const event of events) {
    const written = lines.filter((line) => line.event === event);
    t.deepEqual(
      written.map(({ version }) => version),
      versions,
      event,
    );
  }
});

test('fifty acknowledgements at once: every line is written', (t) => {
  const { lines, clock, log } = startLog();
  const acknowledgements = new AcknowledgementLog({ log, clock });
  for (let version = 1; version <= 50; version += 1) acknowledgements.handleAnswer(accept(version));
  t.is(lines.length, 50);
});

test('replayed log: versions share a line, later ones are written', (t) => {
  const { lines, clock, recovery } = startLog();
  const commits = new CommitLog({ recovery, clock });
  for (let version = 1; version <= 3_000; version += 1) {
    commits.handleCommitted(version as Version);
  }
  clock.advance(0);
  commits.handleCommitted(3_001 as Version);
  t.deepEqual(
    lines.map(({ version, after }) => [version, after]),
    [
      [1, undefined],
      [3_000, 1],
      [3_001, undefined],
    ],
  );
});

test('restarted source: acknowledged versions share a line', async (t) => {
  const mesh = new Mesh();
  t.teardown(() => mesh.stop());
  const [control, operator] = [await findFreeAddress(), await findFreeAddress()];
  const tokenFile = mesh.writeFile('token', 'test-token');
  mesh.createFolder('data');
  const settings = `host = "source-0"
region = "hu-central"
data_centre = "a"
roles = ["source"]
control = "${control}"
data_folder = "data"

[source]
operator = "${operator}"
token_file = "token"
`;
  const source = mesh.startProgram('source', settings);
  await waitForEvent(source, 'source-leads');
  const access = ['--operator', operator, '--token-file', tokenFile];
  const submit = async (number: number) => {
    const text = number === 1 ? FIRST_NOTE : buildServiceNote(number);
    const note = mesh.writeFile(`note-${number}.toml`, text);
    return mesh.runCommand(['note', 'submit', note, ...access]);
  };
  for (const number of [1, 2, 3, 4, 4]) t.is((await submit(number)).code, 0);
  const acknowledged = listLines(source, 'command-acknowledged');
  t.deepEqual(
    acknowledged.map(({ number, version, isRepeat }) => [number, version, isRepeat]),
    [
      [1, 1, false],
      [2, 2, false],
      [3, 3, false],
      [4, 4, false],
      [4, 4, true],
    ],
  );
  t.true(acknowledged.every(({ sinceCommitMs }) => Number(sinceCommitMs) >= 0));
  await killProcess(source);
  const restarted = mesh.startProgram('source', settings);
  await waitForEvent(restarted, 'source-leads');
  await waitForEvent(restarted, 'version-committed', 2);
  const committed = listLines(restarted, 'version-committed');
  t.deepEqual(
    committed.map(({ version, after }) => [version, after]),
    [
      [1, undefined],
      [4, 1],
    ],
  );
});

function buildServiceNote(number: number): string {
  const name = `service-${number}`;
  return `number = ${number}\ntitle = "${name}"\n\n[[add]]\nkind = "service"\nname = "${name}"\n`;
}

function listLines({ output }: MeshProcess, event: string): Record<string, unknown>[] {
  const lines = output()
    .split('\n')
    .filter((line) => line.includes(`"event":"${event}"`));
  return lines.map((line) => JSON.parse(line) as Record<string, unknown>);
}

async function waitForEvent(process: MeshProcess, event: string, count = 1): Promise<void> {
  await waitFor(event, () => listLines(process, event).length >= count || undefined);
}
