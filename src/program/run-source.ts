/** Connects the tasks of the source role: log, notes, operator API and distribution. */
import { join } from 'node:path';
import type { Clock } from '../clock.js';
import type { OperatorFront, ReportInputFault } from '../edge/index.js';
import { LogTask, OperatorTask, readSourceDistributionMessage } from '../edge/index.js';
import type { Address, HostId } from '../ids.js';
import { DEFAULT_SNAPSHOTS, DEFAULT_TIMING } from '../log/index.js';
import type { LinkCommand, LinkEvent, NoteCommand } from '../messages/index.js';
import type {
  NoteStoreSnapshot,
  NotesIn,
  NotesNotice,
  NotesOut,
  NotesState,
} from '../notes/index.js';
import { NotesFilter } from '../notes/index.js';
import type { ReportFailure, WakeRequest } from '../pipe/index.js';
import { FilterTask } from '../pipe/index.js';
import type { Random } from '../random.js';
import type {
  SourceDistributionIn,
  SourceDistributionOut,
  SourceDistributionState,
  DistributionPolicyName,
} from '../distribution/index.js';
import {
  isDistributionConfirmation,
  makePolicy,
  SourceDistributionFilter,
} from '../distribution/index.js';
import { AcknowledgementLog } from './acknowledgement-log.js';
import { CommitLog } from './commit-log.js';
import { GrantorWiring } from './grantor-wiring.js';
import { buildLogEventLine } from './log-event-lines.js';
import { buildLogSend, listReplicas, readLogPacket } from './log-wiring.js';
import type { Log } from './logger.js';
import type { RecoveryLog } from './recovery-log.js';
import type { RunningRole } from './running-role.js';
import type { SourceSettings } from './settings.js';
import { SourcePeers } from './source-peers.js';
import { createRolloutTask, readRolloutEvent } from './source-rollouts.js';
import type { ReportStatus } from './status.js';

/** Options of {@link runSource}. */
export interface SourceOptions {
  readonly host: HostId;
  readonly settings: SourceSettings;
  readonly dataFolder: string;
  /** The control address of this process. */
  readonly control: Address;
  readonly spread: DistributionPolicyName;
  readonly log: Log;
  readonly recovery: RecoveryLog;
  readonly front: OperatorFront;
  readonly clock: Clock;
  readonly random: Random;
  readonly reportFailure: ReportFailure;
  readonly reportInputFault: ReportInputFault;
  readonly postLink: (command: LinkCommand) => void;
  readonly report: ReportStatus;
}

