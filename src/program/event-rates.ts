/** The kinds of events that are logged, and how many lines of each are written. */

/** How many lines of one kind are written. */
export interface LineRate {
  readonly linesPerSecond: number;
  readonly burstLines: number;
}

/** About 2 KB a second for each kind; failures and decisions. */
const FULL: LineRate = { linesPerSecond: 10, burstLines: 50 };
/** What every member of a fleet causes when it starts; metrics and the status have the rest. */
const ORDINARY: LineRate = { linesPerSecond: 1, burstLines: 10 };

/** The rate of each event. */
export const EVENT_RATES = {
  started: FULL,
  stopping: FULL,
  stopped: FULL,
  'settings-reloaded': FULL,
  'settings-rejected': FULL,
  'settings-unreadable': FULL,
  'log-lines-lost': FULL,
  'proxy-ready': FULL,
  'proxy-not-ready': FULL,
  draining: FULL,
  'version-held': ORDINARY,
  'version-applied': ORDINARY,
  'version-rejected': FULL,
  'spread-rejected': FULL,
  'source-found': FULL,
  'source-lost': FULL,
  'source-link-up': FULL,
  'source-link-down': FULL,
  'vouch-asked': FULL,
  'version-vouched': FULL,
  'source-leads': FULL,
  'source-follows': FULL,
  'source-confirms': FULL,
  'source-cannot-confirm': FULL,
  'version-committed': ORDINARY,
  'version-restored': ORDINARY,
  'log-status': FULL,
  'disk-full': FULL,
  'disk-has-room': FULL,
  'command-decided': FULL,
  'command-rejected': FULL,
  'server-state': FULL,
  'member-up': ORDINARY,
  'member-gone': FULL,
  'members-left': FULL,
  'member-update-dropped': FULL,
  'frame-rejected': FULL,
  'ledger-message-dropped': FULL,
  'log-message-dropped': FULL,
  'crash-seen': FULL,
  'announcement-ignored': FULL,
  'announcement-rejected': FULL,
  'call-failed': FULL,
  'call-late': ORDINARY,
  'connection-refused': FULL,
  'attempt-failed': FULL,
  'call-sent-again': FULL,
  'answer-dropped': FULL,
  'calls-stopped': FULL,
  'loop-busy': ORDINARY,
} satisfies Record<string, LineRate>;

/** The name of a kind of event; it never changes. */
export type LogEvent = keyof typeof EVENT_RATES;
