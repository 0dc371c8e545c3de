/** Connects the counting of runs for roll-outs to the other tasks of the proxy role. */
import type { CallIn } from '../calls/index.js';
import type { Clock } from '../clock.js';
import { encodeRolloutMessage, readRolloutMessage } from '../edge/index.js';
import type { HostId } from '../ids.js';
import type { LinkCommand, LinkEvent } from '../messages/index.js';
import type { MetricsRegistry } from '../metrics/index.js';
import { Counter } from '../metrics/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { FilterTask } from '../pipe/index.js';
import type { EvidenceIn, EvidenceOut, EvidenceState } from '../rollouts/index.js';
import { EvidenceFilter } from '../rollouts/index.js';
import type { RolloutSettings } from './settings/rollout-settings.js';

/** Options of {@link createEvidenceTask}. */
export interface EvidenceTaskOptions {
  readonly host: HostId;
  readonly settings: RolloutSettings;
  readonly clock: Clock;
  readonly registry: MetricsRegistry;
  readonly reportFailure: ReportFailure;
  readonly postLink: (command: LinkCommand) => void;
  readonly postCalls: (message: CallIn) => void;
}

/** The task that counts runs and reports them to the sources. */
export type EvidenceTask = FilterTask<EvidenceState, EvidenceIn, EvidenceOut>;

/** Creates the task. */
export function createEvidenceTask(options: EvidenceTaskOptions): EvidenceTask {
  const runs = options.registry.add(
    new Counter(
      'rollout_runs_total',
      'Runs while a roll-out runs, by service, version and result.',
    ),
  );
  return new FilterTask<EvidenceState, EvidenceIn, EvidenceOut>({
    name: 'rollout-evidence',
    filter: new EvidenceFilter(options.host, options.settings.rollbackMs),
    clock: options.clock,
    reportFailure: options.reportFailure,
    buildTick: () => ({ kind: 'tick' }),
    send: (output) => {
      switch (output.kind) {
        case 'send':
          options.postLink({
            ...output,
            channel: 'rollouts',
            body: encodeRolloutMessage(output.body),
          });
          return;
        case 'leader-heard':
          options.postCalls(output);
          return;
        case 'counted': {
          const { service, version = 'none', result } = output;
          runs.add({ service, version, result });
          return;
        }
      }
    },
  });
}

/** Reads a message to the task; undefined if the event is not for it. */
export function readEvidenceEvent(event: LinkEvent): EvidenceIn | undefined {
  if (event.kind !== 'received' || event.channel !== 'rollouts') return undefined;
  const body = readRolloutMessage(event.body);
  return body === undefined ? undefined : { kind: 'received', address: event.address, body };
}
