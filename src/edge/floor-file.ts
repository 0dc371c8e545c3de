/** The version floor on disk: the highest configuration version with which this host has served calls. */
import { open, readFile, rename } from 'node:fs/promises';
import { dirname } from 'node:path';
import { z } from 'zod';
import type { VersionMark } from '../messages/index.js';

/**
 * Loads the floor; undefined if the file is missing or damaged.
 *
 * A damaged floor is treated like a missing one. This is safe: without a floor, the proxy serves calls only
 * after the source or enough peers have reported a version.
 */
export async function loadFloor(path: string): Promise<VersionMark | undefined> {
  const text = await readFile(path, 'utf8').catch(() => undefined);
  if (text === undefined) return undefined;
  const result = floorSchema.safeParse(parseJson(text));
  return result.success ? (result.data as unknown as VersionMark) : undefined;
}

/** Replaces the floor atomically; resolves once the file and its folder are synced. */
export async function syncFloor(path: string, mark: VersionMark): Promise<void> {
  const temporaryPath = `${path}.new`;
  const file = await open(temporaryPath, 'w');
  try {
    await file.writeFile(JSON.stringify(mark));
    await file.sync();
  } finally {
    await file.close();
  }
  await rename(temporaryPath, path);
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
