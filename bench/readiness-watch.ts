/** Asks the proxies of a mesh whether they are ready, like a load balancer. */
import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';
import type { MeshProcess } from './mesh.js';
import type { ProxyHost } from './mesh-plan.js';

/** A process that was told to stop. */
export interface StopRecord {
  readonly process: MeshProcess;
  readonly signalledAt: number;
}

/** An answer of a readiness endpoint. */
interface Answer {
  readonly proxy: string;
  readonly process: MeshProcess;
  readonly askedAt: number;
  readonly status: number;
}

/** Asks each proxy in short intervals, each time on a new connection. */
export class ReadinessWatch {
  readonly #proxies: readonly ProxyHost[];
  readonly #answers: Answer[] = [];
  #isStopped = false;
  #running: Promise<unknown> | undefined;

  constructor(proxies: readonly ProxyHost[]) {
    this.#proxies = proxies;
  }

  /** The number of answers with status 200. */
  get readyCount(): number {
    return this.#answers.filter(({ status }) => status === OK).length;
  }

  start(): void {
    this.#running = Promise.all(this.#proxies.map((proxy) => this.#runQuestions(proxy)));
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#running;
  }

  /** Lists the answers of stopping processes that say that they are ready. */
  check(stops: readonly StopRecord[]): string[] {
    const signals = new Map(stops.map(({ process, signalledAt }) => [process, signalledAt]));
    return this.#answers
      .map((answer) => ({ ...answer, signalledAt: signals.get(answer.process) ?? Infinity }))
      .filter(({ status }) => status === OK)
      .filter(({ askedAt, signalledAt }) => askedAt > signalledAt + MAX_NOTICE_MS)
      .map(({ proxy, askedAt, signalledAt }) => {
        return `${proxy} said that it is ready ${askedAt - signalledAt} ms after its stop signal`;
      });
  }

  // Internals.

  async #runQuestions(proxy: ProxyHost): Promise<void> {
    while (!this.#isStopped) {
      await this.#sendQuestion(proxy);
      await wait(ASK_INTERVAL_MS);
    }
  }

  async #sendQuestion({ name, process, ready }: ProxyHost): Promise<void> {
    const askedAt = Date.now();
    try {
      const { statusCode, body } = await request(`http://${ready}/`, {
        reset: true,
        headersTimeout: ANSWER_TIMEOUT_MS,
      });
      await body.dump();
      this.#answers.push({ proxy: name, process, askedAt, status: statusCode });
    } catch {
      // No answer counts as not ready.
    }
  }
}

// Internals.

const OK = 200;
const ASK_INTERVAL_MS = 100;
const ANSWER_TIMEOUT_MS = 1_000;
/**
 * A load balancer asks once a second and takes a host out after two misses in a row. It must have done so within 4 s
 * of the signal, also if the signal came right after a question and was handled late.
 */
const MAX_NOTICE_MS = 1_000;
