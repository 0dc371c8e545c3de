/** Secrets that other processes and operators present. */
import { hash, timingSafeEqual } from 'node:crypto';

/**
 * Returns whether a presented secret is the expected one, in a time that doesn't tell how much of it is right. An empty
 * one never is.
 */
export function matchesSecret(presented: string, expected: string): boolean {
  // The comparison requires the same number of bytes; a text of the same length may have more of them.
  return (
    expected !== '' && timingSafeEqual(buildSecretDigest(presented), buildSecretDigest(expected))
  );
}

// Internals.

function buildSecretDigest(secret: string): Buffer {
  return hash('sha256', secret, 'buffer');
}
