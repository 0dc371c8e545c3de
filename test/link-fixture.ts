/** Link tasks on a clock that a test advances. */
import { LinkTask } from '../src/edge/index.js';
import type { Address, HostId } from '../src/ids.js';
import type { LinkEvent } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { ManualClock } from './manual-clock.js';

/** Creates a link task, and lists of its events and of the addresses whose connections went silent. */
export function createLink(
  host: string,
  control: string,
  bind: string,
  clock = new ManualClock(),
): {
  readonly task: LinkTask;
  readonly clock: ManualClock;
  readonly control: Address;
  readonly events: LinkEvent[];
  readonly silent: Address[];
} {
  const events: LinkEvent[] = [];
  const silent: Address[] = [];
  const task = new LinkTask({
    host: host as HostId,
    control: control as Address,
    bind: bind as Address,
    clock,
    random: new SeededRandom(1),
    reportFailure: (name, error) => {
      throw new Error(`${name} failed`, { cause: error });
    },
    notify: (event) => events.push(event),
    notifyRejected: (from, reason) => {
      throw new Error(`${from}: ${reason}`);
    },
    notifySilent: (address) => silent.push(address),
  });
  return { task, clock, control: control as Address, events, silent };
}
