/** Retries writes while the disk is full. */
import type { Clock } from '../clock.js';
import { addMs } from '../clock.js';

/** Options of {@link runWithDiskSpace}. */
export interface DiskSpaceOptions {
  readonly clock: Clock;
  /** Whether the task is stopping; no write is attempted after that. */
  readonly isStopping: () => boolean;
  /** Called with true on the first failure of a write, and with false if it succeeds later. */
  readonly notifyDiskFull: (isFull: boolean) => void;
}

/**
 * Retries a write while the disk is full. A failed `write` must not change the contents of the file. Other
 * errors are thrown: after a failed sync, the contents of the disk are unknown.
 *
 * @returns false if the task stopped before the write succeeded.
 */
export async function runWithDiskSpace(
  write: () => Promise<void>,
  { clock, isStopping, notifyDiskFull }: DiskSpaceOptions,
): Promise<boolean> {
  for (let failures = 0; !isStopping(); failures += 1) {
    try {
      await write();
      if (failures > 0) notifyDiskFull(false);
      return true;
    } catch (error) {
      if (!isDiskFull(error)) throw error;
      if (failures === 0) notifyDiskFull(true);
    }
    await new Promise<void>((resolve) => {
      clock.callAt(addMs(clock.read(), RETRY_INTERVAL_MS), resolve);
    });
  }
  return false;
}

// Internals.

const RETRY_INTERVAL_MS = 200;
const DISK_FULL_CODES: ReadonlySet<unknown> = new Set(['ENOSPC', 'EDQUOT']);

function isDiskFull(error: unknown): boolean {
  return DISK_FULL_CODES.has((error as NodeJS.ErrnoException | null)?.code);
}
