/** Exit codes of the program. */
export const ExitCode = {
  /** The command succeeded. */
  done: 0,
  /** The request was refused; standard error has the reason. */
  refused: 1,
  /** The command line or the settings are invalid; nothing was started. */
  usage: 2,
  /** No quorum answered, so the outcome is unknown; sending the request again is safe. */
  unknown: 3,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
