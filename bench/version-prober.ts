/** Asks every proxy of a version soak whether it decides by the acknowledged versions. */
import { setTimeout as wait } from 'node:timers/promises';
import { Agent, request } from 'undici';
import type { Random } from '../src/random.js';
import type { ProxyHost, RunningMesh } from './mesh-plan.js';
import type { VersionQuestion, VersionReading } from './version-notes.js';
import type { AcknowledgedNote, VersionOperator } from './version-operator.js';

/** The answer of a proxy to a question about a note. */
export interface ProbeAnswer {
  readonly proxy: string;
  readonly number: number;
  readonly path: string;
  readonly acknowledgedAt: number;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly reading: VersionReading;
  /** Whether only a version older than the note's allows the answer. */
  readonly isOlder: boolean;
}

/**
 * Asks each proxy about five times a second about the newest acknowledged note, and about one that was acknowledged
 * 2 s or more ago, or the oldest that the proxy hasn't shown yet.
 */
export class VersionProber {
  readonly #running: RunningMesh;
  readonly #operator: VersionOperator;
  readonly #random: Random;
  readonly #answers: ProbeAnswer[] = [];
  /** How many of the acknowledged notes each proxy has shown to be in force. */
  readonly #shownCounts = new Map<string, number>();
  readonly #agent = new Agent({ connections: MAX_CONNECTIONS });
  readonly #openQuestions = new Set<Promise<void>>();
  #isStopped = false;
  #loop: Promise<unknown> | undefined;
  #unansweredCount = 0;

  constructor(running: RunningMesh, operator: VersionOperator, random: Random) {
    this.#running = running;
    this.#operator = operator;
    this.#random = random;
  }

  get answers(): readonly ProbeAnswer[] {
    return this.#answers;
  }

  /** The number of questions without an answer, most of them to proxies that did not run. */
  get unansweredCount(): number {
    return this.#unansweredCount;
  }

  start(): void {
    this.#loop = Promise.all(this.#running.proxies.map((proxy) => this.#askProxy(proxy)));
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#loop;
    await Promise.all(this.#openQuestions);
    await this.#agent.destroy();
  }

  // Internals.

  async #askProxy(proxy: ProxyHost): Promise<void> {
    await wait(this.#random.next() * ASK_INTERVAL_MS);
    while (!this.#isStopped) {
      for (const acknowledged of this.#pickNotes(proxy)) {
        const { questions } = acknowledged.note;
        this.#startQuestion(proxy, acknowledged, this.#random.pick(questions));
      }
      await wait(ASK_INTERVAL_MS);
    }
  }

  #pickNotes({ name }: ProxyHost): AcknowledgedNote[] {
    const { acknowledged } = this.#operator;
    const newest = acknowledged.at(-1);
    if (newest === undefined) return [];
    const unshown = acknowledged[this.#shownCounts.get(name) ?? 0];
    const settledUntil = Date.now() - SETTLED_MS;
    const settled = acknowledged
      .slice(-MAX_SETTLED)
      .filter(({ acknowledgedAt }) => acknowledgedAt <= settledUntil);
    const second = unshown ?? (settled.length === 0 ? newest : this.#random.pick(settled));
    return second === newest ? [newest] : [newest, second];
  }

  #startQuestion(
    proxy: ProxyHost,
    acknowledged: AcknowledgedNote,
    question: VersionQuestion,
  ): void {
    const asking = this.#sendQuestion(proxy, acknowledged, question);
    this.#openQuestions.add(asking);
    void asking.then(() => this.#openQuestions.delete(asking));
  }

  async #sendQuestion(
    proxy: ProxyHost,
    { note, acknowledgedAt }: AcknowledgedNote,
    { path, isOlder }: VersionQuestion,
  ): Promise<void> {
    const sentAt = Date.now();
    const reading = await this.#read(proxy, path);
    if (reading === undefined) {
      this.#unansweredCount += 1;
      return;
    }
    const { name } = proxy;
    const { number } = note;
    const older = isOlder(reading);
    const endedAt = Date.now();
    this.#answers.push({
      proxy: name,
      number,
      path,
      acknowledgedAt,
      sentAt,
      endedAt,
      reading,
      isOlder: older,
    });
    this.#updateShown(name, number, older, reading);
  }

  #updateShown(proxy: string, number: number, isOlder: boolean, reading: VersionReading): void {
    const shown = this.#shownCounts.get(proxy) ?? 0;
    if (isOlder) this.#shownCounts.set(proxy, Math.min(shown, number - 1));
    else if (reading.status < UNAVAILABLE) this.#shownCounts.set(proxy, Math.max(shown, number));
  }

  async #read(proxy: ProxyHost, path: string): Promise<VersionReading | undefined> {
    try {
      const signal = AbortSignal.timeout(ANSWER_TIMEOUT_MS);
      const options = { signal, dispatcher: this.#agent };
      const answer = await request(`http://${proxy.calls}${path}`, options);
      const text = await answer.body.text();
      const { statusCode: status } = answer;
      const body = JSON.parse(text) as { kind?: string; service?: string };
      return { status, reason: body.kind, service: body.service };
    } catch {
      return undefined;
    }
  }
}

// Internals.

const ASK_INTERVAL_MS = 200;
const SETTLED_MS = 2_000;
const MAX_SETTLED = 20;
const MAX_CONNECTIONS = 16;
const ANSWER_TIMEOUT_MS = 6_000;
const UNAVAILABLE = 500;
