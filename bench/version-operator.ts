/** The operator of a version soak: sends one note after the other and records each acknowledgement. */
import { setTimeout as wait } from 'node:timers/promises';
import type { Random } from '../src/random.js';
import type { RunningMesh } from './mesh-plan.js';
import type { NoteKind, VersionNote } from './version-notes.js';
import { buildFirstNote, buildVersionNote } from './version-notes.js';

/** A note that was acknowledged. */
export interface AcknowledgedNote {
  readonly note: VersionNote;
  readonly sentAt: number;
  readonly acknowledgedAt: number;
}

/** Sends notes until it is stopped. An unanswered note is sent again before the next one. */
export class VersionOperator {
  readonly #running: RunningMesh;
  readonly #random: Random;
  readonly #acknowledged: AcknowledgedNote[] = [];
  readonly #refusals: string[] = [];
  readonly #waiting: (() => void)[] = [];
  /** Notes to send at once, of storms and of many routes. */
  #hurriedCount = 0;
  #hurriedRoutes = 0;
  #isStopped = false;
  #loop: Promise<void> | undefined;

  constructor(running: RunningMesh, random: Random) {
    this.#running = running;
    this.#random = random;
  }

  /** The acknowledged notes, the oldest first. */
  get acknowledged(): readonly AcknowledgedNote[] {
    return this.#acknowledged;
  }

  /** The answers other than acknowledgements. */
  get refusals(): readonly string[] {
    return this.#refusals;
  }

  /** Sends the first note and starts to send the others. */
  async start(): Promise<void> {
    await this.#sendNote(buildFirstNote());
    this.#loop = this.#sendNotes();
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#loop;
  }

  /** Sends the next notes without pauses. */
  addStorm(count: number): void {
    this.#hurriedCount += count;
  }

  /** Adds this number of routes with the next note. */
  addRoutes(count: number): void {
    this.#hurriedRoutes += count;
  }

  /** Resolves at the next acknowledgement. */
  waitForAcknowledgement(): Promise<void> {
    return new Promise((resolve) => this.#waiting.push(resolve));
  }

  // Internals.

  async #sendNotes(): Promise<void> {
    for (let number = 2; !this.#isStopped; number += 1) {
      await this.#sendNote(this.#buildNote(number));
      if (this.#hurriedCount > 0) this.#hurriedCount -= 1;
      else await wait(this.#random.next() * MAX_PAUSE_MS);
    }
  }

  #buildNote(number: number): VersionNote {
    if (this.#hurriedRoutes > 0) {
      const routes = this.#hurriedRoutes;
      this.#hurriedRoutes = 0;
      return buildVersionNote(number, 'many', routes);
    }
    const kind = number === 2 ? 'add' : this.#random.pick(KINDS);
    return buildVersionNote(number, kind, kind === 'many' ? MANY_ROUTES : 0);
  }

  async #sendNote(note: VersionNote): Promise<void> {
    const client = this.#running.createClient();
    const sentAt = Date.now();
    for (;;) {
      const reply = await client.send({ method: 'POST', path: '/notes', body: note.body });
      if (reply.kind === 'answered' && reply.status === ACCEPTED) break;
      const answer = reply.kind === 'answered' ? JSON.stringify(reply.body) : reply.reasons.join();
      this.#refusals.push(`note ${note.number}: ${answer.slice(0, MAX_TEXT)}`);
      if (this.#isStopped) return;
      await wait(RESEND_PAUSE_MS);
    }
    this.#acknowledged.push({ note, sentAt, acknowledgedAt: Date.now() });
    for (const resolve of this.#waiting.splice(0)) resolve();
  }
}

// Internals.

const KINDS: readonly NoteKind[] = ['add', 'add', 'add', 'move', 'move', 'drop', 'drop', 'many'];
const MANY_ROUTES = 40;
const MAX_PAUSE_MS = 800;
const RESEND_PAUSE_MS = 100;
const ACCEPTED = 200;
const MAX_TEXT = 300;
