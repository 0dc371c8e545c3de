/** Client of the operator API: tries the source hosts in turn and follows the leader. */
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
  /** Maximum time in milliseconds for which the source may hold the request open. */
  readonly waitMs?: number;
}

/** The answer of the source, or the reasons why there is none. */
export type SourceReply =
  | { readonly kind: 'answered'; readonly status: number; readonly body: unknown }
  /** No leader answered in time. If `mayHaveRun` is false, the request had no effect. */
  | {
      readonly kind: 'unanswered';
      readonly mayHaveRun: boolean;
      readonly reasons: readonly string[];
    };

/** The options of every command that sends a request to the source. */
export const OPERATOR_OPTIONS: Readonly<Record<string, CommandOption>> = {
  operator: {
    value: 'IP:PORT',
    help: 'operator address of a source host; repeat the option for each host',
    multiple: true,
  },
  'token-file': { value: 'FILE', help: 'file that contains the token of the source' },
  'timeout-ms': {
    value: 'MS',
    help: 'maximum time in milliseconds to find a leader (default 5000)',
  },
};

/**
 * Sends requests to the leader of the source.
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

  /**
   * Sends a request until a leader answers or the time runs out. A request that is sent again takes effect
   * only once.
   */
  async send(request: SourceRequest): Promise<SourceReply> {
    const deadline = addMs(this.#clock.read(), this.#timeoutMs + (request.waitMs ?? 0));
    const reasons = new Map<Address, string>();
    let mayHaveRun = false;
    for (;;) {
      const round = [...this.#operators];
      for (const operator of round) {
        const attempt = await this.#attempt(operator, request, deadline);
        if (attempt.kind === 'answered') return attempt;
        mayHaveRun ||= attempt.mayHaveRun;
        reasons.set(operator, attempt.reason);
        addLeader(round, operator, attempt.leader);
      }
      if (addMs(this.#clock.read(), RETRY_DELAY_MS) >= deadline) break;
      await wait(RETRY_DELAY_MS);
    }
    const lines = [...reasons].map(([operator, reason]) => `${operator}: ${reason}`);
    return { kind: 'unanswered', mayHaveRun, reasons: lines };
  }

  // Internals.

  async #attempt(operator: Address, request: SourceRequest, deadline: Instant): Promise<Attempt> {
    const remainingMs = Math.ceil(deadline - this.#clock.read());
    try {
      const { status, text } = await sendRequest({
        address: operator,
        method: request.method,
        path: request.path,
        headers: { authorization: `Bearer ${this.#token}` },
        body: request.body,
        timeoutMs: Math.max(remainingMs, MIN_ATTEMPT_MS),
      });
      const body = parseJson(text);
      if (status !== STATUS_UNAVAILABLE) return { kind: 'answered', status, body };
      return readRefusal(body);
    } catch (error) {
      const reason = (error as Error).message || 'no connection';
      return { kind: 'failed', mayHaveRun: !isNotSent(error), reason, leader: undefined };
    }
  }
}

/** Creates a client from the options of a command. Throws a {@link UsageError} for invalid options. */
export function createOperatorClient(input: CommandInput): OperatorClient {
  const operators = input.readAll('operator').map((text) => parseAddressOption(text));
  const token = readToken(input.read('token-file'));
  return new OperatorClient(operators, token, input.findNumber('timeout-ms'));
}

/** Parses an address from the command line. Throws a {@link UsageError} if it is malformed. */
export function parseAddressOption(text: string): Address {
  try {
    return parseAddress(text);
  } catch (error) {
    if (error instanceof IdError) throw new UsageError(error.message);
    throw error;
  }
}

// Internals.

/** The result of one attempt at one address. */
type Attempt =
  | Extract<SourceReply, { kind: 'answered' }>
  | {
      readonly kind: 'failed';
      readonly mayHaveRun: boolean;
      readonly reason: string;
      /** Operator address of the leader, if the refusal contains it. */
      readonly leader: Address | undefined;
    };

const DEFAULT_TIMEOUT_MS = 5_000;
const MIN_ATTEMPT_MS = 100;
const RETRY_DELAY_MS = 200;
const MAX_ATTEMPTS_PER_ROUND = 16;
const STATUS_UNAVAILABLE = 503;
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

const refusalSchema = z.object({
  kind: z.string(),
  message: z.string(),
  operator: z.string().optional(),
});

function readRefusal(body: unknown): Attempt {
  const { data } = refusalSchema.safeParse(body);
  const reason = data?.message ?? 'unavailable';
  const mayHaveRun = data?.kind !== 'not-leader' && data?.kind !== 'busy';
  const leader = data?.operator === undefined ? undefined : parseAddressOption(data.operator);
  return { kind: 'failed', mayHaveRun, reason, leader };
}

/** Adds the leader as the next address to try, unless the round contains it already or is full. */
function addLeader(round: Address[], after: Address, leader: Address | undefined): void {
  if (leader === undefined || round.includes(leader) || round.length >= MAX_ATTEMPTS_PER_ROUND)
    return;
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
