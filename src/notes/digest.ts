/** Digests of resources, notes and configurations. */
import { hash } from 'node:crypto';
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
  return addDigest(digest, buildResourceDigest(resource));
}

/** Removes one resource from a set digest. */
export function removeFromSetDigest(digest: SetDigest, resource: Resource): SetDigest {
  const own = buildResourceDigest(resource);
  knownDigests.delete(resource);
  return removeDigest(digest, own);
}

/** Adds the digests of two sets that have no element in common. */
export function addDigest(digest: SetDigest, other: SetDigest): SetDigest {
  return (digest + other) & SET_DIGEST_MASK;
}

/** Removes the elements of a subset from the digest of a set. */
export function removeDigest(digest: SetDigest, subset: SetDigest): SetDigest {
  return (digest - subset) & SET_DIGEST_MASK;
}

/** Builds the digest of the set that holds one resource. */
export function buildResourceDigest(resource: Resource): SetDigest {
  const known = knownDigests.get(resource);
  if (known !== undefined) return known;
  const hex = hash('sha256', formatCanonical(resource), 'hex');
  const digest = BigInt(`0x${hex.slice(0, SET_DIGEST_HEX_DIGITS)}`);
  knownDigests.set(resource, digest);
  return digest;
}

/** Formats a set digest as 32 hexadecimal digits. */
export function formatSetDigest(digest: SetDigest): Digest {
  return digest.toString(16).padStart(SET_DIGEST_HEX_DIGITS, '0') as Digest;
}

/** Returns the SHA-256 digest of the canonical JSON text of a value. */
export function digestValue(value: unknown): Digest {
  return hash('sha256', formatCanonical(value), 'hex') as Digest;
}

/**
 * Builds the digest under which the key of a client account is kept and compared. It needs no salt and no slow hash
 * function, because keys are random texts and not passwords.
 */
export function buildKeyDigest(key: AccountKey): KeyDigest {
  return hash('sha256', key, 'base64url') as KeyDigest;
}

/** Returns whether two values have the same canonical text. */
export function isSameValue(left: unknown, right: unknown): boolean {
  if (left === right) return true;
  if (typeof left !== 'object' || typeof right !== 'object') return false;
  if (left === null || right === null) return false;
  if (Array.isArray(left) !== Array.isArray(right)) return false;
  if (Array.isArray(left) && left.length !== (right as readonly unknown[]).length) return false;
  const [own, other] = [left, right] as Readonly<Record<string, unknown>>[];
  if (own === undefined || other === undefined) return false;
  for (const name of Object.keys(own)) if (!isSameValue(own[name], other[name])) return false;
  for (const name of Object.keys(other)) {
    if (own[name] === undefined && other[name] !== undefined) return false;
  }
  return true;
}

/** Formats a value as JSON with sorted keys and without undefined members. */
export function formatCanonical(value: unknown): string {
  if (typeof value === 'boolean' || Number.isFinite(value)) return String(value);
  if (typeof value !== 'object' || value === null) return JSON.stringify(value);
  if (Array.isArray(value)) return `[${value.map(formatItem).join(',')}]`;
  const members = value as Readonly<Record<string, unknown>>;
  const texts: string[] = [];
  for (const name of Object.keys(members).sort()) {
    const member = members[name];
    if (member !== undefined) texts.push(`${JSON.stringify(name)}:${formatCanonical(member)}`);
  }
  return `{${texts.join(',')}}`;
}

// Internals.

/** The digests of resources in use: notes and distribution need those of the same objects, and again to remove them. */
const knownDigests = new WeakMap<Resource, SetDigest>();
const SET_DIGEST_BITS = 128n;
const SET_DIGEST_MASK = (1n << SET_DIGEST_BITS) - 1n;
const SET_DIGEST_HEX_DIGITS = 32;

/** JSON has no undefined items. */
function formatItem(item: unknown): string {
  return item === undefined ? 'null' : formatCanonical(item);
}
