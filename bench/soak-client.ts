/** Callers of a soak run. Each keeps one connection to its proxy open for as long as the proxy runs. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { Agent, request } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import type { Random } from '../src/random.js';
import type { CallEnding, CallRecord } from './mesh-history.js';
import type { ProxyHost } from './mesh-plan.js';

/** A call of a soak run. */
export interface SoakCall extends CallRecord {
  readonly path: string;
  readonly endedAt: number;
  /** The error that ended a `broken` call. */
  readonly cause: string | undefined;
}

/** The parameters of a call. */
interface SoakRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly answerBytes: number;
  readonly key?: string;
}

/** How a call ended, with the error if it failed. */
interface SoakEnding {
  readonly ending: CallEnding;
  readonly cause?: string;
}

/**
 * Sends calls one after the other on a single keep-alive connection, which it reopens after it has
 * closed.
 */
export class SoakClient {
  readonly #proxy: ProxyHost;
  readonly #random: Random;
  readonly #record: (call: SoakCall) => void;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  #isStopped = false;
  #running: Promise<void> | undefined;

  constructor(proxy: ProxyHost, random: Random, record: (call: SoakCall) => void) {
    this.#proxy = proxy;
    this.#random = random;
    this.#record = record;
  }

  /** Starts sending calls. */
  start(): void {
    this.#running = this.#runCalls();
  }

  /** Stops after the current call. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#running;
    this.#agent.destroy();
  }

  // Internals.

  async #runCalls(): Promise<void> {
    while (!this.#isStopped) {
      const isReachable = await this.#sendCall(this.#pickRequest());
      await wait(isReachable ? this.#random.next() * MAX_PAUSE_MS : UNREACHABLE_PAUSE_MS);
    }
  }

  #pickRequest(): SoakRequest {
    const choice = this.#random.next();
    if (choice < LARGE_ANSWER_SHARE) {
      const answerBytes = Math.round(MAX_ANSWER_BYTES * this.#random.next());
      return { method: 'GET', path: '/drawings', answerBytes };
    }
    if (choice < LARGE_ANSWER_SHARE + ORDER_SHARE) {
      return { method: 'POST', path: '/orders', answerBytes: 0, key: randomUUID() };
    }
    return { method: 'GET', path: '/catalogue', answerBytes: 0 };
  }

  /** Sends and records one call; returns whether the proxy accepted the connection. */
  async #sendCall(call: SoakRequest): Promise<boolean> {
    const nonce = randomUUID();
    const sentAt = Date.now();
    const ended = await this.#sendRequest(call, nonce);
    if (ended === undefined) return false;
    const { ending, cause } = ended;
    const endedAt = Date.now();
    const { name: entry } = this.#proxy;
    const { key, path } = call;
    this.#record({ nonce, key, path, entry, sentAt, endedAt, ending, cause });
    return true;
  }

  /** Resolves with `undefined` if the proxy refused the connection. */
  #sendRequest(call: SoakRequest, nonce: string): Promise<SoakEnding | undefined> {
    const { method, path, answerBytes, key } = call;
    const headers = {
      'x-nonce': nonce,
      'x-work-ms': `${Math.round(MAX_WORK_MS * this.#random.next())}`,
      'x-answer-bytes': `${answerBytes}`,
      'bilberryswitch-caller': 'fitter-1',
      ...(key === undefined ? {} : { 'idempotency-key': key }),
    };
    return new Promise((resolve) => {
      const sent = request(`http://${this.#proxy.calls}${path}`, {
        method,
        headers,
        agent: this.#agent,
        timeout: CALL_TIMEOUT_MS,
      });
      sent.on('response', (answer) => {
        readEnding(answer).then(resolve, (error: unknown) => {
          resolve(buildBroken(error));
        });
      });
      sent.on('timeout', () => {
        sent.destroy(new Error('no answer within the call timeout'));
      });
      sent.on('error', (error: NodeJS.ErrnoException) => {
        resolve(error.code === 'ECONNREFUSED' ? undefined : buildBroken(error));
      });
      sent.end();
    });
  }
}

// Internals.

const MAX_PAUSE_MS = 60;
const UNREACHABLE_PAUSE_MS = 50;
const MAX_WORK_MS = 80;
/** Longer than the time limit of every route, so that the proxy answers before the caller gives up. */
const CALL_TIMEOUT_MS = 6_000;
const LARGE_ANSWER_SHARE = 0.25;
const ORDER_SHARE = 0.25;
const MAX_ANSWER_BYTES = 300_000;

async function readEnding(answer: IncomingMessage): Promise<SoakEnding> {
  const chunks: Buffer[] = [];
  for await (const chunk of answer) chunks.push(chunk as Buffer);
  const status = answer.statusCode ?? 0;
  const outcome = answer.headers['bilberryswitch-outcome'];
  if (typeof outcome === 'string') return { ending: { kind: 'refused', status, outcome } };
  const { nonce } = JSON.parse(Buffer.concat(chunks).toString()) as { nonce: string | null };
  return { ending: { kind: 'answered', status, nonce } };
}

function buildBroken(error: unknown): SoakEnding {
  return {
    ending: { kind: 'broken' },
    cause: error instanceof Error ? error.message : String(error),
  };
}
