/** The operators' HTTP interface of the source: JSON answers, notes in TOML, a bearer token. */
import { createHash, randomUUID, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Stream } from 'most';
import type { Address, NoteNumber, RequestId, Revision } from '../ids.js';
import { parseNoteNumber } from '../ids.js';
import type { NoteAnswer, NoteCommand } from '../messages/index.js';
import type { NotesIn, NotesOut } from '../notes/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { BodyTooLargeError, readText, sendJson } from './http-body.js';
import { HttpTask } from './http-task.js';
import { readNote } from './note-toml.js';

/** What the operator interface is told: the answers of the notes pipe. */
export type OperatorIn = Extract<NotesOut, { kind: 'answer' | 'statuses' | 'refusal' }>;

/** What an operator task needs. */
export interface OperatorOptions {
  readonly address: Address;
  /** The secret that each request must bring. */
  readonly token: string;
  readonly reportFailure: ReportFailure;
  /** Hands a request on to the notes pipe. */
  readonly request: (message: NotesIn) => void;
}

/** A request whose answer is not there yet. */
interface OpenRequest {
  readonly response: ServerResponse;
  /** Whether the operator asked for one note, so that its absence is an error. */
  readonly single: boolean;
}

/** Owns the operators' socket and the requests that wait for an answer. */
export class OperatorTask extends HttpTask<OperatorIn> {
  readonly #options: OperatorOptions;
  readonly #open = new Map<RequestId, OpenRequest>();

  constructor(options: OperatorOptions) {
    super({ name: 'operator', ...options });
    this.#options = options;
  }

  protected override createPipe(messages: Stream<OperatorIn>): Stream<unknown> {
    return messages.tap((message) => {
      this.#answer(message);
    });
  }

  protected override handle(request: IncomingMessage, response: ServerResponse): void {
    this.#handle(request, response).catch((error: unknown) => {
      sendFailure(response, error);
    });
  }

  // Internals.

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.#isAllowed(request)) {
      sendJson(response, 401, { kind: 'unauthorized', message: 'send the bearer token' });
      return;
    }
    const url = new URL(request.url ?? '/', 'http://operator');
    const match = /^\/notes(?:\/(\d+))?$/.exec(url.pathname);
    if (match === null) {
      sendJson(response, 404, { kind: 'unknown-path', message: 'use /notes or /notes/NUMBER' });
      return;
    }
    const number = match[1] === undefined ? undefined : parseNoteNumber(Number(match[1]));
    const readAt = Number(url.searchParams.get('revision') ?? '0') as Revision;
    await this.#route(request, response, number, readAt);
  }

  async #route(
    request: IncomingMessage,
    response: ServerResponse,
    number: NoteNumber | undefined,
    readAt: Revision,
  ): Promise<void> {
    const single = number !== undefined;
    if (request.method === 'GET') {
      const id = this.#remember(response, single);
      this.#options.request(single ? { kind: 'show', id, number } : { kind: 'list', id });
      return;
    }
    if (request.method === 'DELETE' && single) {
      this.#command(response, { kind: 'withdraw', number, readAt });
      return;
    }
    const isSubmit = request.method === 'POST' && !single;
    const isAmend = request.method === 'PUT' && single;
    if (!isSubmit && !isAmend) {
      sendJson(response, 405, { kind: 'wrong-method', message: 'use GET, POST, PUT or DELETE' });
      return;
    }
    const note = readNote(await readText(request, MAX_NOTE_BYTES));
    if (!note.ok) {
      sendAnswer(response, { kind: 'refused', faults: note.error });
      return;
    }
    const draft = note.value;
    this.#command(
      response,
      isSubmit ? { kind: 'submit', draft } : { kind: 'amend', draft, readAt },
    );
  }

  #isAllowed(request: IncomingMessage): boolean {
    const given = digestSecret(request.headers.authorization ?? '');
    return timingSafeEqual(given, digestSecret(`Bearer ${this.#options.token}`));
  }

  #command(response: ServerResponse, command: NoteCommand): void {
    const id = this.#remember(response, false);
    this.#options.request({ kind: 'command', id, command });
  }

  #remember(response: ServerResponse, single: boolean): RequestId {
    const id = randomUUID() as string as RequestId;
    this.#open.set(id, { response, single });
    response.on('close', () => {
      this.#open.delete(id);
    });
    return id;
  }

  #answer(message: OperatorIn): void {
    const open = this.#open.get(message.id);
    if (open === undefined) return;
    switch (message.kind) {
      case 'answer':
        sendAnswer(open.response, message.answer);
        return;
      case 'refusal':
        sendJson(open.response, 503, message.refusal);
        return;
      case 'statuses':
        if (!open.single) sendJson(open.response, 200, message.notes);
        else if (message.notes[0]) sendJson(open.response, 200, message.notes[0]);
        else sendJson(open.response, 404, { kind: 'unknown-note' });
        return;
    }
  }
}

// Internals.

const MAX_NOTE_BYTES = 4 * 1024 * 1024;

const ANSWER_STATUS: Record<NoteAnswer['kind'], number> = {
  accepted: 200,
  refused: 422,
  'number-taken': 409,
  'stale-revision': 409,
  'would-undo': 409,
  'rested-on': 409,
  'unknown-note': 404,
};

function sendAnswer(response: ServerResponse, answer: NoteAnswer): void {
  sendJson(response, ANSWER_STATUS[answer.kind], answer);
}

function sendFailure(response: ServerResponse, error: unknown): void {
  const status = error instanceof BodyTooLargeError ? 413 : 400;
  sendJson(response, status, { kind: 'bad-request', message: (error as Error).message });
}

/** Hashing gives both sides the same length, which the constant-time comparison needs. */
function digestSecret(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}
