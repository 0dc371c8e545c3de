/** Writes that wait while a disk is full. */
import type { Clock } from '../clock.js';
import { addMs } from '../clock.js';

/** What a write that may have to wait needs. */
export interface DiskRoomOptions {
  readonly clock: Clock;
  /** Whether the task stops; nothing is written any more then. */
  readonly isStopping: () => boolean;
  /** Called when a write found no room, and when it has got it. */
  readonly notifyFull: (isFull: boolean) => void;
}

/**
 * Repeats a write until the disk has room for it. `write` must leave the file as it was when it fails. Other
 * errors are thrown: after a failed sync nobody knows what the disk holds.
 *
 * @returns false when the task was stopped before there was room.
 */
export async function runWithRoom(
  write: () => Promise<void>,
  { clock, isStopping, notifyFull }: DiskRoomOptions,
): Promise<boolean> {
  for (let tries = 0; !isStopping(); tries += 1) {
    try {
      await write();
      if (tries > 0) notifyFull(false);
      return true;
    } catch (error) {
      if (!isDiskFull(error)) throw error;
      if (tries === 0) notifyFull(true);
    }
    await new Promise<void>((resolve) => {
      clock.callAt(addMs(clock.read(), RETRY_MS), resolve);
    });
  }
  return false;
}

// Internals.

const RETRY_MS = 200;
const FULL_CODES: ReadonlySet<unknown> = new Set(['ENOSPC', 'EDQUOT']);

function isDiskFull(error: unknown): boolean {
  return FULL_CODES.has((error as NodeJS.ErrnoException | null)?.code);
}
