/** The load of a run under failure: callers, operators who race each other, and a reader of versions. */
import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { Agent, request } from 'undici';
import type { NoteAnswer } from '../src/messages/index.js';
import type { Random } from '../src/random.js';
import type { AcceptedNote, CallEnding, CallRecord, VersionReading } from './mesh-history.js';
import { formExtraRouteNote } from './mesh-notes.js';
import type { ProxyHost, RunningMesh } from './mesh-plan.js';

const CALL_TIMEOUT_MS = 6_000;
const CALL_PAUSE_MS = 15;
const RESEND_PAUSE_MS = 100;
const MAX_SENDS = 4;
const NOTE_PAUSE_MS = 150;
const READ_PAUSE_MS = 100;
const READ_TIMEOUT_MS = 1_000;
const LOST_ANSWER_SHARE = 0.3;

/** Records everything that callers, operators and the reader of versions see. */
export class GateWorkload {
  readonly calls: CallRecord[] = [];
  readonly accepted: AcceptedNote[] = [];
  readonly readings: VersionReading[] = [];
  readonly #running: RunningMesh;
  readonly #random: Random;
  readonly #agent = new Agent({ connections: 32 });
  readonly #loops: Promise<void>[] = [];
  #isStopped = false;
  #nextNote = 2;

  constructor(running: RunningMesh, random: Random) {
    this.#running = running;
    this.#random = random;
  }

  /** Starts every loop. */
  start(): void {
    const loops = [
      () => this.#read(),
      () => this.#read(),
      () => this.#order(),
      () => this.#order(),
      () => this.#raceNotes(),
      () => this.#readVersions(),
    ];
    for (const loop of loops) this.#loops.push(this.#repeat(loop));
  }

  /** Ends every loop, after what it has begun. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#loops);
    await this.#agent.close();
  }

  // Internals.

  async #repeat(loop: () => Promise<void>): Promise<void> {
    while (!this.#isStopped) await loop();
  }

  async #read(): Promise<void> {
    await this.#send(this.#pickProxy(), 'GET', '/catalogue', undefined);
    await wait(CALL_PAUSE_MS);
  }

  /** Sends an order and, unless it is answered, sends it again through another proxy. */
  async #order(): Promise<void> {
    const key = randomUUID();
    for (let sends = 0; sends < MAX_SENDS; sends += 1) {
      const ending = await this.#send(this.#pickProxy(), 'POST', '/orders', key);
      const wasLost = this.#random.next() < LOST_ANSWER_SHARE;
      if (ending.kind === 'answered' && !wasLost) return;
      await wait(RESEND_PAUSE_MS);
    }
  }

  async #send(
    proxy: ProxyHost,
    method: 'GET' | 'POST',
    path: string,
    key: string | undefined,
  ): Promise<CallEnding> {
    const nonce = randomUUID();
    const sentAt = Date.now();
    const ending = await this.#attempt(proxy, method, path, nonce, key);
    this.calls.push({ nonce, key, entry: proxy.name, sentAt, ending });
    return ending;
  }

  async #attempt(
    proxy: ProxyHost,
    method: 'GET' | 'POST',
    path: string,
    nonce: string,
    key: string | undefined,
  ): Promise<CallEnding> {
    const keyed = key === undefined ? {} : { 'idempotency-key': key };
    const headers = { 'x-nonce': nonce, 'bilberryswitch-caller': 'fitter-1', ...keyed };
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    try {
      const options = { method, headers, signal, dispatcher: this.#agent };
      const answer = await request(`http://${proxy.calls}${path}`, options);
      const text = await answer.body.text();
      const { statusCode: status } = answer;
      const outcome = answer.headers['bilberryswitch-outcome'];
      if (typeof outcome === 'string') return { kind: 'refused', status, outcome };
      const body = JSON.parse(text) as { nonce: string | null };
      return { kind: 'answered', status, nonce: body.nonce };
    } catch {
      return { kind: 'broken' };
    }
  }

  /** Two operators submit different notes with the same number; each sends until it is answered. */
  async #raceNotes(): Promise<void> {
    const number = this.#nextNote;
    this.#nextNote += 1;
    const text = formExtraRouteNote(number);
    const other = text.replace('title = "', 'title = "Other ');
    await Promise.all([text, other, text].map((note) => this.#submit(note)));
    await wait(NOTE_PAUSE_MS);
  }

  async #submit(body: string): Promise<void> {
    const reply = await this.#running
      .createClient()
      .send({ method: 'POST', path: '/notes', body })
      .catch(() => undefined);
    if (reply?.kind !== 'answered') return;
    const answer = reply.body as NoteAnswer;
    if (answer.kind === 'accepted') this.accepted.push(answer.receipt);
    if (answer.kind === 'number-taken') this.accepted.push(answer.winner);
  }

  async #readVersions(): Promise<void> {
    const readings = this.#running.proxies.map(async (proxy) => {
      const at = Date.now();
      const version = await readVersion(proxy);
      if (version !== undefined) this.readings.push({ proxy: proxy.name, at, version });
    });
    await Promise.all(readings);
    await wait(READ_PAUSE_MS);
  }

  #pickProxy(): ProxyHost {
    return this.#random.pick(this.#running.proxies);
  }
}

/** Reads the version that a proxy serves, or `undefined` while it serves none or does not answer. */
export async function readVersion(proxy: ProxyHost): Promise<number | undefined> {
  try {
    const signal = AbortSignal.timeout(READ_TIMEOUT_MS);
    const answer = await request(`http://${proxy.status}/status`, { signal });
    const status = (await answer.body.json()) as { proxy?: { version?: number } };
    return status.proxy?.version;
  } catch {
    return undefined;
  }
}
