/** Reserves loopback ports among the test processes that run at the same time. */
import { mkdirSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/**
 * Reserves a port until this process ends. Returns false if another process has reserved it. Without the
 * reservation, two processes may pick the same port before one of them listens on it.
 */
export function addReservation(port: number): boolean {
  mkdirSync(FOLDER, { recursive: true });
  const path = join(FOLDER, `${port}`);
  removeOutdated(path);
  try {
    writeFileSync(path, `${process.pid}\n`, { flag: 'wx' });
  } catch {
    return false;
  }
  if (reserved.size === 0) process.once('exit', removeReservations);
  reserved.add(path);
  return true;
}

// Internals.

const FOLDER = join(tmpdir(), 'bilberryswitch-ports');
/** Processes that were killed leave their reservations behind. */
const OUTDATED_AFTER_MS = 3_600_000;
const reserved = new Set<string>();

function removeOutdated(path: string): void {
  const createdAt = statSync(path, { throwIfNoEntry: false })?.mtimeMs;
  if (createdAt !== undefined && createdAt < Date.now() - OUTDATED_AFTER_MS) rmSync(path);
}

function removeReservations(): void {
  for (const path of reserved) rmSync(path, { force: true });
}
