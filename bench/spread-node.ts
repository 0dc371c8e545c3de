/**
 * One process of a real distribution benchmark: links and distribution over sockets, nothing else.
 *
 * Its argument is a {@link NodePlan} as JSON. It reads one JSON command a line from its standard input
 * and writes one JSON event a line: each version that it serves, and its figures when it is asked.
 */
import { createInterface } from 'node:readline';
import { SystemClock } from '../src/clock.js';
import { LinkTask, readSourceSpreadMessage, readSpreadMessage } from '../src/edge/index.js';
import type { Address, DataCentreId, HostId } from '../src/ids.js';
import type { Channel, LinkEvent, Member, VersionDelta } from '../src/messages/index.js';
import type { Filter, Wake } from '../src/pipe/index.js';
import { FilterTask } from '../src/pipe/index.js';
import { SeededRandom } from '../src/random.js';
import type { SpreadPolicyName } from '../src/distribution/index.js';
import { makePolicy, ProxySpreadFilter, SourceSpreadFilter } from '../src/distribution/index.js';
import { StarProxyFilter, StarSourceFilter } from './naive-star.js';

/** What one process does. */
export interface NodePlan {
  readonly role: 'proxy' | 'source';
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly control: Address;
  readonly source: Address;
  readonly members: readonly Pick<Member, 'host' | 'dataCentre' | 'control'>[];
  readonly policy: SpreadPolicyName | 'star';
  readonly seed: number;
}

/** The figures of one process. */
export interface NodeFigures {
  readonly kind: 'figures';
  readonly host: HostId;
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Processor time in microseconds. */
  readonly cpuUs: number;
  readonly rssBytes: number;
}

/** What a node writes. */
export type NodeEvent =
  | NodeFigures
  | { readonly kind: 'ready' }
  | { readonly kind: 'served'; readonly version: number; readonly at: number };

/** What a node reads. */
export type NodeCommand =
  { readonly kind: 'commit'; readonly delta: VersionDelta } | { readonly kind: 'figures' };

// Internals.

/** Any message and output of the four filters. */
interface AnyMessage {
  readonly kind: string;
}

const plan = JSON.parse(process.argv[2] ?? '{}') as NodePlan;
const clock = new SystemClock();
const random = new SeededRandom(plan.seed);

function reportFailure(task: string, error: unknown): void {
  console.error(task, error);
  process.exit(1);
}

function write(event: NodeEvent): void {
  process.stdout.write(`${JSON.stringify(event)}\n`);
}

function makeFilter(): Filter<unknown, AnyMessage, AnyMessage> {
  const { role, policy, host, dataCentre, control, source } = plan;
  if (policy === 'star') {
    return role === 'source' ? new StarSourceFilter() : new StarProxyFilter(host);
  }
  if (role === 'source') return new SourceSpreadFilter({ policy: makePolicy(policy) });
  const shared = { host, dataCentre, control, sources: [source], keepsFloor: false };
  return new ProxySpreadFilter({ ...shared, policy: makePolicy(policy), random });
}

const links = new LinkTask({
  host: plan.host,
  control: plan.control,
  bind: plan.control,
  clock,
  random,
  reportFailure,
  notify: (event) => {
    const message = readLinkEvent(event);
    if (message !== undefined) spread.post(message);
  },
  notifyRejected: (_, reason) => {
    throw new Error(reason);
  },
});

const spread = new FilterTask<unknown, AnyMessage, AnyMessage>({
  name: 'spread',
  filter: makeFilter(),
  clock,
  reportFailure,
  formTick: () => ({ kind: 'tick' }),
  send: (output) => {
    route(output as Exclude<RoutedOutput, Wake>);
  },
});

type RoutedOutput =
  | { kind: 'send' | 'send-source'; to: Address; body: unknown }
  | { kind: 'keep' | 'drop'; to: Address }
  | { kind: 'whole'; whole: { version: number } }
  | { kind: 'confirm'; id: string };

function route(output: RoutedOutput): void {
  switch (output.kind) {
    case 'send':
    case 'send-source': {
      const channel = output.kind === 'send' ? 'spread' : 'source-spread';
      links.post({ kind: 'send', to: output.to, channel, body: output.body });
      return;
    }
    case 'keep':
    case 'drop':
      links.post({ kind: output.kind, to: output.to });
      return;
    case 'whole':
      write({ kind: 'served', version: output.whole.version, at: clock.read() });
      return;
    case 'confirm':
      spread.post({ kind: 'log', notice: { kind: 'confirmed', id: output.id } } as AnyMessage);
  }
}

function readLinkEvent(event: LinkEvent): AnyMessage | undefined {
  if (event.kind !== 'received') return isWanted(event) ? event : undefined;
  const wanted: Channel = plan.role === 'source' ? 'source-spread' : 'spread';
  if (event.channel !== wanted) return undefined;
  const read = plan.role === 'source' ? readSourceSpreadMessage : readSpreadMessage;
  return { ...event, body: read(event.body) } as AnyMessage;
}

/** The star knows no broken links, and a source takes no notice of new ones. */
function isWanted({ kind }: LinkEvent): boolean {
  if (plan.policy === 'star') return kind === 'link-up' && plan.role === 'proxy';
  return plan.role === 'proxy' || kind === 'link-down';
}

function writeFigures(): void {
  const { user, system } = process.cpuUsage();
  let [sentBytes, receivedBytes] = [0, 0];
  for (const { sent, received } of links.bytes.values()) {
    sentBytes += sent;
    receivedBytes += received;
  }
  const rssBytes = process.memoryUsage.rss();
  write({
    kind: 'figures',
    host: plan.host,
    sentBytes,
    receivedBytes,
    cpuUs: user + system,
    rssBytes,
  });
}

function obey(command: NodeCommand): void {
  if (command.kind === 'figures') writeFigures();
  else spread.post({ kind: 'version', delta: command.delta } as AnyMessage);
}

await links.start();
await spread.start();
if (plan.policy === 'star') {
  if (plan.role === 'proxy') links.post({ kind: 'keep', to: plan.source });
} else {
  if (plan.role === 'proxy') spread.post({ kind: 'start', floor: undefined } as AnyMessage);
  for (const member of plan.members) {
    const full = { ...member, calls: 'other', liveness: 'alive' };
    spread.post({ kind: 'member-up', member: full } as AnyMessage);
  }
}
createInterface({ input: process.stdin }).on('line', (line) => {
  obey(JSON.parse(line) as NodeCommand);
});
write({ kind: 'ready' });
