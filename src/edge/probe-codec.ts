/** The encoding of the failure detector's datagrams: MessagePack arrays that begin with a numeric tag. */
import { Packr } from 'msgpackr';
import { parseAddress } from '../ids.js';
import type { MemberUpdate, ProbeMessage } from '../messages/index.js';
import type { NotifyDropped } from './member-codec.js';
import {
  decodeParts,
  decodeUpdate,
  encodeUpdate,
  MemberCodecError,
  readCount,
  readHost,
  readList,
  readText,
} from './member-codec.js';

/** A longer datagram would be fragmented in transit, and the loss of any fragment would lose all of it. */
export const MAX_DATAGRAM_BYTES = 1_400;

/** Encodes a message; updates at the end of the list that do not fit are omitted. */
export function encodeProbe(message: ProbeMessage): Buffer {
  const [head, updates] = buildFields(message);
  for (let count = updates.length; ; count -= 1) {
    const bytes = packr.pack([...head, ...updates.slice(0, count).map(encodeUpdate)]);
    if (bytes.length <= MAX_DATAGRAM_BYTES || count === 0) return bytes;
  }
}

/** Decodes a datagram; throws if it is malformed. Malformed updates are dropped. */
export function decodeProbe(bytes: Buffer, notifyDropped: NotifyDropped): ProbeMessage {
  const fields = readList(packr.unpack(bytes));
  const from = readHost(fields[1]);
  const decodeUpdatesFrom = (start: number): MemberUpdate[] => {
    return decodeParts(fields.slice(start), decodeUpdate, notifyDropped);
  };
  switch (fields[0]) {
    case PING_TAG: {
      const to = fields[3] === null ? undefined : readHost(fields[3]);
      const sequence = readCount(fields[2]);
      return { kind: 'ping', from, sequence, to, updates: decodeUpdatesFrom(4) };
    }
    case ACK_TAG:
      return {
        kind: 'ack',
        from,
        sequence: readCount(fields[2]),
        updates: decodeUpdatesFrom(3),
      };
    case PING_REQUEST_TAG:
      return {
        kind: 'ping-request',
        from,
        sequence: readCount(fields[2]),
        target: readHost(fields[3]),
        address: parseAddress(readText(fields[4])),
        updates: decodeUpdatesFrom(5),
      };
    case NACK_TAG:
      return { kind: 'nack', from, sequence: readCount(fields[2]) };
    case GOSSIP_TAG:
      return { kind: 'gossip', from, updates: decodeUpdatesFrom(2) };
    case RECALL_TAG:
      return { kind: 'recall', from, sequence: readCount(fields[2]) };
    case RECALLED_TAG: {
      const [sequence, part, parts] = [fields[2], fields[3], fields[4]].map(readCount);
      if (sequence === undefined || part === undefined || parts === undefined)
        throw new MemberCodecError('the part of the answer has no number');
      return { kind: 'recalled', from, sequence, part, parts, updates: decodeUpdatesFrom(5) };
    }
    default:
      throw new MemberCodecError('unknown tag of a datagram');
  }
}

// Internals.

const PING_TAG = 0;
const ACK_TAG = 1;
const PING_REQUEST_TAG = 2;
const NACK_TAG = 3;
const GOSSIP_TAG = 4;
const RECALL_TAG = 5;
const RECALLED_TAG = 6;
const packr = new Packr({ useRecords: false });

function buildFields(message: ProbeMessage): [head: unknown[], updates: readonly MemberUpdate[]] {
  switch (message.kind) {
    case 'ping': {
      const { from, sequence, to, updates } = message;
      return [[PING_TAG, from, sequence, to ?? null], updates];
    }
    case 'ack':
      return [[ACK_TAG, message.from, message.sequence], message.updates];
    case 'ping-request': {
      const { from, sequence, target, address, updates } = message;
      return [[PING_REQUEST_TAG, from, sequence, target, address], updates];
    }
    case 'nack':
      return [[NACK_TAG, message.from, message.sequence], []];
    case 'gossip':
      return [[GOSSIP_TAG, message.from], message.updates];
    case 'recall':
      return [[RECALL_TAG, message.from, message.sequence], []];
    case 'recalled': {
      const { from, sequence, part, parts, updates } = message;
      return [[RECALLED_TAG, from, sequence, part, parts], updates];
    }
  }
}
