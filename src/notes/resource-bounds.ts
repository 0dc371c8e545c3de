/**
 * The bounds of resources, whichever front has read them. What is within them every proxy can read and keep to;
 * they are checked before a command enters the log, because the log's own decisions must never change.
 */
import type { NoteCommand, NoteFault, Resource } from '../messages/index.js';
import { formKey } from '../messages/index.js';

/** The longest text in a message about versions. */
export const MAX_TEXT_LENGTH = 1_024;
/** The longest time limit, a day; timers of Node.js keep to 24 days at most. */
export const MAX_TIMEOUT_MS = 86_400_000;

/** Lists what is out of bounds in the resources that a command would put into the configuration. */
export function listBoundFaults(command: NoteCommand): NoteFault[] {
  return listResources(command).flatMap((resource) => {
    const place = formKey(resource);
    return listFaults(resource, place).map((message) => ({ place, message }));
  });
}

// Internals.

/** Sums and differences of weights up to this one are exact enough to keep to the shares. */
const MAX_WEIGHT = 1_000_000_000;

function listResources(command: NoteCommand): readonly Resource[] {
  switch (command.kind) {
    case 'submit':
    case 'amend':
      return [...command.draft.add, ...command.draft.change];
    case 'replace':
      return command.changes.flatMap((change) => (change.op === 'put' ? change.resource : []));
    case 'withdraw':
      return [];
  }
}

function listFaults(resource: Resource, key: string): string[] {
  const texts = Object.entries({ key, ...resource }).filter(([, value]) => isTooLong(value));
  const times = listTimes(resource).filter(([, value]) => !isTime(value));
  return [
    ...texts.map(([field]) => `${field}: longer than ${MAX_TEXT_LENGTH} characters`),
    ...times.map(([field]) => `${field}: expected at most ${MAX_TIMEOUT_MS} ms`),
    ...(hasOddWeight(resource) ? [`targets: a weight is above ${MAX_WEIGHT}`] : []),
  ];
}

function listTimes(resource: Resource): [field: string, milliseconds: number][] {
  if (resource.kind === 'request-kind') {
    const { timeoutMs, targetLatencyMs = timeoutMs } = resource;
    return Object.entries({ timeoutMs, targetLatencyMs });
  }
  if (resource.kind !== 'limits') return [];
  const { headerTimeoutMs, idleTimeoutMs } = resource;
  return Object.entries({ headerTimeoutMs, idleTimeoutMs });
}

function hasOddWeight(resource: Resource): boolean {
  if (resource.kind !== 'route') return false;
  return (resource.targets ?? []).some(({ weight }) => !(weight <= MAX_WEIGHT));
}

function isTooLong(value: unknown): boolean {
  return typeof value === 'string' && value.length > MAX_TEXT_LENGTH;
}

function isTime(milliseconds: number): boolean {
  return milliseconds > 0 && milliseconds <= MAX_TIMEOUT_MS;
}
