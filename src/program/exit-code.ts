/** The exit codes of the program. */
export const ExitCode = {
  /** The command did what it was asked for. */
  done: 0,
  /** The request was refused; the reason is on standard error. */
  refused: 1,
  /** The command line or the settings are wrong; nothing was started. */
  usage: 2,
  /** No quorum answered; the request may or may not take effect, and sending it again is safe. */
  unknown: 3,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
