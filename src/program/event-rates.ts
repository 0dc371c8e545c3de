/** The log events and their rate limits. */

/** Parameters of a token bucket for log lines. */
export interface LineRate {
  readonly linesPerSecond: number;
  readonly burstLines: number;
}

/** For failures, decisions and versions: about 2 KB/s per event. */
const HIGH_RATE: LineRate = { linesPerSecond: 10, burstLines: 50 };
/** For events that each member of a fleet causes when it starts; metrics and the status have the full data. */
const LOW_RATE: LineRate = { linesPerSecond: 1, burstLines: 10 };

/** The rate limit of each event. */
export const EVENT_RATES = {
  started: HIGH_RATE,
  stopping: HIGH_RATE,
  stopped: HIGH_RATE,
  'settings-reloaded': HIGH_RATE,
  'settings-rejected': HIGH_RATE,
  'settings-unreadable': HIGH_RATE,
  'log-lines-lost': HIGH_RATE,
  'proxy-ready': HIGH_RATE,
  'proxy-not-ready': HIGH_RATE,
  'readiness-answered': HIGH_RATE,
  draining: HIGH_RATE,
  'version-held': HIGH_RATE,
  'version-applied': HIGH_RATE,
  'configuration-stale': HIGH_RATE,
  'configuration-current': HIGH_RATE,
  'version-behind': HIGH_RATE,
  'version-caught-up': HIGH_RATE,
  'version-rejected': HIGH_RATE,
  'spread-rejected': HIGH_RATE,
  'source-found': HIGH_RATE,
  'source-lost': HIGH_RATE,
  'source-link-up': HIGH_RATE,
  'source-link-down': HIGH_RATE,
  'link-silent': HIGH_RATE,
  'vouch-asked': HIGH_RATE,
  'version-vouched': HIGH_RATE,
  'source-leads': HIGH_RATE,
  'source-follows': HIGH_RATE,
  'source-confirms': HIGH_RATE,
  'source-cannot-confirm': HIGH_RATE,
  'version-committed': HIGH_RATE,
  'version-restored': LOW_RATE,
  'log-status': HIGH_RATE,
  'log-voters': HIGH_RATE,
  'log-joining': LOW_RATE,
  'log-other-identity': LOW_RATE,
  'log-learner': HIGH_RATE,
  'log-caught-up': HIGH_RATE,
  'log-election-failed': LOW_RATE,
  'log-sync-slow': LOW_RATE,
  'log-sync-ended': LOW_RATE,
  'disk-full': HIGH_RATE,
  'disk-has-room': HIGH_RATE,
  'command-decided': HIGH_RATE,
  'command-acknowledged': HIGH_RATE,
  'command-rejected': HIGH_RATE,
  'server-state': HIGH_RATE,
  'member-up': LOW_RATE,
  'member-gone': HIGH_RATE,
  'introduction-answered': HIGH_RATE,
  'introduction-unanswered': HIGH_RATE,
  'members-left': HIGH_RATE,
  'member-update-dropped': HIGH_RATE,
  'frame-rejected': HIGH_RATE,
  'input-fault': HIGH_RATE,
  'broadcasts-remembered': HIGH_RATE,
  'broadcasts-dropped': HIGH_RATE,
  'ledger-message-dropped': HIGH_RATE,
  'log-message-dropped': HIGH_RATE,
  'crash-seen': HIGH_RATE,
  'announcement-ignored': HIGH_RATE,
  'announcement-rejected': HIGH_RATE,
  'call-failed': HIGH_RATE,
  'call-late': LOW_RATE,
  'connection-refused': HIGH_RATE,
  'attempt-failed': HIGH_RATE,
  'call-sent-again': HIGH_RATE,
  'call-hedged': HIGH_RATE,
  'answer-dropped': HIGH_RATE,
  'body-refused': HIGH_RATE,
  'calls-stopped': HIGH_RATE,
  'allowances-begin': HIGH_RATE,
  'allowances-end': HIGH_RATE,
  'allowance-lease-begins': HIGH_RATE,
  'allowance-lease-ends': HIGH_RATE,
  'allowance-message-dropped': HIGH_RATE,
  'loop-busy': LOW_RATE,
  'rollout-decided': HIGH_RATE,
  'rollout-recorded': HIGH_RATE,
} satisfies Record<string, LineRate>;

/** The name of a log event. Names are stable. */
export type LogEvent = keyof typeof EVENT_RATES;
