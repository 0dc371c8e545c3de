/** A probe task for tests that records the messages it receives. */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { ExecutionContext } from 'ava';
import { findFreePort } from '../bench/mesh.js';
import { ProbeTask } from '../src/edge/probe-task.js';
import type { Address } from '../src/ids.js';
import type { ProbeMessage } from '../src/messages/index.js';

export interface ProbeListener {
  readonly task: ProbeTask;
  readonly receivedMessages: readonly ProbeMessage[];
  /** The reasons for which datagrams or parts of them were dropped. */
  readonly dropReasons: readonly string[];
  /** Sends a datagram to the task. */
  readonly send: (bytes: Uint8Array) => void;
}

/** Starts a listener that stops at the end of the test; a failure of its task fails the test. */
export async function startProbeListener(t: ExecutionContext): Promise<ProbeListener> {
  const port = await findFreePort();
  const receivedMessages: ProbeMessage[] = [];
  const dropReasons: string[] = [];
  const task = new ProbeTask({
    bind: `127.0.0.1:${port}` as Address,
    reportFailure: (_, error) => {
      t.fail(String(error));
    },
    notify: (_, message) => receivedMessages.push(message),
    notifyDropped: (_, reason) => dropReasons.push(reason),
  });
  await task.start();
  const peer: Socket = createSocket('udp4');
  t.teardown(async () => {
    peer.close();
    await task.stop();
  });
  const send = (bytes: Uint8Array): void => {
    peer.send(bytes, port, '127.0.0.1');
  };
  return { task, receivedMessages, dropReasons, send };
}
