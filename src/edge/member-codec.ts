/**
 * The compact encoding of membership messages: arrays instead of objects, and only the port of an address
 * on the same host as the control address. Decoding validates every field, because datagrams are not
 * authenticated.
 */
import { NEVER } from '../clock.js';
import type { Address, Digest, HostId, Incarnation, Version } from '../ids.js';
import {
  parseAddress,
  parseDataCentreId,
  parseHostId,
  parseInstanceId,
  parseRegionId,
  parseServerVersion,
  parseServiceName,
  splitAddress,
} from '../ids.js';
import type { Announcement, Member, MemberUpdate, ServerState } from '../messages/index.js';

/** Thrown when a value is not a valid membership message. */
export class MemberCodecError extends Error {
  override readonly name = 'MemberCodecError';
}

/** Encodes an update as an array of strings and numbers. */
export function encodeUpdate(update: MemberUpdate): unknown[] {
  switch (update.kind) {
    case 'record':
      return encodeRecord(update.member);
    case 'status':
      return [LIVENESS_BY_TAG.indexOf(update.liveness), update.host, update.incarnation];
    case 'crash-seen':
      return [CRASH_SEEN_TAG, update.fingerprint, update.server, Math.round(update.remainingMs)];
    case 'run-left':
      return encodeRunLeft(update);
  }
}

/** Decodes an update; throws a {@link MemberCodecError} or an `IdError` if it is malformed. */
export function decodeUpdate(value: unknown): MemberUpdate {
  const fields = readList(value);
  const tag = readCount(fields[0]);
  if (tag === RECORD_TAG) return { kind: 'record', member: decodeRecord(fields) };
  if (tag === CRASH_SEEN_TAG) return decodeCrash(fields);
  if (tag === RUN_LEFT_TAG) return decodeRunLeft(fields);
  const liveness = LIVENESS_BY_TAG[tag];
  if (liveness === undefined) throw new MemberCodecError(`no update has the tag ${tag}`);
  return {
    kind: 'status',
    host: readHost(fields[1]),
    incarnation: readIncarnation(fields[2]),
    liveness,
  };
}

/** Called with the reason when a part of a message is dropped. */
export type NotifyDropped = (reason: string) => void;

/** Decodes a list element by element. A malformed element is dropped; the others remain valid. */
export function decodeParts<T>(
  parts: readonly unknown[],
  decode: (part: unknown) => T,
  notifyDropped: NotifyDropped,
): T[] {
  return parts.flatMap((part) => {
    try {
      return [decode(part)];
    } catch (error) {
      notifyDropped((error as Error).message);
      return [];
    }
  });
}

/** Returns the value if it is an array; throws otherwise. */
export function readList(value: unknown): readonly unknown[] {
  if (Array.isArray(value)) return value;
  throw new MemberCodecError('expected a list');
}

/** Returns the value if it is a string; throws otherwise. */
export function readText(value: unknown): string {
  if (typeof value === 'string') return value;
  throw new MemberCodecError('expected a string');
}

/** Returns the value if it is a non-negative safe integer; throws otherwise. */
export function readCount(value: unknown): number {
  if (typeof value === 'number' && Number.isSafeInteger(value) && value >= 0) return value;
  throw new MemberCodecError('expected a whole number from 0');
}

/** Returns the value if it is a valid host id; throws otherwise. */
export function readHost(value: unknown): HostId {
  return parseHostId(readText(value));
}

/** Returns the value if it is a valid incarnation; throws otherwise. */
export function readIncarnation(value: unknown): Incarnation {
  const count = readCount(value);
  if (count > MAX_INCARNATION) throw new MemberCodecError('the incarnation is out of range');
  return count as Incarnation;
}

// Internals.

const RECORD_TAG = 0;
/** The tag of a status update is its index in this list; records (0), crashes (4) and runs (5) have their own tags. */
const LIVENESS_BY_TAG = [undefined, 'suspect', 'dead', 'left'] as const;
const CRASH_SEEN_TAG = 4;
const RUN_LEFT_TAG = 5;
const SERVER_STATES: readonly ServerState[] = [
  'starting',
  'ready',
  'draining',
  'leaving',
  'failing',
];
const RECORD_FIELDS = 10;
const SERVER_FIELDS = 5;
const MAX_REMAINING_MS = 86_400_000;
const MAX_FINGERPRINT_LENGTH = 128;
const MAX_PASS_LENGTH = 64;
/** Below the largest safe integer, so that a member can still raise its incarnation to refute a suspicion. */
const MAX_INCARNATION = Number.MAX_SAFE_INTEGER - 2 ** 32;

