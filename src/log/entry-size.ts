/** The size of entries, which bounds what is sent, applied and kept at once. */
import type { LogEntry } from '../messages/index.js';

/**
 * Returns the approximate encoded size of an entry in bytes. The log does not know the encoding of its commands, so
 * it counts the texts and bytes in them, and a few bytes for each other value.
 */
export function measureEntry(entry: LogEntry<unknown>): number {
  const known = sizes.get(entry);
  if (known !== undefined) return known;
  const size = measureValue(entry.content);
  sizes.set(entry, size);
  return size;
}

// Internals.

const VALUE_BYTES = 4;
const sizes = new WeakMap<LogEntry<unknown>, number>();

function measureValue(value: unknown): number {
  if (typeof value === 'string') return value.length + VALUE_BYTES;
  if (typeof value !== 'object' || value === null) return VALUE_BYTES;
  if (value instanceof Uint8Array) return value.length + VALUE_BYTES;
  let size = VALUE_BYTES;
  if (Array.isArray(value)) {
    for (const item of value as readonly unknown[]) size += measureValue(item);
    return size;
  }
  for (const [name, member] of Object.entries(value)) size += name.length + measureValue(member);
  return size;
}
