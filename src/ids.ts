/**
 * Branded ids: values that share a runtime type but must never be mixed up.
 *
 * Each id has a `parse…` function that checks its input; the rest of the program passes ids on and
 * never casts.
 */

declare const brand: unique symbol;

/** A value of type `T` that the compiler tells apart from every other brand. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name };

/** Identifies a host, unique across all regions. */
export type HostId = Branded<string, 'HostId'>;
/** Identifies a data centre, unique across all regions. */
export type DataCentreId = Branded<string, 'DataCentreId'>;
/** Identifies a region, a group of data centres. */
export type RegionId = Branded<string, 'RegionId'>;
/** An `ip:port` pair; host names are not allowed. IPv6 addresses stand in brackets. */
export type Address = Branded<string, 'Address'>;
/** Names a service of the mesh. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** Names a kind of request, which carries its worth, time limit and idempotency. */
export type RequestKindName = Branded<string, 'RequestKindName'>;
/** Names a generation of the mesh, for example the old one and its replacement. */
export type Generation = Branded<string, 'Generation'>;
/** Identifies a resource of the configuration: its kind and its name, `kind/name`. */
export type ResourceKey = Branded<string, 'ResourceKey'>;
/** The number that an operator gives to a release note; a positive integer. */
export type NoteNumber = Branded<number, 'NoteNumber'>;
/** Counts the accepted amendments of one note, from 1. */
export type Revision = Branded<number, 'Revision'>;
/** A configuration version; the empty configuration is 0 and versions have no gap. */
export type Version = Branded<number, 'Version'>;
/** A hexadecimal digest. */
export type Digest = Branded<string, 'Digest'>;
/** An election term of the replicated log. */
export type Term = Branded<number, 'Term'>;
/** The position of an entry in a replicated log; the first entry is 1. */
export type LogIndex = Branded<number, 'LogIndex'>;
/** Identifies one life of a replica's data folder; an emptied folder gets a fresh one. */
export type ReplicaId = Branded<string, 'ReplicaId'>;
/** Identifies one request towards a task, so that its answer can be matched. */
export type RequestId = Branded<string, 'RequestId'>;
/** Identifies one call of a caller. */
export type CallId = Branded<string, 'CallId'>;
/** Identifies one attempt of a call at one backend server. */
export type AttemptId = Branded<string, 'AttemptId'>;
/** The caller's key that makes a non-idempotent call safe to send again. */
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>;
/** Identifies a caller (a member or a fitter) for the split between generations. */
export type CallerId = Branded<string, 'CallerId'>;
/** Identifies one life of a backend server, as it calls itself. */
export type InstanceId = Branded<string, 'InstanceId'>;
/** Counts the lives of a member, so that it can refute a false suspicion. */
export type Incarnation = Branded<number, 'Incarnation'>;
/** A point in time: milliseconds since the Unix epoch. Deadlines are stored in this unit. */
export type Instant = Branded<number, 'Instant'>;

/** Thrown when a text or number is not a valid id; the message says what is expected. */
export class IdError extends Error {
  override readonly name = 'IdError';
}

/** Checks a host id: letters, digits, `.`, `_` and `-`, at most 128 characters. */
export function parseHostId(text: string): HostId {
  return checkName(text, 'host') as HostId;
}

/** Checks a data centre id; same form as {@link parseHostId}. */
export function parseDataCentreId(text: string): DataCentreId {
  return checkName(text, 'data centre') as DataCentreId;
}

/** Checks a region id; same form as {@link parseHostId}. */
export function parseRegionId(text: string): RegionId {
  return checkName(text, 'region') as RegionId;
}

/** Checks a service name; same form as {@link parseHostId}. */
export function parseServiceName(text: string): ServiceName {
  return checkName(text, 'service') as ServiceName;
}

/** Checks the name of a request kind; same form as {@link parseHostId}. */
export function parseRequestKindName(text: string): RequestKindName {
  return checkName(text, 'request kind') as RequestKindName;
}

/** Checks a generation; same form as {@link parseHostId}. */
export function parseGeneration(text: string): Generation {
  return checkName(text, 'generation') as Generation;
}

/** Checks a caller id: 1 to 256 printable ASCII characters. */
export function parseCallerId(text: string): CallerId {
  return checkPrintable(text, 'caller id') as CallerId;
}

/** Checks an idempotency key: 1 to 256 printable ASCII characters. */
export function parseIdempotencyKey(text: string): IdempotencyKey {
  return checkPrintable(text, 'Idempotency-Key') as IdempotencyKey;
}

/** Checks an instance id: 1 to 256 printable ASCII characters. */
export function parseInstanceId(text: string): InstanceId {
  return checkPrintable(text, 'instance id') as InstanceId;
}

/**
 * Checks an `ip:port` address; IPv6 addresses stand in brackets. What passes can be handed to a socket, and has one
 * spelling of its port.
 */
export function parseAddress(text: string): Address {
  const match = ADDRESS_PATTERN.exec(text);
  const port = Number(match?.groups?.port);
  const isBracketed = text.startsWith('[');
  if (match === null || port > MAX_PORT || (isBracketed && !URL.canParse(`http://${text}/`))) {
    throw new IdError(
      `"${text}" is not an address: write an IP number and a port from 1 to ${MAX_PORT}, "10.0.0.7:7000"`,
    );
  }
  return text as Address;
}

/** Checks a note number: a positive safe integer. */
export function parseNoteNumber(value: number): NoteNumber {
  if (!Number.isSafeInteger(value) || value < 1) {
    throw new IdError(`${value} is not a note number: write a whole number from 1`);
  }
  return value as NoteNumber;
}

/** Splits an address into its host (without brackets) and port. */
export function splitAddress(address: Address): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

/** The version of the empty configuration. */
export const NO_VERSION = 0 as Version;

// Internals.

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
const PRINTABLE_PATTERN = /^[\x21-\x7e]{1,256}$/;
const ADDRESS_PATTERN =
  /^(?:(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?!:)|(?=:))){4}|\[[0-9A-Fa-f:.]+\]):(?<port>[1-9]\d{0,4})$/;
const MAX_PORT = 65_535;

function checkName(text: string, what: string): string {
  if (NAME_PATTERN.test(text)) return text;
  throw new IdError(
    `"${text}" is not a ${what} name: use 1 to 128 letters, digits, ".", "_" or "-", starting with a letter or digit`,
  );
}

function checkPrintable(text: string, what: string): string {
  if (PRINTABLE_PATTERN.test(text)) return text;
  throw new IdError(`the ${what} must be 1 to 256 printable ASCII characters without spaces`);
}
