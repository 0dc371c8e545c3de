/** Sends requests to the source: tries its addresses in turn and follows the leader. */
import { readFileSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import { z } from 'zod';
import type { Clock } from '../../clock.js';
import { addMs, SystemClock } from '../../clock.js';
import type { Address, Instant } from '../../ids.js';
import { IdError, parseAddress } from '../../ids.js';
import type { CommandInput, CommandOption } from './command.js';
import { UsageError } from './command.js';
import { sendRequest } from './http-request.js';

/** A request to the source. */
export interface SourceRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: string;
  /** The longest time that the source may hold the request open, in milliseconds. */
  readonly holdMs?: number;
}

/** How the source answered, or why it did not. */
export type SourceReply =
  | { readonly kind: 'answered'; readonly status: number; readonly body: unknown }
  /** No leader answered in time. Unless `mayRun`, nothing was done. */
  | { readonly kind: 'unanswered'; readonly mayRun: boolean; readonly reasons: readonly string[] };

/** The options that every command towards the source takes. */
export const OPERATOR_OPTIONS: Readonly<Record<string, CommandOption>> = {
  operator: {
    value: 'IP:PORT',
    help: 'operator address of a source host; give it once per host',
    multiple: true,
  },
  'token-file': { value: 'FILE', help: 'file with the token of the source' },
  'timeout-ms': { value: 'MS', help: 'how long to look for a leader (5000)' },
};

/**
 * Reaches the leader of the source.
 *
 * @example
 * const reply = await createOperatorClient(input).send({ method: 'GET', path: '/notes' });
 */
export class OperatorClient {
  readonly #operators: readonly Address[];
  readonly #token: string;
  readonly #clock: Clock;
  readonly #timeoutMs: number;

  constructor(
    operators: readonly Address[],
    token: string,
    timeoutMs = DEFAULT_TIMEOUT_MS,
    clock: Clock = new SystemClock(),
  ) {
    this.#operators = operators;
    this.#token = token;
    this.#timeoutMs = timeoutMs;
    this.#clock = clock;
  }

  /** Sends a request until a leader answers it or the time is over. A resend takes effect once. */
  async send(sent: SourceRequest): Promise<SourceReply> {
    const deadline = addMs(this.#clock.read(), this.#timeoutMs + (sent.holdMs ?? 0));
    const reasons = new Map<Address, string>();
    let mayRun = false;
    for (;;) {
      const round = [...this.#operators];
      for (const operator of round) {
        const attempt = await this.#attempt(operator, sent, deadline);
        if (attempt.kind === 'answered') return attempt;
        mayRun ||= attempt.mayRun;
        reasons.set(operator, attempt.reason);
        addLeader(round, operator, attempt.leader);
      }
      if (addMs(this.#clock.read(), PAUSE_MS) >= deadline) break;
      await wait(PAUSE_MS);
    }
    const lines = [...reasons].map(([operator, reason]) => `${operator}: ${reason}`);
    return { kind: 'unanswered', mayRun, reasons: lines };
  }

  // Internals.

  async #attempt(operator: Address, sent: SourceRequest, deadline: Instant): Promise<Attempt> {
    const left = Math.ceil(deadline - this.#clock.read());
    try {
      const { status, text } = await sendRequest({
        address: operator,
        method: sent.method,
        path: sent.path,
        headers: { authorization: `Bearer ${this.#token}` },
        body: sent.body,
        timeoutMs: Math.max(left, MIN_ATTEMPT_MS),
      });
      const body = parseJson(text);
      if (status !== UNAVAILABLE) return { kind: 'answered', status, body };
      return readRefusal(body);
    } catch (error) {
      const reason = (error as Error).message || 'no connection';
      return { kind: 'failed', mayRun: !isNotSent(error), reason, leader: undefined };
    }
  }
}

/** Creates a client from the options of a command. */
export function createOperatorClient(input: CommandInput): OperatorClient {
  const operators = input.readAll('operator').map((text) => parseOperator(text));
  const token = readToken(input.read('token-file'));
  return new OperatorClient(operators, token, input.findNumber('timeout-ms'));
}

/** Parses an address of the command line. */
export function parseOperator(text: string): Address {
  try {
    return parseAddress(text);
  } catch (error) {
    if (error instanceof IdError) throw new UsageError(error.message);
    throw error;
  }
}

// Internals.

/** One attempt at one address. */
type Attempt =
  | Extract<SourceReply, { kind: 'answered' }>
  | {
      readonly kind: 'failed';
      readonly mayRun: boolean;
      readonly reason: string;
      /** Where the leader is reached, if the refusal named it. */
      readonly leader: Address | undefined;
    };

const DEFAULT_TIMEOUT_MS = 5_000;
const MIN_ATTEMPT_MS = 100;
const PAUSE_MS = 200;
const MAX_ROUND = 16;
const UNAVAILABLE = 503;
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

const refusalSchema = z.object({
  kind: z.string(),
  message: z.string(),
  operator: z.string().optional(),
});

function readRefusal(body: unknown): Attempt {
  const { data } = refusalSchema.safeParse(body);
  const reason = data?.message ?? 'unavailable';
  const mayRun = data?.kind !== 'not-leader' && data?.kind !== 'busy';
  const leader = data?.operator === undefined ? undefined : parseOperator(data.operator);
  return { kind: 'failed', mayRun, reason, leader };
}

/** Lets the leader be the next to be asked, unless it is asked in this round anyway. */
function addLeader(round: Address[], after: Address, leader: Address | undefined): void {
  if (leader === undefined || round.includes(leader) || round.length >= MAX_ROUND) return;
  round.splice(round.indexOf(after) + 1, 0, leader);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function isNotSent(error: unknown): boolean {
  return NOT_SENT_CODES.has((error as { code?: string }).code ?? '');
}

function readToken(path: string): string {
  try {
    return readFileSync(path, 'utf8').trim();
  } catch (error) {
    throw new UsageError(`--token-file: ${(error as Error).message}`);
  }
}
