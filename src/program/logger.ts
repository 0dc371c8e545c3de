/** Logs: one JSON line an event, each with a stable event name. */
import { pino } from 'pino';
import type { LevelWithSilent, Logger } from 'pino';
import type { HostId } from '../ids.js';

/** Writes log lines; `event` names the kind of event and never changes. */
export type Log = (event: string, fields?: Readonly<Record<string, unknown>>) => void;

/** Creates the logger of a process. It writes in the background, so that a full pipe stops nothing. */
export function createLogger(host: HostId, level: LevelWithSilent): Logger {
  return pino({ level, base: { host } }, pino.destination({ dest: STDOUT, sync: false }));
}

// Internals.

const STDOUT = 1;
