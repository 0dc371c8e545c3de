/** Checks a replacement of the whole configuration, and computes the changes that it makes. */
import type { NoteNumber, ResourceKey } from '../ids.js';
import type {
  Change,
  NoteAnswer,
  NoteDraft,
  ReplaceCommand,
  Replacement,
  Resource,
} from '../messages/index.js';
import { buildKey } from '../messages/index.js';
import type { NoteTables } from './decide-edit.js';
import { isSameValue } from './digest.js';

/** Builds the command of a replacement, with its changes relative to the current configuration. It keeps roll-outs. */
export function buildReplaceCommand(
  { whole: configuration }: Pick<NoteTables, 'whole'>,
  { number, base, resources, document, digest }: Replacement,
): ReplaceCommand {
  const next = new Map(resources.map((resource) => [buildKey(resource), resource]));
  const changes: Change[] = [];
  for (const [key, resource] of next) {
    if (!isSameResource(configuration.find(key), resource)) changes.push({ op: 'put', resource });
  }
  for (const key of configuration.listKeys()) {
    const isKept = next.has(key) || configuration.find(key)?.kind === 'rollout';
    if (!isKept) changes.push({ op: 'remove', key });
  }
  return {
    kind: 'replace',
    number,
    base,
    against: configuration.version,
    changes,
    document,
    digest,
  };
}

/**
 * Returns the answer that refuses a replacement; undefined if it may take effect. Steps of roll-outs since its
 * proposal don't matter, because they change no resource that a replacement changes.
 */
export function findReplaceRefusal(
  { whole: configuration, newestNoteVersion }: NoteTables,
  newest: NoteNumber | undefined,
  { number, base, against }: ReplaceCommand,
): NoteAnswer | undefined {
  const isCurrent = against >= newestNoteVersion && against <= configuration.version;
  if (base !== newest || !isCurrent) return { kind: 'stale-base', current: newest };
  if (newest === undefined || number > newest) return undefined;
  const message = `must be above ${newest}, the number of the present configuration`;
  return { kind: 'refused', faults: [{ place: 'number', message }] };
}

/** Builds the note equivalent to a replacement. It supersedes every note that it overrides. */
export function buildReplaceDraft(
  { whole: configuration, layers }: NoteTables,
  { number, changes }: ReplaceCommand,
): NoteDraft {
  const add: Resource[] = [];
  const change: Resource[] = [];
  const withdraw: ResourceKey[] = [];
  const supersedes = new Set<NoteNumber>();
  for (const entry of changes) {
    const key = entry.op === 'put' ? buildKey(entry.resource) : entry.key;
    const below = layers.findTop(key);
    if (below !== undefined) supersedes.add(below.note);
    if (entry.op === 'remove') withdraw.push(key);
    else if (configuration.find(key) === undefined) add.push(entry.resource);
    else change.push(entry.resource);
  }
  const title = 'replacement of the whole configuration';
  return { number, title, add, change, withdraw, supersedes: [...supersedes] };
}

// Internals.

function isSameResource(former: Resource | undefined, next: Resource): boolean {
  return former !== undefined && isSameValue(former, next);
}
