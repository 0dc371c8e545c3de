/** Notes for tests, written in TOML as operators write them. */
import type { NoteNumber, Revision } from '../src/ids.js';
import type { NoteCommand, NoteDraft } from '../src/messages/index.js';
import { readNote } from '../src/edge/note-parser.js';

/** A service and a request kind of one name. */
export function formService(name: string): string {
  return `[[add]]\nkind = "service"\nname = "${name}"\n
[[add]]\nkind = "request-kind"\nname = "${name}"\nidempotent = true\nworth = 1.0\ntimeout_ms = 900\n`;
}

/** A route to the service and request kind of the same name. */
export function formRoute(list: 'add' | 'change', name: string, rest = ''): string {
  const path = rest.includes('path_prefix') ? '' : `path_prefix = "/${name}"\n`;
  return `[[${list}]]\nkind = "route"\nname = "${name}"\ngeneration = "old"\n${path}method = "*"\nservice = "${name}"\nrequest_kind = "${name}"\n${rest}\n`;
}

/** Withdraws one resource. */
export function formWithdrawal(kind: string, name: string): string {
  return `[[withdraw]]\nkind = "${kind}"\nname = "${name}"\n`;
}

/** Reads a note; throws when it has a fault. */
export function makeDraft(number: number, body: string, supersedes: number[] = []): NoteDraft {
  const head = `number = ${number}\ntitle = "note ${number}"\nsupersedes = [${supersedes.join(', ')}]\n`;
  const note = readNote(`${head}\n${body}`);
  if (note.ok) return note.value;
  throw new Error(JSON.stringify(note.error));
}

export function submit(number: number, body: string, supersedes: number[] = []): NoteCommand {
  return { kind: 'submit', draft: makeDraft(number, body, supersedes) };
}

export function amend(
  number: number,
  readAt: number,
  body: string,
  supersedes: number[] = [],
): NoteCommand {
  const draft = makeDraft(number, body, supersedes);
  return { kind: 'amend', draft, readAt: readAt as Revision };
}

export function withdraw(number: number, readAt: number): NoteCommand {
  return { kind: 'withdraw', number: number as NoteNumber, readAt: readAt as Revision };
}
