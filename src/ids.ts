/**
 * Branded ids: types that the compiler keeps distinct although they share a runtime type.
 *
 * Ids that come from outside have a `parse…` function that validates its input; the rest of the program
 * passes ids on without casts.
 */

declare const brand: unique symbol;

/** A value of type `T` that is not assignable to any other brand. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name };

/** Identifies a host, unique across all regions. */
export type HostId = Branded<string, 'HostId'>;
/** Identifies a data centre, unique across all regions. */
export type DataCentreId = Branded<string, 'DataCentreId'>;
/** Identifies a region, a group of data centres. */
export type RegionId = Branded<string, 'RegionId'>;
/** An `ip:port` pair, with IPv6 addresses in brackets. Host names are not allowed. */
export type Address = Branded<string, 'Address'>;
/** Names a service of the mesh. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** Names a kind of request, which defines the worth, timeout and idempotency of its calls. */
export type RequestKindName = Branded<string, 'RequestKindName'>;
/** Names a generation of the services in the mesh, for example the old generation or its replacement. */
export type Generation = Branded<string, 'Generation'>;
/** Identifies a resource of the configuration: its kind and its name, `kind/name`. */
export type ResourceKey = Branded<string, 'ResourceKey'>;
/** The number that an operator assigns to a release note; a positive integer. */
export type NoteNumber = Branded<number, 'NoteNumber'>;
/** The revision number of a note, which starts at 1 and increases with each accepted amendment. */
export type Revision = Branded<number, 'Revision'>;
/** A configuration version. The empty configuration is version 0, and versions have no gaps. */
export type Version = Branded<number, 'Version'>;
/** A hexadecimal digest. */
export type Digest = Branded<string, 'Digest'>;
/** An election term of the replicated log. */
export type Term = Branded<number, 'Term'>;
/** The index of an entry in a replicated log; the first entry has index 1. */
export type LogIndex = Branded<number, 'LogIndex'>;
/** Identifies a replica by its data folder; a replica whose folder was emptied gets a new id. */
export type ReplicaId = Branded<string, 'ReplicaId'>;
/** Identifies a request to a task, so that its answer can be matched. */
export type RequestId = Branded<string, 'RequestId'>;
/** Identifies one call of a caller. */
export type CallId = Branded<string, 'CallId'>;
/** Identifies one attempt of a call at one backend server. */
export type AttemptId = Branded<string, 'AttemptId'>;
/** A key that the caller sets so that a non-idempotent call can be safely retried. */
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>;
/** Identifies a caller (a member or a fitter) for the traffic split between generations. */
export type CallerId = Branded<string, 'CallerId'>;
/** Names a client account: the owner of the keys with which callers authenticate. */
export type ClientAccountName = Branded<string, 'ClientAccountName'>;
/** The key of a client account as its caller sends it. It is never logged, stored or passed on. */
export type AccountKey = Branded<string, 'AccountKey'>;
/** The SHA-256 digest of an {@link AccountKey} in base64url. */
export type KeyDigest = Branded<string, 'KeyDigest'>;
/** Identifies one life of a proxy process; a restarted proxy has a new one. */
export type ProxyLife = Branded<string, 'ProxyLife'>;
/** The number of a proxy's report or request to the grantor of allowances; it increases within one life. */
export type ReportNumber = Branded<number, 'ReportNumber'>;
/** A share of an account's limit in millionths, a whole number. */
export type Share = Branded<number, 'Share'>;
/** The machine's time of day in milliseconds since the Unix epoch; it can be set and can jump. */
export type TimeOfDay = Branded<number, 'TimeOfDay'>;
/** The version of a backend server's software, as the server announces it. */
export type ServerVersion = Branded<string, 'ServerVersion'>;
/** Identifies one run of a backend server, as the server names itself. */
export type InstanceId = Branded<string, 'InstanceId'>;
/**
 * The incarnation number of a member's record, which the member increments to publish a change or refute a
 * suspicion.
 */
