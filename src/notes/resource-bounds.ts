/**
 * The bounds of resources, for every front end. Every proxy can process resources within these bounds. They are
 * checked before a command enters the log, because the decision on a committed command must never change.
 */
import type {
  ClientAccountResource,
  NoteCommand,
  NoteFault,
  Resource,
  RolloutCommand,
} from '../messages/index.js';
import { buildKey } from '../messages/index.js';

/** The maximum length of a text in messages that distribute versions, in characters. */
export const MAX_TEXT_CHARACTERS = 1_024;
/** The maximum timeout, one day; Node.js timers support at most 24 days. */
export const MAX_TIMEOUT_MS = 86_400_000;

/** The maximum number of keys of a client account. */
export const MAX_KEYS_PER_ACCOUNT = 10;
/** The maximum number of client accounts of a configuration. */
export const MAX_CLIENT_ACCOUNTS = 1_000;

/** The maximum time for a roll-out, one day. */
export const MAX_ROLLOUT_MS = 86_400_000;

/** Lists the faults of a command of a roll-out that is out of bounds. */
export function listRolloutFaults(command: RolloutCommand): NoteFault[] {
  if (command.kind === 'start-rollout') {
    const durationMs = command.deadline - command.startedAt;
    if (durationMs > 0 && durationMs <= MAX_ROLLOUT_MS) return [];
    return [
      { place: 'duration', message: `expected more than 0 and at most ${MAX_ROLLOUT_MS} ms` },
    ];
  }
  if (command.kind !== 'step-rollout' || (command.share >= 0 && command.share <= 1)) return [];
  return [{ place: 'share', message: 'expected 0 to 1' }];
}

/** Lists the faults of the resources in a command that are out of bounds. */
export function listBoundFaults(command: NoteCommand): NoteFault[] {
  return listResources(command).flatMap((resource) => {
    const place = buildKey(resource);
    return listFaults(resource, place).map((message) => ({ place, message }));
  });
}

// Internals.

/** The maximum weight of a target. Up to it, sums and differences of weights are exact enough for the shares. */
const MAX_WEIGHT = 1_000_000_000;
/** The maximum worth, rate and burst of a client account. */
const MAX_ACCOUNT_NUMBER = 1_000_000_000;

function listResources(command: NoteCommand): readonly Resource[] {
  switch (command.kind) {
    case 'submit':
    case 'amend':
      return [...command.draft.add, ...command.draft.change];
    case 'replace':
      return command.changes.flatMap((change) => (change.op === 'put' ? change.resource : []));
    default:
      return [];
  }
}

function listFaults(resource: Resource, key: string): string[] {
  const texts = Object.entries({ key, ...resource }).filter(([, value]) => isTooLong(value));
  const timeouts = listTimeouts(resource).filter(([, value]) => !isValidTimeout(value));
  return [
    ...texts.map(([field]) => `${field}: longer than ${MAX_TEXT_CHARACTERS} characters`),
    ...timeouts.map(([field]) => `${field}: expected at most ${MAX_TIMEOUT_MS} ms`),
    ...(resource.kind === 'rollout' ? ['a roll-out is no part of a note; order it'] : []),
    ...(resource.kind === 'client-account' ? listAccountFaults(resource) : []),
    ...(hasExcessiveWeight(resource) ? [`targets: a weight is above ${MAX_WEIGHT}`] : []),
  ];
}

function listAccountFaults({ keys, worth = 0, ...limits }: ClientAccountResource): string[] {
  const { ratePerSecond = 0, burst = 0 } = limits;
  const numbers = Object.entries({ worth, ratePerSecond, burst });
  const invalid = numbers.filter(([, value]) => !(value >= 0 && value <= MAX_ACCOUNT_NUMBER));
  return [
    ...invalid.map(([field]) => `${field}: expected 0 to ${MAX_ACCOUNT_NUMBER}`),
    ...(keys.length > MAX_KEYS_PER_ACCOUNT ? [`keys: more than ${MAX_KEYS_PER_ACCOUNT}`] : []),
  ];
}

function listTimeouts(resource: Resource): [field: string, milliseconds: number][] {
  if (resource.kind === 'request-kind') {
    const { timeoutMs, targetLatencyMs = timeoutMs } = resource;
    return Object.entries({ timeoutMs, targetLatencyMs });
  }
  if (resource.kind !== 'limits') return [];
  const { headerTimeoutMs, idleTimeoutMs } = resource;
  return Object.entries({ headerTimeoutMs, idleTimeoutMs });
}

function hasExcessiveWeight(resource: Resource): boolean {
  if (resource.kind !== 'route') return false;
  return (resource.targets ?? []).some(({ weight }) => !(weight <= MAX_WEIGHT));
}

function isTooLong(value: unknown): boolean {
  return typeof value === 'string' && value.length > MAX_TEXT_CHARACTERS;
}

function isValidTimeout(milliseconds: number): boolean {
  return milliseconds > 0 && milliseconds <= MAX_TIMEOUT_MS;
}
