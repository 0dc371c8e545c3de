/** Sends the requests of the command line over HTTP. */
import { request } from 'node:http';
import { text } from 'node:stream/consumers';
import type { Address } from '../../ids.js';
import { splitAddress } from '../../ids.js';

/** A request of a command. */
export interface CommandRequest {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | undefined;
  /** How long the whole answer may take. */
  readonly timeoutMs: number;
}

/** A whole answer. */
export interface CommandAnswer {
  readonly status: number;
  readonly text: string;
}

/** Sends a request on a connection of its own; rejects when no whole answer comes in time. */
export function sendRequest(sent: CommandRequest): Promise<CommandAnswer> {
  const { address, method, path, headers = {}, body, timeoutMs } = sent;
  const { host, port } = splitAddress(address);
  const signal = AbortSignal.timeout(timeoutMs);
  return new Promise((resolve, reject) => {
    const fail = (error: Error): void => {
      reject(signal.aborted ? (signal.reason as Error) : error);
    };
    const options = { host, port, method, path, headers, signal, agent: false };
    const running = request(options, (response) => {
      const status = response.statusCode ?? 0;
      text(response).then((answer) => {
        resolve({ status, text: answer });
      }, fail);
    });
    running.on('error', fail);
    running.end(body);
  });
}
