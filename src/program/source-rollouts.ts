/** Connects the decisions on roll-outs to the other tasks of the source role. */
import { randomUUID } from 'node:crypto';
import type { Clock } from '../clock.js';
import { encodeRolloutMessage, readRolloutMessage } from '../edge/index.js';
import type { RequestId } from '../ids.js';
import type { LinkCommand, LinkEvent } from '../messages/index.js';
import type { NotesIn } from '../notes/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { FilterTask } from '../pipe/index.js';
import type { RolloutIn, RolloutOut, RolloutState } from '../rollouts/index.js';
import { RolloutFilter } from '../rollouts/index.js';
import type { Log } from './logger.js';
import type { RolloutSettings } from './settings/rollout-settings.js';

/** Options of {@link createRolloutTask}. */
export interface RolloutTaskOptions {
  readonly settings: RolloutSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly reportFailure: ReportFailure;
  readonly postLink: (command: LinkCommand) => void;
  readonly postNotes: (message: NotesIn) => void;
}

/** The task that leads roll-outs while this source leads. */
export type RolloutTask = FilterTask<RolloutState, RolloutIn, RolloutOut>;

/** Creates the task. */
export function createRolloutTask(options: RolloutTaskOptions): RolloutTask {
  const { exposureShare: share, exposureSlack: slack, rollbackMs } = options.settings;
  return new FilterTask<RolloutState, RolloutIn, RolloutOut>({
    name: 'rollouts',
    filter: new RolloutFilter({ share, slack }, rollbackMs),
    clock: options.clock,
    reportFailure: options.reportFailure,
    buildTick: () => ({ kind: 'tick' }),
    send: (output) => {
      switch (output.kind) {
        case 'propose': {
          const { command, figures } = output;
          options.log('rollout-decided', { command, figures });
          const id = `rollout ${randomUUID()}` as RequestId;
          options.postNotes({ kind: 'command', id, command });
          return;
        }
        case 'send':
          options.postLink({
            ...output,
            channel: 'rollouts',
            body: encodeRolloutMessage(output.body),
          });
          return;
        case 'recorded':
          options.log('rollout-recorded', { rollout: output.rollout });
          return;
      }
    },
  });
}

/** Reads a message to the task; undefined if the event is not for it. */
export function readRolloutEvent(event: LinkEvent): RolloutIn | undefined {
  if (event.kind !== 'received' || event.channel !== 'rollouts') return undefined;
  const body = readRolloutMessage(event.body);
  const { from, address } = event;
  return body === undefined ? undefined : { kind: 'received', from, address, body };
}
