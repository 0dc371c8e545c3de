/**
 * A proxy of a call benchmark, run as a separate process. Its first argument is a {@link NodePlan} as
 * JSON.
 */
import { CallTask } from '../src/edge/index.js';
import { SystemClock } from '../src/clock.js';
import type { Member, Resource } from '../src/messages/index.js';
import { EMPTY_CONFIGURATION, ResourceMap } from '../src/notes/index.js';
import { SeededRandom } from '../src/random.js';

/** The member records and the configuration of a benchmark proxy. */
export interface NodePlan {
  readonly self: Member;
  readonly members: readonly Member[];
  readonly resources: readonly Resource[];
}

/** The resource usage that a benchmark proxy reports on request. */
export interface NodeUsage {
  readonly cpuMicros: number;
  readonly residentBytes: number;
}

const { self, members, resources } = JSON.parse(process.argv[2] ?? '{}') as NodePlan;
const task = new CallTask({
  address: self.calls,
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
});
await task.start();
task.post({
  kind: 'whole',
  configuration: {
    ...EMPTY_CONFIGURATION,
    resources: ResourceMap.create(resources),
  },
});
for (const member of members) task.post({ kind: 'member-up', member });

process.on('message', () => {
  const { user, system } = process.cpuUsage();
  const usage: NodeUsage = { cpuMicros: user + system, residentBytes: process.memoryUsage.rss() };
  process.send?.(usage);
});
process.on('disconnect', () => {
  process.exit(0);
});
process.send?.('ready');
