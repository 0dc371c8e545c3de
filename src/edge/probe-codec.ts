/** The encoding of the failure detector's datagrams: MessagePack of short arrays. */
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

/** Longer datagrams would be split on their way, and lost with any of their parts. */
export const MAX_DATAGRAM_BYTES = 1_400;

/** Encodes a message; updates that do not fit are left out from the end. */
export function encodeProbe(message: ProbeMessage): Buffer {
  const [head, updates] = formFields(message);
  for (let count = updates.length; ; count -= 1) {
    const bytes = packr.pack([...head, ...updates.slice(0, count).map(encodeUpdate)]);
    if (bytes.length <= MAX_DATAGRAM_BYTES || count === 0) return bytes;
  }
}

/** Decodes a datagram; throws when the bytes are no message. Updates that are none are left out. */
export function decodeProbe(bytes: Buffer, notifyDropped: NotifyDropped): ProbeMessage {
  const fields = readList(packr.unpack(bytes));
  const from = readHost(fields[1]);
  const decodeFrom = (start: number): MemberUpdate[] => {
    return decodeParts(fields.slice(start), decodeUpdate, notifyDropped);
  };
  switch (fields[0]) {
    case PING: {
      const to = fields[3] === null ? undefined : readHost(fields[3]);
      const sequence = readCount(fields[2]);
      return { kind: 'ping', from, sequence, to, updates: decodeFrom(4) };
    }
    case ACK:
      return {
        kind: 'ack',
        from,
        sequence: readCount(fields[2]),
        updates: decodeFrom(3),
      };
    case PING_REQUEST:
      return {
        kind: 'ping-request',
        from,
        sequence: readCount(fields[2]),
        target: readHost(fields[3]),
        address: parseAddress(readText(fields[4])),
        updates: decodeFrom(5),
      };
    case NACK:
      return { kind: 'nack', from, sequence: readCount(fields[2]) };
    case GOSSIP:
      return { kind: 'gossip', from, updates: decodeFrom(2) };
    default:
      throw new MemberCodecError('no datagram has this tag');
  }
}

// Internals.

const PING = 0;
const ACK = 1;
const PING_REQUEST = 2;
const NACK = 3;
const GOSSIP = 4;
const packr = new Packr({ useRecords: false });

function formFields(message: ProbeMessage): [head: unknown[], updates: readonly MemberUpdate[]] {
  switch (message.kind) {
    case 'ping': {
      const { from, sequence, to, updates } = message;
      return [[PING, from, sequence, to ?? null], updates];
    }
    case 'ack':
      return [[ACK, message.from, message.sequence], message.updates];
    case 'ping-request': {
      const { from, sequence, target, address, updates } = message;
      return [[PING_REQUEST, from, sequence, target, address], updates];
    }
    case 'nack':
      return [[NACK, message.from, message.sequence], []];
    case 'gossip':
      return [[GOSSIP, message.from], message.updates];
  }
}
