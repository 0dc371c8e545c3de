/**
 * The compact form of membership messages: arrays in place of objects, ports in place of addresses
 * that share the host of the control address. Reading checks everything, because datagrams may come
 * from anybody.
 */
import { NEVER } from '../clock.js';
import type { Address, Digest, HostId, Incarnation, Version } from '../ids.js';
import {
  parseAddress,
  parseDataCentreId,
  parseHostId,
  parseRegionId,
  parseServiceName,
  splitAddress,
} from '../ids.js';
import type { Announcement, Member, MemberUpdate, ServerState } from '../messages/index.js';

/** Thrown when a value is no membership message. */
export class MemberCodecError extends Error {
  override readonly name = 'MemberCodecError';
}

/** Encodes an update as nested arrays of texts and numbers. */
export function encodeUpdate(update: MemberUpdate): unknown[] {
  switch (update.kind) {
    case 'record':
      return encodeRecord(update.member);
    case 'status':
      return [LIVENESS.indexOf(update.liveness), update.host, update.incarnation];
    case 'crash-seen':
      return [CRASH_SEEN, update.fingerprint, update.server, Math.round(update.remainingMs)];
  }
}

/** Decodes an update; throws a {@link MemberCodecError} or an `IdError` when it is none. */
export function decodeUpdate(value: unknown): MemberUpdate {
  const fields = readList(value);
  const tag = readCount(fields[0]);
  if (tag === RECORD) return { kind: 'record', member: decodeRecord(fields) };
  if (tag === CRASH_SEEN) return decodeCrash(fields);
  const liveness = LIVENESS[tag];
  if (liveness === undefined) throw new MemberCodecError(`no update has the tag ${tag}`);
  return {
    kind: 'status',
    host: readHost(fields[1]),
    incarnation: readIncarnation(fields[2]),
    liveness,
  };
}

/** Hears why a part of a message was left out. */
export type NotifyDropped = (reason: string) => void;

/** Decodes a list part by part. A part that is none is left out alone, because its neighbours are as good as ever. */
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

/** Checks that a value is a list. */
export function readList(value: unknown): readonly unknown[] {
  if (Array.isArray(value)) return value;
  throw new MemberCodecError('expected a list');
}

/** Checks that a value is a text. */
export function readText(value: unknown): string {
  if (typeof value === 'string') return value;
  throw new MemberCodecError('expected a text');
}

/** Checks that a value is a whole number from 0. */
export function readCount(value: unknown): number {
  if (typeof value === 'number' && Number.isSafeInteger(value) && value >= 0) return value;
  throw new MemberCodecError('expected a whole number from 0');
}

/** Checks that a value is a host id. */
export function readHost(value: unknown): HostId {
  return parseHostId(readText(value));
}

/** Checks that a value is an incarnation. */
export function readIncarnation(value: unknown): Incarnation {
  const count = readCount(value);
  if (count > MAX_INCARNATION) throw new MemberCodecError('the incarnation is out of range');
  return count as Incarnation;
}

// Internals.

const RECORD = 0;
/** Statuses are tagged by their place in this list; records and crashes have tags of their own. */
const LIVENESS = [undefined, 'suspect', 'dead', 'left'] as const;
const CRASH_SEEN = 4;
const STATES: readonly ServerState[] = ['starting', 'ready', 'draining', 'leaving', 'failing'];
const RECORD_FIELDS = 10;
const SERVER_FIELDS = 5;
const MAX_REMAINING_MS = 86_400_000;
const MAX_FINGERPRINT_LENGTH = 128;
const MAX_PASS_LENGTH = 64;
/** Leaves room to refute: an incarnation must be able to rise further. */
const MAX_INCARNATION = Number.MAX_SAFE_INTEGER - 2 ** 32;

function encodeRecord(member: Member): unknown[] {
  const { control } = member;
  const servers = member.servers.flatMap((server) => encodeServer(server, control));
  return [
    RECORD,
    member.host,
    member.incarnation,
    member.region,
    member.dataCentre,
    control,
    encodeNear(member.calls, control),
    member.version,
    member.pass,
    member.isSource ? 1 : 0,
    ...servers,
  ];
}

function encodeServer(server: Announcement, control: Address): unknown[] {
  const { service, slots, connections, state } = server;
  const address = encodeNear(server.address, control);
  return [service, address, slots, connections, STATES.indexOf(state)];
}

/** An address on the same host as `control` needs only its port. */
function encodeNear(address: Address, control: Address): string | number {
  const { host, port } = splitAddress(address);
  return host === splitAddress(control).host ? port : address;
}

function decodeNear(value: unknown, control: Address): Address {
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
    calls: decodeNear(fields[6], control),
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
  const state = STATES[readCount(fields[4])];
  if (state === undefined) throw new MemberCodecError('unknown state of a backend server');
  return {
    service: parseServiceName(readText(fields[0])),
    address: decodeNear(fields[1], control),
    slots: readCount(fields[2]),
    connections: readCount(fields[3]),
    state,
    heartbeatDeadline: NEVER,
  };
}

function decodeCrash(fields: readonly unknown[]): MemberUpdate {
  const fingerprint = readText(fields[1]) as Digest;
  if (fingerprint.length > MAX_FINGERPRINT_LENGTH) {
    throw new MemberCodecError('the fingerprint is too long');
  }
  const remainingMs = Math.min(readCount(fields[3]), MAX_REMAINING_MS);
  return {
    kind: 'crash-seen',
    fingerprint,
    server: parseAddress(readText(fields[2])),
    remainingMs,
  };
}
