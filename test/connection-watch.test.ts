/** Reports of connections up to their first call. */
import { once } from 'node:events';
import { connect } from 'node:net';
import test from 'ava';
import { findFreeAddress, waitFor } from '../bench/mesh.js';
import type { CallListener } from '../src/calls/index.js';
import { CallObserver } from '../src/calls/index.js';
import { SystemClock } from '../src/clock.js';
import { CallTask } from '../src/edge/index.js';
import type { Address, DataCentreId, HostId, RegionId } from '../src/ids.js';
import { splitAddress } from '../src/ids.js';
import { SeededRandom } from '../src/random.js';

class ConnectionList extends CallObserver {
  readonly accepted: CallListener[] = [];
  readonly unused: CallListener[] = [];
  readonly waits: [CallListener, number][] = [];

  override acceptConnection(listener: CallListener): void {
    this.accepted.push(listener);
  }

  override reportFirstCall(listener: CallListener, waitedMs: number): void {
    this.waits.push([listener, waitedMs]);
  }

  override reportUnusedConnection(listener: CallListener): void {
    this.unused.push(listener);
  }
}

const REQUEST = 'GET /shop HTTP/1.1\r\nHost: a\r\n\r\n';
const WAIT_MS = 100;

test('accepts, first calls and unused connections by listener', async (t) => {
  const observer = new ConnectionList();
  const [address, secondAddress] = [await findFreeAddress(), await findFreeAddress()] as Address[];
  if (address === undefined || secondAddress === undefined) throw new Error('no address is free');
  const task = new CallTask({
    address,
    secondAddress,
    place: {
      host: 'host-0' as HostId,
      dataCentre: 'a' as DataCentreId,
      region: 'hu-central' as RegionId,
    },
    pass: 'pass',
    clock: new SystemClock(),
    random: new SeededRandom(1),
    reportFailure: (_name, error) => {
      t.fail(String(error));
    },
    send: () => undefined,
    observer,
  });
  await task.start();
  t.teardown(() => task.stop());

  const caller = connect(splitAddress(address));
  await waitFor('the accept', () => observer.accepted.length === 1 || undefined);
  await new Promise((resolve) => setTimeout(resolve, WAIT_MS));
  for (let count = 0; count < 2; count += 1) {
    caller.write(REQUEST);
    await once(caller, 'data');
  }
  caller.destroy();
  const proxy = connect(splitAddress(secondAddress));
  await once(proxy, 'connect');
  proxy.destroy();
  await waitFor('the close', () => observer.unused.length > 0 || undefined);

  t.deepEqual(observer.accepted, ['callers', 'proxies']);
  t.deepEqual(observer.unused, ['proxies']);
  t.is(observer.waits.length, 1);
  const [[listener, waitedMs] = []] = observer.waits;
  t.is(listener, 'callers');
  t.true((waitedMs ?? 0) >= WAIT_MS - 10, `${waitedMs} ms`);
});
