/** Defers work until the sockets have been polled. */

/**
 * Runs an action after the sockets have been polled once more. Timers run before the poll phase. After a pause of
 * the process, the first poll may read requests whose callers have disconnected; the end of such a connection is
 * read only by the next poll.
 */
export function runAfterPoll(action: () => void): void {
  setImmediate(() => setImmediate(action));
}
