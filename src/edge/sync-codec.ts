/** The compact encoding of anti-entropy messages on links. */
import type { EntryIncarnation, SyncMessage } from '../messages/index.js';
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

/** Encodes a message as nested arrays; the link packs them as MessagePack. */
export function encodeSync(message: SyncMessage): unknown[] {
  switch (message.kind) {
    case 'sync-root':
      return [ROOT_TAG, message.root];
    case 'sync-same':
      return [SAME_TAG];
    case 'sync-buckets':
      return [BUCKETS_TAG, message.digests];
    case 'sync-entries': {
      const entries = message.entries.flatMap(({ host, incarnation }) => [host, incarnation]);
      return [ENTRIES_TAG, message.buckets, entries];
    }
    case 'sync-updates':
      return [UPDATES_TAG, message.updates.map(encodeUpdate), message.wanted];
  }
}

/** Decodes the body of a link message; throws if it is malformed. Malformed list elements are dropped. */
export function decodeSync(body: unknown, notifyDropped: NotifyDropped): SyncMessage {
  const fields = readList(body);
  switch (fields[0]) {
    case ROOT_TAG:
      return { kind: 'sync-root', root: readCount(fields[1]) };
    case SAME_TAG:
      return { kind: 'sync-same' };
    case BUCKETS_TAG:
      return { kind: 'sync-buckets', digests: readList(fields[1]).map(readCount) };
    case ENTRIES_TAG: {
      const buckets = readList(fields[1]).map(readCount);
      return {
        kind: 'sync-entries',
        buckets,
        entries: decodeEntries(readList(fields[2]), notifyDropped),
      };
    }
    case UPDATES_TAG: {
      const updates = decodeParts(readList(fields[1]), decodeUpdate, notifyDropped);
      const wanted = decodeParts(readList(fields[2]), readHost, notifyDropped);
      return { kind: 'sync-updates', updates, wanted };
    }
    default:
      throw new MemberCodecError('unknown tag of an anti-entropy message');
  }
}

// Internals.

const ROOT_TAG = 0;
const BUCKETS_TAG = 1;
const ENTRIES_TAG = 2;
const UPDATES_TAG = 3;
const SAME_TAG = 4;

function decodeEntries(
  values: readonly unknown[],
  notifyDropped: NotifyDropped,
): EntryIncarnation[] {
  const pairs: unknown[] = [];
  for (let index = 0; index < values.length; index += 2) pairs.push(values.slice(index, index + 2));
  return decodeParts(pairs, decodeEntry, notifyDropped);
}

function decodeEntry(pair: unknown): EntryIncarnation {
  const [host, incarnation] = readList(pair);
  return { host: readHost(host), incarnation: readIncarnation(incarnation) };
}
