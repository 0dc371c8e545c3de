/** The building blocks of pipes. No other folder composes `most` operators. */
export { applyFilter } from './apply-filter.js';
export { Filter } from './filter.js';
export type { Step } from './filter.js';
export { FilterTask } from './filter-task.js';
export type { FilterTaskOptions, Tick, WakeRequest } from './filter-task.js';
export { Inbox } from './inbox.js';
export { Task } from './task.js';
export type { ReportFailure } from './task.js';
export { WakeTimer } from './wake-timer.js';
