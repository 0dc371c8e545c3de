/** Log lines for lost and regained sources, and for the start of a process. */
import test from 'ava';
import type { MeshProcess } from '../bench/mesh.js';
import { stopProcess, waitFor } from '../bench/mesh.js';
import { FIRST_NOTE, startSmallMesh } from '../bench/small-mesh.js';
import type { Address, HostId } from '../src/ids.js';
import { RecoveryLog } from '../src/program/recovery-log.js';
import { makeMember } from './call-resources.js';
import { ManualClock } from './manual-clock.js';

const SOURCE_MEMBER = { ...makeMember('source-1', []), isSource: true };
const { host, control: address } = SOURCE_MEMBER;
const CONFIGURED_SOURCE = '10.0.0.9:7580' as Address;

function startLog() {
  const lines: Record<string, unknown>[] = [];
  const clock = new ManualClock();
  const log = (event: string, fields = {}) => lines.push({ event, ...fields });
  const self = 'host-0' as HostId;
  const recovery = new RecoveryLog({ host: self, log, clock, sources: [CONFIGURED_SOURCE] });
  return { lines, clock, recovery };
}

test('source found and lost: logged once each', (t) => {
  const { lines, clock, recovery } = startLog();
  clock.advance(1_200);
  recovery.handleLink({ kind: 'link-up', host, address });
  recovery.handleMembership({ kind: 'member-up', member: makeMember('host-2', []) });
  for (const liveness of ['alive', 'suspect', 'alive'] as const) {
    recovery.handleMembership({ kind: 'member-up', member: { ...SOURCE_MEMBER, liveness } });
  }
  recovery.handleMembership({ kind: 'member-up', member: { ...SOURCE_MEMBER, liveness: 'dead' } });
  recovery.handleMembership({ kind: 'member-gone', host });
  t.deepEqual(lines, [
    {
      event: 'source-found',
      source: host,
      control: address,
      isLinked: true,
      sinceStartMs: 1_200,
    },
    { event: 'source-lost', source: host, control: address, sinceStartMs: 1_200 },
  ]);
});

test('links: only those to sources are logged', (t) => {
  const { lines, recovery } = startLog();
  const other = '10.0.0.7:7580' as Address;
  recovery.handleMembership({ kind: 'member-up', member: SOURCE_MEMBER });
  for (const to of [other, address, CONFIGURED_SOURCE]) {
    recovery.handleLink({ kind: 'link-up', host, address: to });
    recovery.handleLink({ kind: 'link-down', host: undefined, address: to });
  }
  t.deepEqual(
    lines.slice(1).map(({ event, control }) => [event, control]),
    [
      ['source-link-up', address],
      ['source-link-down', address],
      ['source-link-up', CONFIGURED_SOURCE],
      ['source-link-down', CONFIGURED_SOURCE],
    ],
  );
});

test('states: only changes are logged', (t) => {
  const { lines, recovery } = startLog();
  const events = ['proxy-not-ready', 'proxy-not-ready', 'proxy-ready', 'proxy-ready'] as const;
  for (const event of events) {
    recovery.reportState('proxy', event);
  }
  recovery.reportState('confirm', 'source-confirms');
  t.deepEqual(
    lines.map(({ event }) => event),
    ['proxy-not-ready', 'proxy-ready', 'source-confirms'],
  );
});

test('start of a mesh: each step is logged', async (t) => {
  const { mesh, operator, tokenFile, processes } = await startSmallMesh(1, 1);
  t.teardown(() => mesh.stop());
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
  const [source, proxy] = processes as [MeshProcess, MeshProcess];
  const isReady = () => listEvents(proxy).includes('proxy-ready') || undefined;
  await waitFor('a ready proxy', isReady);
  const hasFound = () => listEvents(proxy).includes('source-found') || undefined;
  await waitFor('a source that is a member', hasFound);
  await stopProcess(proxy);
  const confirming = ['source-leads', 'source-confirms'];
  t.deepEqual(listEvents(source, confirming), confirming);
  const committing = ['source-leads', 'version-committed'];
  t.deepEqual(listEvents(source, committing), committing);
  const serving = ['proxy-not-ready', 'vouch-asked', 'version-vouched', 'proxy-ready'];
  t.deepEqual(listEvents(proxy, serving), [...serving, 'proxy-not-ready']);
  const confirmedAt = findEventTime(source, 'source-confirms');
  t.true(confirmedAt <= findEventTime(proxy, 'version-vouched'));
  t.true(findEventTime(source, 'version-committed') <= findEventTime(proxy, 'proxy-ready'));
  const seen = listEvents(proxy);
  t.true(seen.includes('source-found') && seen.includes('source-link-up'));
});

/** Lists the events that a process has logged with `sinceStartMs`, without consecutive repeats. */
function listEvents({ output }: MeshProcess, selected?: readonly string[]): string[] {
  const events = output()
    .split('\n')
    .flatMap((line) => /"event":"([a-z-]+)".*"sinceStartMs":\d+/.exec(line)?.[1] ?? []);
  const listed = events.filter((event) => selected?.includes(event) ?? true);
  return listed.filter((event, index) => event !== listed[index - 1]);
}

/** Returns when a process first logged `event`, in milliseconds since the Unix epoch; NaN if it did not. */
function findEventTime({ output }: MeshProcess, event: string): number {
  const line = output()
    .split('\n')
    .find((text) => text.includes(`"event":"${event}"`));
  return Number(/"time":(\d+)/.exec(line ?? '')?.[1] ?? NaN);
}
