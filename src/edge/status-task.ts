/** The local HTTP interface for monitoring a process: `/status` in JSON and `/metrics` as text. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Stream } from 'most';
import type { Clock } from '../clock.js';
import type { Address, HostId, Instant } from '../ids.js';
import type { ExplainAnswer, ExplainRequest, Member, MemberEvent } from '../messages/index.js';
import type { MetricsRegistry } from '../metrics/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { IdError } from '../ids.js';
import { parseExplainQuery } from './explain-query.js';
import { sendJson } from './http-body.js';
import type { ReportInputFault } from './http-task.js';
import { HttpTask } from './http-task.js';

/** Messages of other tasks to the status task. */
export type StatusIn =
  /** The latest value of a section of the status; it replaces the previous value. */
  | { readonly kind: 'report'; readonly section: string; readonly value: unknown }
  | MemberEvent
  | ExplainAnswer;

/** Options of a {@link StatusTask}. */
export interface StatusTaskOptions {
  /** The address to listen on; if undefined, the task only receives messages. */
  readonly address: Address | undefined;
  readonly host: HostId;
  readonly roles: readonly string[];
  readonly clock: Clock;
  readonly registry: MetricsRegistry;
  readonly reportFailure: ReportFailure;
  readonly reportInputFault?: ReportInputFault | undefined;
  /** Passes on a question about a call; returns false if this process has no proxy role. */
  readonly passQuery: (request: ExplainRequest) => boolean;
}

/**
 * Stores the latest report of each section, so a status request needs no answer from the reporting tasks.
 *
 * @example
 * status.post({ kind: 'report', section: 'proxy', value: { version: 7 } });
 */
export class StatusTask extends HttpTask<StatusIn> {
  readonly #options: StatusTaskOptions;
  readonly #startedAt: Instant;
  readonly #sections = new Map<string, unknown>();
  readonly #members = new Map<HostId, Member>();
  /** The requests whose explanations have not arrived. */
  readonly #asked = new Map<number, ServerResponse>();
  #lastQuery = 0;

  constructor(options: StatusTaskOptions) {
    super({ name: 'status', ...options, address: options.address ?? UNUSED_ADDRESS });
    this.#options = options;
    this.#startedAt = options.clock.read();
  }

  protected override createPipe(messages: Stream<StatusIn>): Stream<unknown> {
    return messages.tap((message) => {
      this.#handleMessage(message);
    });
  }

  protected override async open(): Promise<void> {
    if (this.#options.address !== undefined) await super.open();
  }

  protected override handle(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    const path = request.method === 'GET' ? request.url : undefined;
    if (path === '/status') {
      sendJson(response, OK, this.#buildStatus());
    } else if (path === '/metrics') {
      response.writeHead(OK, { 'content-type': METRICS_CONTENT_TYPE });
      response.end(this.#options.registry.formatText());
    } else if (path?.startsWith('/explain?') === true) {
      this.#explain(path, response);
    } else {
      sendJson(response, NOT_FOUND, {
        kind: 'unknown-path',
        message: 'use GET /status, GET /metrics or GET /explain?path=PATH',
      });
    }
  }

  // Internals.

  #handleMessage(message: StatusIn): void {
    switch (message.kind) {
      case 'report':
        this.#sections.set(message.section, message.value);
        return;
      case 'member-up':
        this.#members.set(message.member.host, message.member);
        return;
      case 'member-gone':
        this.#members.delete(message.host);
        return;
      case 'explained': {
        const response = this.#asked.get(message.id);
        if (response !== undefined) sendJson(response, OK, message.explanation);
        return;
      }
    }
  }

  /** Asks the proxy role; the answer comes as a message. */
  #explain(url: string, response: ServerResponse): void {
    const query = parseExplainQuery(url);
    if (query instanceof IdError) {
      sendJson(response, BAD_REQUEST, { kind: 'bad-request', message: query.message });
      return;
    }
    this.#lastQuery += 1;
    const id = this.#lastQuery;
    this.#asked.set(id, response);
    response.on('close', () => this.#asked.delete(id));
    if (this.#options.passQuery({ kind: 'explain', id, query })) return;
    sendJson(response, NOT_FOUND, { kind: 'no-proxy', message: 'this process has no proxy role' });
  }

  #buildStatus(): Record<string, unknown> {
    const { host, roles, clock } = this.#options;
    const uptimeSeconds = Math.floor((clock.read() - this.#startedAt) / MS_PER_SECOND);
    const members = buildMembers([...this.#members.values()]);
    return { host, roles, uptimeSeconds, ...Object.fromEntries(this.#sections), members };
  }
}

// Internals.

const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const MS_PER_SECOND = 1000;
const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4';
const UNUSED_ADDRESS = '127.0.0.1:0' as Address;

/** Counts members by liveness, data centre and version, and the backend servers of each service by state. */
function buildMembers(members: readonly Member[]): Record<string, unknown> {
  const services: Record<string, Record<string, number>> = {};
  for (const { service, state } of members.flatMap((member) => member.servers)) {
    const states = (services[service] ??= {});
    states[state] = (states[state] ?? 0) + 1;
  }
  return {
    byState: countBy(members, (member) => member.liveness),
    byDataCentre: countBy(members, (member) => member.dataCentre),
    byVersion: countBy(members, (member) => String(member.version)),
    servers: services,
  };
}

function countBy<T>(items: readonly T[], readKey: (item: T) => string): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const item of items) counts[readKey(item)] = (counts[readKey(item)] ?? 0) + 1;
  return counts;
}
