/** A proxy process in which each call keeps the event loop busy for a given time. */
import type { IncomingMessage } from 'node:http';
import { SystemClock } from '../src/clock.js';
import type { HeadFault, ParsedCallHead } from '../src/edge/index.js';
import { CallTask, DefaultCallFront } from '../src/edge/index.js';
import type { Result } from '../src/errors.js';
import type { CallId, Instant } from '../src/ids.js';
import type { Member, Resource } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { makeConfiguration } from './call-resources.js';

/** Options of the busy proxy, passed as JSON in its first argument. */
export interface BusyProxyOptions {
  readonly self: Member;
  readonly resources: readonly Resource[];
  /** Time in milliseconds for which each call keeps the event loop busy. */
  readonly costMs: number;
}

class BusyCallFront extends DefaultCallFront {
  readonly #costMs: number;

  constructor(costMs: number) {
    super();
    this.#costMs = costMs;
  }

  override parseHead(
    request: IncomingMessage,
    id: CallId,
    now: Instant,
  ): Result<ParsedCallHead, HeadFault> {
    const until = performance.now() + this.#costMs;
    while (performance.now() < until);
    return super.parseHead(request, id, now);
  }
}

const { self, resources, costMs } = JSON.parse(process.argv[2] ?? '{}') as BusyProxyOptions;
const task = new CallTask({
  address: self.calls,
  front: new BusyCallFront(costMs),
  place: self,
  pass: self.pass,
  clock: new SystemClock(),
  random: new SeededRandom(1),
  reportFailure: (name, error) => {
    throw new Error(`${name} failed`, { cause: error });
  },
  send: () => {
    // No other task receives the messages.
  },
});
await task.start();
task.post({ kind: 'whole', configuration: makeConfiguration(...resources) });
task.post({ kind: 'member-up', member: self });
process.on('disconnect', () => {
  process.exit(0);
});
process.send?.('ready');
