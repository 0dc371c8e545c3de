/** Digests of resources, notes and whole configurations. */
import { createHash } from 'node:crypto';
import type { Digest } from '../ids.js';
import type { Resource } from '../messages/index.js';

/**
 * A set digest: the sum, modulo 2^128, of one hash per element. Adding or removing an element costs
 * the same whatever the size of the set, and the order of the elements does not matter.
 */
export type SetSum = bigint;

/** The set digest of no elements. */
export const EMPTY_SUM: SetSum = 0n;

/** Adds one resource to a set digest. */
export function addToSum(sum: SetSum, resource: Resource): SetSum {
  return (sum + hashResource(resource)) & SUM_MASK;
}

/** Takes one resource out of a set digest. */
export function removeFromSum(sum: SetSum, resource: Resource): SetSum {
  return (sum - hashResource(resource)) & SUM_MASK;
}

/** Writes a set digest as 32 hexadecimal digits. */
export function formatSum(sum: SetSum): Digest {
  return sum.toString(16).padStart(SUM_HEX_DIGITS, '0') as Digest;
}

/** Digests any typed value; two values are equal exactly when their canonical texts are. */
export function digestValue(value: unknown): Digest {
  return createHash('sha256').update(formatCanonical(value)).digest('hex') as Digest;
}

/** Writes a value as JSON with sorted keys and without undefined members. */
export function formatCanonical(value: unknown): string {
  return JSON.stringify(value, sortMembers);
}

// Internals.

const SUM_BITS = 128n;
const SUM_MASK = (1n << SUM_BITS) - 1n;
const SUM_HEX_DIGITS = 32;

function hashResource(resource: Resource): bigint {
  const hex = createHash('sha256').update(formatCanonical(resource)).digest('hex');
  return BigInt(`0x${hex.slice(0, SUM_HEX_DIGITS)}`);
}

function sortMembers(_key: string, value: unknown): unknown {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) return value;
  const members = Object.entries(value);
  members.sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(members);
}
