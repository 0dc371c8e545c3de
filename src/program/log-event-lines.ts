/** The lines for the events of a replicated log; used by the source and the ledger. */
import type { LogTaskEvent } from '../edge/index.js';
import type { LogEvent } from './event-rates.js';
import type { LogFields } from './logger.js';

/** A line for an event of a log. */
export interface LogEventLine {
  readonly event: LogEvent;
  readonly fields: LogFields;
}

/** Builds the line for an event of the log `group`. */
export function buildLogEventLine(group: string, { kind, ...fields }: LogTaskEvent): LogEventLine {
  return { event: LINE_EVENTS[kind], fields: { group, ...fields } };
}

// Internals.

const LINE_EVENTS: Readonly<Record<LogTaskEvent['kind'], LogEvent>> = {
  joining: 'log-joining',
  'other-identity-named': 'log-other-identity',
  'learner-added': 'log-learner',
  'caught-up': 'log-caught-up',
  'election-failed': 'log-election-failed',
  'sync-slow': 'log-sync-slow',
  'sync-ended': 'log-sync-ended',
};
