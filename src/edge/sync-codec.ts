/** The compact form of anti-entropy messages as the link carries them. */
import type { EntrySummary, SyncMessage } from '../messages/index.js';
import type { NotifyDropped } from './member-codec.js';
import {
  decodeParts,
  decodeUpdate,
  encodeUpdate,
  MemberCodecError,
  readCount,
  readHost,
  readIncarnation,
  readList,
} from './member-codec.js';

/** Encodes a message as nested arrays, which the link then packs. */
export function encodeSync(message: SyncMessage): unknown[] {
  switch (message.kind) {
    case 'sync-root':
      return [ROOT, message.root];
    case 'sync-same':
      return [SAME];
    case 'sync-buckets':
      return [BUCKETS, message.digests];
    case 'sync-entries': {
      const entries = message.entries.flatMap(({ host, incarnation }) => [host, incarnation]);
      return [ENTRIES, message.buckets, entries];
    }
    case 'sync-updates':
      return [UPDATES, message.updates.map(encodeUpdate), message.wanted];
  }
}

/** Decodes the body of a link's message; throws when it is none. Parts of lists that are none are left out. */
export function decodeSync(body: unknown, notifyDropped: NotifyDropped): SyncMessage {
  const fields = readList(body);
  switch (fields[0]) {
    case ROOT:
      return { kind: 'sync-root', root: readCount(fields[1]) };
    case SAME:
      return { kind: 'sync-same' };
    case BUCKETS:
      return { kind: 'sync-buckets', digests: readList(fields[1]).map(readCount) };
    case ENTRIES: {
      const buckets = readList(fields[1]).map(readCount);
      return {
        kind: 'sync-entries',
        buckets,
        entries: decodeEntries(readList(fields[2]), notifyDropped),
      };
    }
    case UPDATES: {
      const updates = decodeParts(readList(fields[1]), decodeUpdate, notifyDropped);
      const wanted = decodeParts(readList(fields[2]), readHost, notifyDropped);
      return { kind: 'sync-updates', updates, wanted };
    }
    default:
      throw new MemberCodecError('no anti-entropy message has this tag');
  }
}

// Internals.

const ROOT = 0;
const BUCKETS = 1;
const ENTRIES = 2;
const UPDATES = 3;
const SAME = 4;

function decodeEntries(values: readonly unknown[], notifyDropped: NotifyDropped): EntrySummary[] {
  const pairs: unknown[] = [];
  for (let index = 0; index < values.length; index += 2) pairs.push(values.slice(index, index + 2));
  return decodeParts(pairs, decodeEntry, notifyDropped);
}

function decodeEntry(pair: unknown): EntrySummary {
  const [host, incarnation] = readList(pair);
  return { host: readHost(host), incarnation: readIncarnation(incarnation) };
}
