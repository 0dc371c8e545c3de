/** Connects the tasks of the ledger role: for each group, a replicated log and its state machine. */
import { join } from 'node:path';
import type { Clock } from '../clock.js';
import { LogTask, readLedgerMessage } from '../edge/index.js';
import type { Address, HostId } from '../ids.js';
import type { LedgerIn, LedgerOut, LedgerSnapshot, LedgerState } from '../ledger/index.js';
import { LEDGER_GROUPS, LedgerFilter } from '../ledger/index.js';
import { DEFAULT_SNAPSHOTS, DEFAULT_TIMING } from '../log/index.js';
import type { LedgerCommand, LinkCommand, LinkEvent } from '../messages/index.js';
import type { ReportFailure, Task } from '../pipe/index.js';
import { FilterTask } from '../pipe/index.js';
import type { Random } from '../random.js';
import { buildLogEventLine } from './log-event-lines.js';
import { buildLogSend, listReplicas, readLogPacket } from './log-wiring.js';
import type { Log } from './logger.js';
import type { RunningRole } from './running-role.js';
import type { LedgerSettings } from './settings.js';

/** Options of {@link runLedger}. */
export interface LedgerOptions {
  readonly host: HostId;
  readonly settings: LedgerSettings;
  readonly dataFolder: string;
  /** The control address of this process. */
  readonly control: Address;
  readonly log: Log;
  readonly clock: Clock;
  readonly random: Random;
  readonly reportFailure: ReportFailure;
  readonly postLink: (command: LinkCommand) => void;
}

/** Creates and starts the tasks of the ledger role. */
export async function runLedger(options: LedgerOptions): Promise<RunningRole> {
  const groups: RunningGroup[] = [];
  for (let number = 0; number < LEDGER_GROUPS; number += 1) {
    groups.push(createGroup(options, number));
  }
  const tasks = groups.flatMap(({ ledger, log }): StartStopTask[] => [ledger, log]);
  for (const task of tasks) await task.start();
  return {
    handleLink: (event) => {
      routeLinkEvent(groups, event, options.log);
    },
    handleMembership: () => undefined,
    stop: async () => {
      for (const task of tasks.toReversed()) await task.stop();
    },
  };
}

// Internals.

type StartStopTask = Pick<Task<unknown>, 'start' | 'stop'>;

/** The tasks of one ledger group. */
interface RunningGroup {
  readonly name: string;
  readonly ledger: FilterTask<LedgerState, LedgerIn, LedgerOut>;
  readonly log: LogTask<LedgerCommand, LedgerSnapshot>;
}

function createGroup(options: LedgerOptions, number: number): RunningGroup {
  const { clock, reportFailure, postLink } = options;
  const name = `ledger-${number}`;
  const ledger = new FilterTask<LedgerState, LedgerIn, LedgerOut>({
    name,
    filter: new LedgerFilter(),
    clock,
    reportFailure,
    send: routeLedger,
  });
  const log = createLog(options, name, ledger);

  function routeLedger(output: LedgerOut): void {
    switch (output.kind) {
      case 'propose':
        log.post({ kind: 'request', request: output.request });
        return;
      case 'captured':
        log.post(output.answer);
        return;
      case 'reply':
        postLink({ kind: 'send', to: output.to, channel: 'ledger', body: output.reply });
        return;
    }
  }

  return { name, ledger, log };
}

function createLog(
  options: LedgerOptions,
  name: string,
  ledger: RunningGroup['ledger'],
): RunningGroup['log'] {
  const { host, settings, control, random, clock, reportFailure, postLink } = options;
  return new LogTask<LedgerCommand, LedgerSnapshot>({
    path: join(options.dataFolder, `${name}.log`),
    group: name,
    host,
    self: control,
    replicas: listReplicas(settings.replicas, control),
    random,
    timing: DEFAULT_TIMING,
    snapshots: DEFAULT_SNAPSHOTS,
    clock,
    reportFailure,
    notify: (notice) => {
      ledger.post({ kind: 'log', notice });
    },
    notifyStatus: (status) => {
      options.log('log-status', { group: name, ...status });
    },
    notifyVoterChange: (change) => {
      options.log('log-voters', { group: name, ...change });
    },
    notifyEvent: (logEvent) => {
      const { event, fields } = buildLogEventLine(name, logEvent);
      options.log(event, fields);
    },
    notifyDiskFull: (isFull) => {
      options.log(isFull ? 'disk-full' : 'disk-has-room', { group: name });
    },
    send: (to, packet) => {
      postLink(buildLogSend('ledger-log', to, packet));
    },
  });
}

function routeLinkEvent(groups: readonly RunningGroup[], event: LinkEvent, log: Log): void {
  const packet = readLogPacket<LedgerCommand>(event, 'ledger-log', (from) => {
    log('log-message-dropped', { group: 'ledger', from });
  });
  if (packet !== undefined) {
    groups.find(({ name }) => name === packet.group)?.log.post(packet.message);
    return;
  }
  if (event.kind !== 'received' || event.channel !== 'ledger') return;
  const body = readLedgerMessage(event.body);
  if (body === undefined) log('ledger-message-dropped', { from: event.address });
  if (body?.kind !== 'ask') return;
  groups[body.group]?.ledger.post({ kind: 'ask', from: event.address, ask: body });
}
