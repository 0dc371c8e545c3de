/** Encodings and sockets: everything that touches the network or the disk. */
export { AnnounceTask } from './announce-task.js';
export { CallTask } from './call-task.js';
export { FloorTask } from './floor-task.js';
export type { FloorOptions } from './floor-task.js';
export type { CallNotice, CallTaskOptions } from './call-task.js';
export { formIdSchema } from './id-schema.js';
export { LinkTask } from './link-task.js';
export { LogFile } from './log-file.js';
export { LogTask } from './log-task.js';
export { readNote } from './note-toml.js';
export { OperatorTask } from './operator-task.js';
export { ProbeTask } from './probe-task.js';
export { decodeSync, encodeSync } from './sync-codec.js';
export { readSourceSpreadMessage, readSpreadMessage } from './spread-codec.js';
export { StatusTask } from './status-task.js';
export type { StatusIn } from './status-task.js';