/** Creates and starts the tasks of the source role. */
export async function runSource(options: SourceOptions): Promise<RunningRole> {
  const { settings, clock, recovery, reportFailure, postLink, report } = options;
  const peers = new SourcePeers(settings.operator);
  const commits = new CommitLog({ recovery, clock });
  const acknowledgements = new AcknowledgementLog({ log: options.log, clock });
  const notes = new FilterTask<NotesState, NotesIn, NotesOut>({
    name: 'notes',
    filter: new NotesFilter({ hasRollouts: settings.rollouts !== undefined }),
    clock,
    reportFailure,
    send: routeNotes,
    buildTick: () => ({ kind: 'tick' }),
  });
  const log = new LogTask<NoteCommand, NoteStoreSnapshot>({
    path: join(options.dataFolder, 'notes.log'),
    group: LOG_GROUP,
    host: options.host,
    self: options.control,
    replicas: listReplicas([...settings.replicas, ...settings.seeds], options.control),
    growth: settings.growth,
    random: options.random,
    timing: DEFAULT_TIMING,
    snapshots: DEFAULT_SNAPSHOTS,
    clock,
    reportFailure,
    notify: routeNotice,
    notifyStatus: (status) => {
      recovery.report('log-status', { group: LOG_GROUP, ...status });
      report('log', status);
    },
    notifyVoterChange: (change) => {
      recovery.report('log-voters', { group: LOG_GROUP, ...change });
    },
    notifyEvent: (logEvent) => {
      const { event, fields } = buildLogEventLine(LOG_GROUP, logEvent);
      recovery.report(event, fields);
    },
    notifyDiskFull: (isFull) => {
      options.log(isFull ? 'disk-full' : 'disk-has-room', { group: LOG_GROUP });
    },
    send: (to, packet) => {
      postLink(buildLogSend('log', to, packet));
    },
  });
  const distribution = new FilterTask<
    SourceDistributionState,
    SourceDistributionIn,
    SourceDistributionOut
  >({
    name: 'source-spread',
    filter: new SourceDistributionFilter({ policy: makePolicy(options.spread) }),
    clock,
    reportFailure,
    send: routeDistribution,
    buildTick: () => ({ kind: 'tick' }),
  });
  const grantor = new GrantorWiring({
    clock,
    log: options.log,
    reportFailure,
    postLink,
    confirm: (id) => {
      log.post({ kind: 'request', request: { kind: 'confirm', id } });
    },
    findControlAddress: (host) => peers.findControlAddress(host),
  });
  const operator = new OperatorTask({
    address: settings.operator,
    clock,
    waitLimitMs: settings.waitLimitMs,
    findOperator: (host) => settings.operators.get(host) ?? peers.findOperatorAddress(host),
    front: options.front,
    notifyRejected: (url, { status, body }) => {
      options.log('command-rejected', { url, status, body });
    },
    reportFailure,
    reportInputFault: options.reportInputFault,
    request: (message) => {
      notes.post(message);
    },
  });

  const rollouts =
    settings.rollouts === undefined
      ? undefined
      : createRolloutTask({
          settings: settings.rollouts,
          clock,
          log: options.log,
          reportFailure,
          postLink,
          postNotes: (message) => {
            notes.post(message);
          },
        });

  function routeNotes(output: Exclude<NotesOut, WakeRequest>): void {
    switch (output.kind) {
      case 'log':
        log.post({ kind: 'request', request: output.request });
        return;
      case 'captured':
        log.post(output);
        return;
      case 'version':
        commits.handleCommitted(output.delta.version);
        acknowledgements.handleCommitted(output.delta.version);
        distribution.post(output);
        grantor.task.post({ kind: 'changes', changes: output.delta.changes });
        rollouts?.post(output);
        return;
      case 'restored':
        recovery.report('version-restored', { version: output.configuration.version });
        distribution.post(output);
        grantor.task.post({ kind: 'resources', resources: output.configuration.resources });
        rollouts?.post(output);
        return;
      case 'report':
        report('source', output.report);
        return;
      case 'answer':
        options.log('command-decided', { answer: output.answer });
        acknowledgements.handleAnswer(output.answer);
        operator.post(output);
        return;
      default:
        operator.post(output);
    }
  }

  /** Logs when this replica begins or ceases to lead, and whether a quorum confirms its leadership. */
  function reportLeadership(notice: NotesNotice): void {
    if (notice.kind === 'leading') {
      const { leading, leader } = notice;
      recovery.reportState('leading', leading ? 'source-leads' : 'source-follows', { leader });
    } else if (notice.kind === 'confirmed') {
      recovery.reportState('confirm', 'source-confirms');
    } else if (notice.kind === 'refused') {
      recovery.reportState('confirm', 'source-cannot-confirm', { refusal: notice.refusal });
    }
  }

  /** Routes confirmations requested by the distribution to it, and all other notices to the notes. */
  function routeNotice(notice: NotesNotice): void {
    if (grantor.handleOutcome(notice)) return;
    reportLeadership(notice);
    if (notice.kind === 'leading') {
      distribution.post({ kind: 'log', notice });
      // The notes handle earlier versions first, so that the grantor knows the limits when its term begins.
      queueMicrotask(() => {
        grantor.task.post({ kind: 'log', notice });
      });
      rollouts?.post({ kind: 'leading', leading: notice.leading });
    }
    const isForDistribution =
      (notice.kind === 'confirmed' || notice.kind === 'refused') &&
      isDistributionConfirmation(notice.id);
    if (isForDistribution) distribution.post({ kind: 'log', notice });
    else notes.post({ kind: 'log', notice });
  }

  function routeDistribution(output: SourceDistributionOut): void {
    switch (output.kind) {
      case 'send':
        postLink({ kind: 'send', to: output.to, channel: 'spread', body: output.body });
        return;
      case 'coverage':
        acknowledgements.handleCoverage(output.report);
        notes.post(output);
        return;
      case 'confirm':
        log.post({ kind: 'request', request: output });
        return;
      case 'rejected':
        options.log('spread-rejected', { address: output.address, fault: output.fault });
        return;
    }
  }

  const steppers = rollouts === undefined ? [] : [rollouts];
  const tasks = [distribution, grantor.task, ...steppers, notes, log, operator];
  for (const task of tasks) await task.start();
  return {
    handleLink: (event) => {
      const packet = readLogPacket<NoteCommand>(event, 'log', (from) => {
        options.log('log-message-dropped', { group: LOG_GROUP, from });
      });
      if (packet?.group === LOG_GROUP) {
        peers.addSender(packet.message.from, packet.message.address);
        log.post(packet.message);
      }
      const message = readLinkEvent(event);
      if (message !== undefined) distribution.post(message);
      grantor.handleLink(event);
      const evidence = rollouts && readRolloutEvent(event);
      if (evidence !== undefined) rollouts?.post(evidence);
    },
    handleMembership: (event) => {
      if (event.kind === 'broadcast') return;
      distribution.post(event);
      rollouts?.post(event);
      if (peers.apply(event)) log.post({ kind: 'peers', addresses: peers.listControlAddresses() });
    },
    handleSettings: ({ source }) => {
      peers.updateSeeds(source?.seeds ?? []);
      log.post({ kind: 'peers', addresses: peers.listControlAddresses() });
    },
    stop: async () => {
      notes.post({ kind: 'stopping' });
      for (const task of tasks.toReversed()) await task.stop();
    },
  };
}

// Internals.

const LOG_GROUP = 'notes';

function readLinkEvent(event: LinkEvent): SourceDistributionIn | undefined {
  const { address } = event;
  if (event.kind === 'link-down') return { kind: 'link-down', address };
  if (event.kind !== 'received' || event.channel !== 'source-spread') return undefined;
  const body = readSourceDistributionMessage(event.body);
  if (body === undefined) return { kind: 'malformed', address };
  return { kind: 'received', from: event.from, address, body };
}
