/**
 * A process of the distribution benchmark over sockets; it runs the links and the distribution only.
 *
 * Its argument is a {@link NodePlan} as JSON. It reads one JSON command per line from its standard input
 * and writes one JSON event per line: each version that it serves, and its figures on request.
 */
import { createInterface } from 'node:readline';
import { SystemClock } from '../src/clock.js';
import {
  LinkTask,
  readSourceDistributionMessage,
  readDistributionMessage,
} from '../src/edge/index.js';
import type { Address, DataCentreId, HostId } from '../src/ids.js';
import type { LinkChannel, LinkEvent, Member, VersionDelta } from '../src/messages/index.js';
import type { Filter, WakeRequest } from '../src/pipe/index.js';
import { FilterTask } from '../src/pipe/index.js';
import { SeededRandom } from '../src/random.js';
import type { DistributionPolicyName } from '../src/distribution/index.js';
import {
  makePolicy,
  ProxyDistributionFilter,
  SourceDistributionFilter,
} from '../src/distribution/index.js';
import { StarProxyFilter, StarSourceFilter } from './naive-star.js';

/** The role and the settings of a process. */
export interface NodePlan {
  readonly role: 'proxy' | 'source';
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly control: Address;
  readonly source: Address;
  readonly members: readonly Pick<Member, 'host' | 'dataCentre' | 'control'>[];
  readonly policy: DistributionPolicyName | 'star';
  readonly seed: number;
}

/** The resource usage of a process. */
export interface NodeFigures {
  readonly kind: 'figures';
  readonly host: HostId;
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Processor time in microseconds. */
  readonly cpuUs: number;
  readonly rssBytes: number;
}

/** An event that a node writes. */
export type NodeEvent =
  | NodeFigures
  | { readonly kind: 'ready' }
  | { readonly kind: 'served'; readonly version: number; readonly at: number };

/** A command that a node reads. */
export type NodeCommand =
  { readonly kind: 'commit'; readonly delta: VersionDelta } | { readonly kind: 'figures' };

// Internals.

/** Any input or output message of the four filters. */
interface FilterMessage {
  readonly kind: string;
}

const plan = JSON.parse(process.argv[2] ?? '{}') as NodePlan;
const clock = new SystemClock();
const random = new SeededRandom(plan.seed);

function reportFailure(task: string, error: unknown): void {
  console.error(task, error);
  process.exit(1);
}

function writeEvent(event: NodeEvent): void {
  process.stdout.write(`${JSON.stringify(event)}\n`);
}

function createFilter(): Filter<unknown, FilterMessage, FilterMessage> {
  const { role, policy, host, dataCentre, control, source } = plan;
  if (policy === 'star') {
    return role === 'source' ? new StarSourceFilter() : new StarProxyFilter(host);
  }
  if (role === 'source') return new SourceDistributionFilter({ policy: makePolicy(policy) });
  const shared = { host, dataCentre, control, sources: [source], keepsFloor: false };
  return new ProxyDistributionFilter({ ...shared, policy: makePolicy(policy), random });
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

const spread = new FilterTask<unknown, FilterMessage, FilterMessage>({
  name: 'spread',
  filter: createFilter(),
  clock,
  reportFailure,
  buildTick: () => ({ kind: 'tick' }),
  send: (output) => {
    route(output as Exclude<FilterOutput, WakeRequest>);
  },
});

type FilterOutput =
  | { kind: 'send' | 'send-source'; to: Address; body: unknown }
  | { kind: 'keep' | 'drop'; to: Address }
  | { kind: 'whole'; configuration: { version: number } }
  | { kind: 'confirm'; id: string };

function route(output: FilterOutput): void {
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
      writeEvent({ kind: 'served', version: output.configuration.version, at: clock.read() });
      return;
    case 'confirm':
      spread.post({ kind: 'log', notice: { kind: 'confirmed', id: output.id } } as FilterMessage);
  }
}

function readLinkEvent(event: LinkEvent): FilterMessage | undefined {
  if (event.kind !== 'received') return isWanted(event) ? event : undefined;
  const wanted: LinkChannel = plan.role === 'source' ? 'source-spread' : 'spread';
  if (event.channel !== wanted) return undefined;
  const read = plan.role === 'source' ? readSourceDistributionMessage : readDistributionMessage;
  return { ...event, body: read(event.body) } as FilterMessage;
}

/** Filters link events: the star ignores broken links, and a source ignores new ones. */
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
  writeEvent({
    kind: 'figures',
    host: plan.host,
    sentBytes,
    receivedBytes,
    cpuUs: user + system,
    rssBytes,
  });
}

function handleCommand(command: NodeCommand): void {
  if (command.kind === 'figures') writeFigures();
  else spread.post({ kind: 'version', delta: command.delta } as FilterMessage);
}

await links.start();
await spread.start();
if (plan.policy === 'star') {
  if (plan.role === 'proxy') links.post({ kind: 'keep', to: plan.source });
} else {
  if (plan.role === 'proxy') spread.post({ kind: 'start', floor: undefined } as FilterMessage);
  for (const member of plan.members) {
    const full = { ...member, calls: 'other', liveness: 'alive' };
    spread.post({ kind: 'member-up', member: full } as FilterMessage);
  }
}
createInterface({ input: process.stdin }).on('line', (line) => {
  handleCommand(JSON.parse(line) as NodeCommand);
});
writeEvent({ kind: 'ready' });
