/** Decides on a replacement of the whole configuration, and forms what it changes. */
import type { NoteNumber, ResourceKey } from '../ids.js';
import type {
  Change,
  NoteAnswer,
  NoteDraft,
  ReplaceCommand,
  Replacement,
  Resource,
} from '../messages/index.js';
import { formKey } from '../messages/index.js';
import type { NoteTables } from './decide-edit.js';
import { formatCanonical } from './digest.js';

/** Forms the command of a replacement: what it changes in the configuration that is held now. */
export function formReplaceCommand(
  { whole }: Pick<NoteTables, 'whole'>,
  { number, base, resources, document, digest }: Replacement,
): ReplaceCommand {
  const next = new Map(resources.map((resource) => [formKey(resource), resource]));
  const changes: Change[] = [];
  for (const [key, resource] of next) {
    if (!isSame(whole.find(key), resource)) changes.push({ op: 'put', resource });
  }
  for (const key of whole.listKeys()) if (!next.has(key)) changes.push({ op: 'remove', key });
  return { kind: 'replace', number, base, against: whole.version, changes, document, digest };
}

/** Returns the answer that ends a replacement which cannot take effect; none when nothing forbids it. */
export function findReplaceRefusal(
  { whole }: NoteTables,
  newest: NoteNumber | undefined,
  { number, base, against }: ReplaceCommand,
): NoteAnswer | undefined {
  if (base !== newest || against !== whole.version) return { kind: 'stale-base', current: newest };
  if (newest === undefined || number > newest) return undefined;
  const message = `must be above ${newest}, the number of the present configuration`;
  return { kind: 'refused', faults: [{ place: 'number', message }] };
}

/** Forms the note that a replacement amounts to. It supersedes whatever it overwrites. */
export function formReplaceDraft(
  { whole, layers }: NoteTables,
  { number, changes }: ReplaceCommand,
): NoteDraft {
  const add: Resource[] = [];
  const change: Resource[] = [];
  const withdraw: ResourceKey[] = [];
  const supersedes = new Set<NoteNumber>();
  for (const one of changes) {
    const key = one.op === 'put' ? formKey(one.resource) : one.key;
    const below = layers.findTop(key);
    if (below !== undefined) supersedes.add(below.note);
    if (one.op === 'remove') withdraw.push(key);
    else if (whole.find(key) === undefined) add.push(one.resource);
    else change.push(one.resource);
  }
  const title = 'replacement of the whole configuration';
  return { number, title, add, change, withdraw, supersedes: [...supersedes] };
}

// Internals.

function isSame(former: Resource | undefined, next: Resource): boolean {
  return former !== undefined && formatCanonical(former) === formatCanonical(next);
}