export type Incarnation = Branded<number, 'Incarnation'>;
/** A point in time or a deadline, in milliseconds since the Unix epoch. */
export type Instant = Branded<number, 'Instant'>;

/** Thrown when a text or number is not a valid id. The message describes the expected form. */
export class IdError extends Error {
  override readonly name = 'IdError';
}

/** Parses a host id: letters, digits, `.`, `_` and `-`, at most 128 characters, the first a letter or digit. */
export function parseHostId(text: string): HostId {
  return checkName(text, 'host') as HostId;
}

/** Parses a data centre id, in the same form as {@link parseHostId}. */
export function parseDataCentreId(text: string): DataCentreId {
  return checkName(text, 'data centre') as DataCentreId;
}

/** Parses a region id, in the same form as {@link parseHostId}. */
export function parseRegionId(text: string): RegionId {
  return checkName(text, 'region') as RegionId;
}

/** Parses a service name, in the same form as {@link parseHostId}. */
export function parseServiceName(text: string): ServiceName {
  return checkName(text, 'service') as ServiceName;
}

/** Parses the name of a request kind, in the same form as {@link parseHostId}. */
export function parseRequestKindName(text: string): RequestKindName {
  return checkName(text, 'request kind') as RequestKindName;
}

/** Parses the name of a generation, in the same form as {@link parseHostId}. */
export function parseGeneration(text: string): Generation {
  return checkName(text, 'generation') as Generation;
}

/** Parses a caller id: 1 to 256 printable ASCII characters without spaces. */
export function parseCallerId(text: string): CallerId {
  return checkPrintable(text, 'caller id') as CallerId;
}

/** Parses an idempotency key: 1 to 256 printable ASCII characters without spaces. */
export function parseIdempotencyKey(text: string): IdempotencyKey {
  return checkPrintable(text, 'Idempotency-Key') as IdempotencyKey;
}

/** Parses the name of a client account: 1 to 256 printable ASCII characters without spaces. */
export function parseClientAccountName(text: string): ClientAccountName {
  return checkPrintable(text, 'client account name') as ClientAccountName;
}

/** Parses a key of a client account: 1 to 256 printable ASCII characters without spaces. */
export function parseAccountKey(text: string): AccountKey {
  return checkPrintable(text, 'account key') as AccountKey;
}

/** Parses the version of a backend server: 1 to 64 printable ASCII characters without spaces. */
export function parseServerVersion(text: string): ServerVersion {
  if (SERVER_VERSION_PATTERN.test(text)) return text as ServerVersion;
  throw new IdError('a version must be 1 to 64 printable ASCII characters without spaces');
}

/** Parses an instance id: 1 to 256 printable ASCII characters without spaces. */
export function parseInstanceId(text: string): InstanceId {
  return checkPrintable(text, 'instance id') as InstanceId;
}

/**
 * Parses an `ip:port` address, with IPv6 addresses in brackets. A valid address can be passed to a socket, and its
 * port has no leading zeros.
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

/** Validates a note number: a positive safe integer. */
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
const SERVER_VERSION_PATTERN = /^[\x21-\x7e]{1,64}$/;
const PRINTABLE_PATTERN = /^[\x21-\x7e]{1,256}$/;
const ADDRESS_PATTERN =
  /^(?:(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?!:)|(?=:))){4}|\[[0-9A-Fa-f:.]+\]):(?<port>[1-9]\d{0,4})$/;
const MAX_PORT = 65_535;

function checkName(text: string, label: string): string {
  if (NAME_PATTERN.test(text)) return text;
  throw new IdError(
    `"${text}" is not a ${label} name: use 1 to 128 letters, digits, ".", "_" or "-", starting with a letter or digit`,
  );
}

function checkPrintable(text: string, label: string): string {
  if (PRINTABLE_PATTERN.test(text)) return text;
  throw new IdError(`the ${label} must be 1 to 256 printable ASCII characters without spaces`);
}
