/** Notes of a version soak. Each adds a route of its own; some move, drop or add others. */
import { buildServicesNote } from './mesh-notes.js';

/** The services of a version soak. Routes are moved from the first one to the second one. */
export const VERSION_SERVICES = ['catalogue', 'orders'] as const;

/** What a note does beside adding its route. */
export type NoteKind = 'add' | 'move' | 'drop' | 'many';

/** What a proxy has answered to a question. */
export interface VersionReading {
  readonly status: number;
  /** The reason of the proxy's own refusal, if it refused the request. */
  readonly reason: string | undefined;
  /** The service that ran the request, if one did. */
  readonly service: string | undefined;
}

/** A path whose answer tells whether the proxy decided by a version that is older than the note's. */
export interface VersionQuestion {
  readonly path: string;
  readonly isOlder: (reading: VersionReading) => boolean;
}

/** A note to send, and what shows that it is in force. */
export interface VersionNote {
  readonly number: number;
  readonly kind: NoteKind;
  readonly body: string;
  readonly questions: readonly VersionQuestion[];
}

/** Returns the first note, which adds the services. */
export function buildFirstNote(): VersionNote {
  const body = buildServicesNote(1, VERSION_SERVICES);
  return { number: 1, kind: 'add', body, questions: [buildAddedQuestion('/catalogue')] };
}

/**
 * Returns the next note. `move` and `drop` act on routes that the note before has added; `routes` is how many more
 * routes `many` adds.
 */
export function buildVersionNote(number: number, kind: NoteKind, routes = 0): VersionNote {
  const parts = [
    buildHead(number, kind),
    buildRoute('add', `own-${number}`, OLD_SERVICE),
    buildRoute('add', `moved-${number}`, OLD_SERVICE),
    buildRoute('add', `dropped-${number}`, OLD_SERVICE),
    ...Array.from({ length: routes }, (_, index) =>
      buildRoute('add', `many-${number}-${index}`, OLD_SERVICE),
    ),
  ];
  const questions = [buildAddedQuestion(`/own-${number}`)];
  const before = number - 1;
  if (kind === 'move') {
    parts.push(buildRoute('change', `moved-${before}`, NEW_SERVICE));
    questions.push({
      path: `/moved-${before}`,
      isOlder: ({ status, service }) => status === NO_ROUTE || service === OLD_SERVICE,
    });
  }
  if (kind === 'drop') {
    parts.push(`\n[[withdraw]]\nkind = "route"\nname = "dropped-${before}"\n`);
    questions.push({
      path: `/dropped-${before}`,
      isOlder: ({ service }) => service !== undefined,
    });
  }
  return { number, kind, body: parts.join(''), questions };
}

// Internals.

const [OLD_SERVICE, NEW_SERVICE] = VERSION_SERVICES;
const NO_ROUTE = 404;

function buildAddedQuestion(path: string): VersionQuestion {
  return { path, isOlder: ({ status, reason }) => status === NO_ROUTE && reason === 'no-route' };
}

function buildHead(number: number, kind: NoteKind): string {
  const supersedes = kind === 'move' || kind === 'drop' ? [number - 1] : [];
  return `number = ${number}
title = "Version ${number}"
generation = "old"
supersedes = ${JSON.stringify(supersedes)}
`;
}

function buildRoute(list: 'add' | 'change', name: string, service: string): string {
  return `
[[${list}]]
kind = "route"
name = "${name}"
path_prefix = "/${name}"
method = "GET"
service = "${service}"
request_kind = "read-${service}"
`;
}