function encodeRecord(member: Member): unknown[] {
  const { control } = member;
  const servers = member.servers.flatMap((server) => encodeServer(server, control));
  return [
    RECORD_TAG,
    member.host,
    member.incarnation,
    member.region,
    member.dataCentre,
    control,
    encodeRelativeAddress(member.calls, control),
    member.version,
    member.pass,
    member.isSource ? 1 : 0,
    ...servers,
  ];
}

/** The version shares a field with the state, so that records without versions stay as they were. */
function encodeServer(server: Announcement, control: Address): unknown[] {
  const { service, slots, connections, state, version } = server;
  const address = encodeRelativeAddress(server.address, control);
  const tag = SERVER_STATES.indexOf(state);
  return [service, address, slots, connections, version === undefined ? tag : [tag, version]];
}

/** Encodes an address on the same host as `control` as its port alone. */
function encodeRelativeAddress(address: Address, control: Address): string | number {
  const { host, port } = splitAddress(address);
  return host === splitAddress(control).host ? port : address;
}

function decodeRelativeAddress(value: unknown, control: Address): Address {
  if (typeof value !== 'number') return parseAddress(readText(value));
  const prefix = control.slice(0, control.lastIndexOf(':'));
  return parseAddress(`${prefix}:${readCount(value)}`);
}

function decodeRecord(fields: readonly unknown[]): Member {
  const control = parseAddress(readText(fields[5]));
  const servers: Announcement[] = [];
  for (let start = RECORD_FIELDS; start < fields.length; start += SERVER_FIELDS) {
    servers.push(decodeServer(fields.slice(start, start + SERVER_FIELDS), control));
  }
  return {
    host: readHost(fields[1]),
    incarnation: readIncarnation(fields[2]),
    region: parseRegionId(readText(fields[3])),
    dataCentre: parseDataCentreId(readText(fields[4])),
    control,
    calls: decodeRelativeAddress(fields[6], control),
    version: readCount(fields[7]) as Version,
    pass: readPass(fields[8]),
    isSource: readCount(fields[9]) === 1,
    liveness: 'alive',
    servers,
  };
}

function readPass(value: unknown): string {
  const pass = readText(value);
  if (pass.length > MAX_PASS_LENGTH) throw new MemberCodecError('the pass is too long');
  return pass;
}

function decodeServer(fields: readonly unknown[], control: Address): Announcement {
  const [tag, version] = Array.isArray(fields[4]) ? readList(fields[4]) : [fields[4]];
  const state = SERVER_STATES[readCount(tag)];
  if (state === undefined) throw new MemberCodecError('unknown state of a backend server');
  return {
    service: parseServiceName(readText(fields[0])),
    address: decodeRelativeAddress(fields[1], control),
    slots: readCount(fields[2]),
    connections: readCount(fields[3]),
    state,
    ...(version === undefined ? {} : { version: parseServerVersion(readText(version)) }),
    heartbeatDeadline: NEVER,
  };
}

function decodeCrash(fields: readonly unknown[]): MemberUpdate {
  const fingerprint = readText(fields[1]) as Digest;
  if (fingerprint.length > MAX_FINGERPRINT_LENGTH) {
    throw new MemberCodecError('the fingerprint is too long');
  }
  return {
    kind: 'crash-seen',
    fingerprint,
    server: parseAddress(readText(fields[2])),
    remainingMs: readRemainingMs(fields[3]),
  };
}

function encodeRunLeft(update: Extract<MemberUpdate, { kind: 'run-left' }>): unknown[] {
  const { host, instance, life, remainingMs } = update;
  return [RUN_LEFT_TAG, host, instance, life, Math.round(remainingMs)];
}

function decodeRunLeft(fields: readonly unknown[]): MemberUpdate {
  return {
    kind: 'run-left',
    host: readHost(fields[1]),
    instance: parseInstanceId(readText(fields[2])),
    life: readCount(fields[3]),
    remainingMs: readRemainingMs(fields[4]),
  };
}

function readRemainingMs(value: unknown): number {
  return Math.min(readCount(value), MAX_REMAINING_MS);
}
