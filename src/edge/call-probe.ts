/** Checks whether a backend server accepts connections. */
import { connect } from 'node:net';
import type { Address } from '../ids.js';
import { splitAddress } from '../ids.js';

/** Opens and closes one connection; resolves with whether it was accepted within one second. */
export function probeServer(address: Address): Promise<boolean> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: PROBE_TIMEOUT_MS });
    const finish = (accepts: boolean): void => {
      socket.destroy();
      resolve(accepts);
    };
    socket.once('connect', () => {
      finish(true);
    });
    socket.once('timeout', () => {
      finish(false);
    });
    socket.once('error', () => {
      finish(false);
    });
  });
}

// Internals.

const PROBE_TIMEOUT_MS = 1_000;
