/** The status of a process. Each role reports its own section. */
import type { Clock } from '../clock.js';
import type { ReportInputFault } from '../edge/index.js';
import { StatusTask } from '../edge/index.js';
import type { ExplainRequest } from '../messages/index.js';
import type { MetricsRegistry } from '../metrics/index.js';
import type { ReportFailure } from '../pipe/index.js';
import type { Settings } from './settings.js';

/** Sets a section of the status; a later value replaces the earlier one. */
export type ReportStatus = (section: string, value: object) => void;

/** Options of {@link createStatusTask}. */
export interface StatusTaskOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly registry: MetricsRegistry;
  readonly reportFailure: ReportFailure;
  readonly reportInputFault: ReportInputFault;
  /** Passes on a question about a call; returns false if this process has no proxy role. */
  readonly passQuery: (request: ExplainRequest) => boolean;
}

/** Creates the task that serves the status at the configured address, if there is one. */
export function createStatusTask(options: StatusTaskOptions): StatusTask {
  const { settings, ...rest } = options;
  const { status: address, host, roles } = settings;
  return new StatusTask({ address, host, roles, ...rest });
}
