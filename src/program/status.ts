/** The status of a process, to which every role adds its section. */
import type { Clock } from '../clock.js';
import { StatusTask } from '../edge/index.js';
import type { MetricsRegistry } from '../metrics/index.js';
import type { ReportFailure } from '../pipe/index.js';
import type { Settings } from './settings.js';

/** Sets the section of a role in the status; a later value replaces an earlier one. */
export type ReportStatus = (section: string, value: object) => void;

/** What the status needs. */
export interface StatusTaskOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly registry: MetricsRegistry;
  readonly reportFailure: ReportFailure;
}

/** Creates the task that serves the status at the address of the settings, if there is one. */
export function createStatusTask(options: StatusTaskOptions): StatusTask {
  const { settings, ...rest } = options;
  const { status: address, host, roles } = settings;
  return new StatusTask({ address, host, roles, ...rest });
}
