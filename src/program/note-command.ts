/** The `note` commands: an operator's requests to the source. */
import { readFileSync } from 'node:fs';
import { request } from 'undici';
import { ExitCode } from './exit-code.js';

/** A request of an operator. */
export interface NoteRequest {
  readonly operator: string;
  readonly tokenFile: string;
  readonly action: string;
  /** A file for `submit`, a number for `show`. */
  readonly argument: string | undefined;
}

/** Sends a request to the source and prints the answer as JSON. */
export async function sendNoteRequest(note: NoteRequest): Promise<ExitCode> {
  const { method, path, body } = formRequest(note);
  const token = readFileSync(note.tokenFile, 'utf8').trim();
  try {
    const answer = await request(`http://${note.operator}${path}`, {
      method,
      headers: { authorization: `Bearer ${token}` },
      body,
    });
    process.stdout.write(`${await answer.body.text()}\n`);
    if (answer.statusCode === 503) return ExitCode.unknown;
    return answer.statusCode === 200 ? ExitCode.done : ExitCode.refused;
  } catch (error) {
    process.stderr.write(`no answer from ${note.operator}: ${(error as Error).message}\n`);
    return ExitCode.unknown;
  }
}

// Internals.

interface HttpRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string | null;
}

function formRequest({ action, argument }: NoteRequest): HttpRequest {
  if (action === 'submit' && argument !== undefined) {
    return { method: 'POST', path: '/notes', body: readFileSync(argument, 'utf8') };
  }
  if (action === 'show') return { method: 'GET', path: `/notes/${argument ?? ''}`, body: null };
  return { method: 'GET', path: '/notes', body: null };
}
