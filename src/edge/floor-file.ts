/** The version floor on disk: the highest version that this host has served calls with. */
import { open, readFile, rename } from 'node:fs/promises';
import { dirname } from 'node:path';
import { z } from 'zod';
import type { VersionMark } from '../messages/index.js';

/**
 * Reads the floor; undefined when there is none or the file is damaged.
 *
 * A damaged floor is treated like a missing one: the proxy then serves only once the source or enough
 * peers have named a version, which is the safe side.
 */
export async function loadFloor(path: string): Promise<VersionMark | undefined> {
  const text = await readFile(path, 'utf8').catch(() => undefined);
  if (text === undefined) return undefined;
  const checked = floorSchema.safeParse(parseJson(text));
  return checked.success ? (checked.data as unknown as VersionMark) : undefined;
}

/** Replaces the floor and returns once it is synced, together with its folder. */
export async function syncFloor(path: string, mark: VersionMark): Promise<void> {
  const fresh = `${path}.new`;
  const file = await open(fresh, 'w');
  try {
    await file.writeFile(JSON.stringify(mark));
    await file.sync();
  } finally {
    await file.close();
  }
  await rename(fresh, path);
  await syncFolder(dirname(path));
}

// Internals.

const floorSchema = z.object({
  version: z.int().min(0),
  digest: z.string().regex(/^[0-9a-f]{32}$/),
});

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, 'r');
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}
