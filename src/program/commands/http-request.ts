/** HTTP client of the command line. */
import { request } from 'node:http';
import { text } from 'node:stream/consumers';
import type { Address } from '../../ids.js';
import { splitAddress } from '../../ids.js';

/** An HTTP request of a command. */
export interface CommandRequest {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | undefined;
  /** Time limit for the complete answer, in milliseconds. */
  readonly timeoutMs: number;
}

/** A complete HTTP answer. */
export interface CommandAnswer {
  readonly status: number;
  readonly text: string;
}

/** Sends a request on a new connection. Rejects if the complete answer does not arrive in time. */
export function sendRequest(command: CommandRequest): Promise<CommandAnswer> {
  const { address, method, path, headers = {}, body, timeoutMs } = command;
  const { host, port } = splitAddress(address);
  const signal = AbortSignal.timeout(timeoutMs);
  return new Promise((resolve, reject) => {
    const fail = (error: Error): void => {
      reject(signal.aborted ? (signal.reason as Error) : error);
    };
    const options = { host, port, method, path, headers, signal, agent: false };
    const outgoing = request(options, (response) => {
      const status = response.statusCode ?? 0;
      text(response).then((answer) => {
        resolve({ status, text: answer });
      }, fail);
    });
    outgoing.on('error', fail);
    outgoing.end(body);
  });
}
