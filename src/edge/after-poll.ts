/** Work that waits until the sockets have been read. */

/**
 * Runs an action after the sockets have been polled once more. Timers run before the sockets are read, and a
 * process that was paused finds requests there whose callers have long gone; the end of such a connection is
 * read only by the poll after that.
 */
export function runAfterPoll(action: () => void): void {
  setImmediate(() => setImmediate(action));
}
