/** Digests of resources, notes and configurations. */
import { createHash } from 'node:crypto';
import type { AccountKey, Digest, KeyDigest } from '../ids.js';
import type { Resource } from '../messages/index.js';

/**
 * The digest of a set: the sum, modulo 2^128, of one hash per element. Adding or removing an element takes
 * constant time, and the order of the elements does not matter.
 */
export type SetDigest = bigint;

/** The digest of the empty set. */
export const EMPTY_SET_DIGEST: SetDigest = 0n;

/** Adds one resource to a set digest. */
export function addToSetDigest(digest: SetDigest, resource: Resource): SetDigest {
  return (digest + hashResource(resource)) & SET_DIGEST_MASK;
}

/** Removes one resource from a set digest. */
export function removeFromSetDigest(digest: SetDigest, resource: Resource): SetDigest {
  return (digest - hashResource(resource)) & SET_DIGEST_MASK;
}

/** Formats a set digest as 32 hexadecimal digits. */
export function formatSetDigest(digest: SetDigest): Digest {
  return digest.toString(16).padStart(SET_DIGEST_HEX_DIGITS, '0') as Digest;
}

/** Returns the SHA-256 digest of the canonical JSON text of a value. */
export function digestValue(value: unknown): Digest {
  return createHash('sha256').update(formatCanonical(value)).digest('hex') as Digest;
}

/**
 * Builds the digest under which the key of a client account is kept and compared. It needs no salt and no slow hash
 * function, because keys are random texts and not passwords.
 */
export function buildKeyDigest(key: AccountKey): KeyDigest {
  return createHash('sha256').update(key).digest('base64url') as KeyDigest;
}

/** Formats a value as JSON with sorted keys and without undefined members. */
export function formatCanonical(value: unknown): string {
  return JSON.stringify(value, sortMembers);
}

// Internals.

const SET_DIGEST_BITS = 128n;
const SET_DIGEST_MASK = (1n << SET_DIGEST_BITS) - 1n;
const SET_DIGEST_HEX_DIGITS = 32;

function hashResource(resource: Resource): bigint {
  const hex = createHash('sha256').update(formatCanonical(resource)).digest('hex');
  return BigInt(`0x${hex.slice(0, SET_DIGEST_HEX_DIGITS)}`);
}

function sortMembers(_key: string, value: unknown): unknown {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) return value;
  const members = Object.entries(value);
  members.sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(members);
}
