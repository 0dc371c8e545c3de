/** Connects the tasks of the proxy role: distribution, membership, announcements and calls. */
import { join } from 'node:path';
import type { CallObserver } from '../calls/index.js';
import type { Clock } from '../clock.js';
import { addMs } from '../clock.js';
import type {
  AnnounceRequest,
  CallNotice,
  FloorTaskOptions,
  PlannedStop,
  ReportInputFault,
} from '../edge/index.js';
import {
  AnnounceTask,
  CallTask,
  FloorTask,
  readAllowanceReply,
  readAllowanceRequest,
  readDistributionMessage,
  ReadyTask,
} from '../edge/index.js';
import type { MembersIn } from '../members/index.js';
import type { Address, Instant, ProxyLife, Version } from '../ids.js';
import { NO_VERSION, parseCallerId } from '../ids.js';
import type { ExplainAnswer, LinkCommand, LinkEvent, ReceivedMessage } from '../messages/index.js';
import type { MetricsRegistry } from '../metrics/index.js';
import { Gauge } from '../metrics/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { FilterTask } from '../pipe/index.js';
import type {
  ProxyDistributionIn,
  ProxyDistributionOut,
  ProxyDistributionState,
  DistributionFault,
} from '../distribution/index.js';
import { makePolicy, ProxyDistributionFilter } from '../distribution/index.js';
import type { Random } from '../random.js';
import { createLedgerClient, readLedgerReply } from './ledger-client.js';
import type { HopTracer } from '../traces/index.js';
import type { Fronts } from './fronts.js';
import type { Log } from './logger.js';
import { ProxyReadiness } from './proxy-readiness.js';
import { createEvidenceTask, readEvidenceEvent } from './proxy-rollouts.js';
import { ReadinessAnswers } from './readiness-answers.js';
import type { RecoveryLog } from './recovery-log.js';
import type { RunningRole } from './running-role.js';
import type { ProxySettings, Settings } from './settings.js';
import type { ReportStatus } from './status.js';
import { SourceAddresses } from './source-addresses.js';
import { VersionMetrics } from './version-metrics.js';

/** Options of {@link runProxy}. */
export interface ProxyOptions {
  readonly settings: Settings;
  readonly proxy: ProxySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly recovery: RecoveryLog;
  readonly registry: MetricsRegistry;
  readonly reportFailure: ReportFailure;
  readonly reportInputFault: ReportInputFault;
  readonly postLink: (command: LinkCommand) => void;
  readonly postMembers: (message: MembersIn) => void;
  /** Random text that authenticates calls forwarded by other proxies; see {@link Member.pass}. */
  readonly pass: string;
  readonly report: ReportStatus;
  readonly tracer: HopTracer;
  readonly observer: CallObserver;
  readonly fronts: Fronts;
  /** Receives the answers to `explain` of the role. */
  readonly notifyExplained: (answer: ExplainAnswer) => void;
}

/** Creates and starts the tasks of the proxy role. */
export async function runProxy(options: ProxyOptions): Promise<RunningRole> {
  const { settings, proxy, clock, random, log, reportFailure, reportInputFault } = options;
  const { postLink, postMembers, recovery, report } = options;
  const calls = new CallTask({
    address: proxy.calls,
    secondAddress: proxy.forwards,
    front: options.fronts.createCallFront(),
    caller: proxy.service === undefined ? undefined : parseCallerId(proxy.service),
    retries: proxy.retries,
    hedging: proxy.hedging,
    isRevocationStrict: proxy.accounts.isRevocationStrict,
    life: `${random.nextInt(MAX_LIFE)}-${clock.read()}` as ProxyLife,
    linkBytesPerSecond: proxy.linkBytesPerSecond,
    hasRollouts: proxy.rollouts !== undefined,
    place: settings,
    pass: options.pass,
    clock,
    random,
    tracer: options.tracer,
    observer: options.observer,
    reportFailure,
    reportInputFault,
    send: routeCalls,
  });
  const distribution = new FilterTask<
    ProxyDistributionState,
    ProxyDistributionIn,
    ProxyDistributionOut
  >({
    name: 'proxy-spread',
    filter: new ProxyDistributionFilter({
      host: settings.host,
      dataCentre: settings.dataCentre,
      control: settings.control,
      sources: proxy.sources,
      keepsFloor: settings.dataFolder !== undefined,
      policy: makePolicy(settings.spread.policy),
      random,
    }),
    clock,
    reportFailure,
    send: routeDistribution,
    buildTick: () => ({ kind: 'tick' }),
  });
  const evidence =
    proxy.rollouts === undefined
      ? undefined
      : createEvidenceTask({
          host: settings.host,
          settings: proxy.rollouts,
          clock,
          registry: options.registry,
          reportFailure,
          postLink,
          postCalls: (message) => {
            calls.post(message);
          },
        });
  const floor = createFloorTask(options, {
    notifyLoaded: (mark) => {
      distribution.post({ kind: 'start', floor: mark });
    },
    notifySaved: ({ version }) => {
      distribution.post({ kind: 'floor-saved', version });
    },
  });
  const ledger = createLedgerClient({
    ledgers: proxy.ledgers,
    clock,
    reportFailure,
    postLink,
    answer: (answer) => {
      calls.post({ kind: 'ledger-answer', answer });
    },
  });
  const announce = new AnnounceTask({
    address: proxy.announce,
    clock,
    reportFailure,
    reportInputFault,
    front: options.fronts.createAnnounceFront(),
    pass: routeAnnounceRequest,
    notifyRejected: (url, { status, body }) => {
      log('announcement-rejected', { url, status, body });
    },
  });
  const ready = proxy.ready === undefined ? undefined : createReadyTask(proxy.ready, options);
  const readiness = new ProxyReadiness({
    recovery,
    post: (message) => {
      ready?.post(message);
    },
  });

  addHeldAnswerMetrics(options.registry, calls);
  const distributionStatus: DistributionStatus = { held: NO_VERSION, rejected: {} };
  const versions = new VersionMetrics(options.registry, clock);
  const sources = new SourceAddresses(proxy.sources);
  let isConfirmed = false;

  function postSources(): void {
    calls.post({ kind: 'sources', sources: sources.list() });
  }

  function routeAnnounceRequest(request: AnnounceRequest): void {
    if (request.kind === 'drain') log('draining');
    if (request.kind !== 'announce') {
      postMembers(request);
      return;
    }
    const { announcement } = request;
    const isOwn = proxy.service === undefined || announcement.service === proxy.service;
    if (isOwn) postMembers(proxy.rollouts === undefined ? removeVersion(request) : request);
    else log('announcement-ignored', { service: announcement.service });
  }

  /**
   * Logs requests for a confirmation until the first version is confirmed; later requests are for other
   * proxies only.
   */
  function logConfirmRequest({ to, kind, body }: DistributionSend): void {
    if (isConfirmed || body.kind !== 'ask-vouch') return;
    recovery.report('vouch-asked', { to, isSource: kind === 'send-source' });
  }

  function logLateVersion(output: LateVersion): void {
    const { held, since } = output;
    const sinceMs = Math.round(clock.read() - since);
    if (output.kind === 'caught-up') log('version-caught-up', { version: held, sinceMs });
    else log('version-behind', { from: output.from, known: output.known, held, sinceMs });
  }

  /** With strict revocation, keys are accepted only for some time after the version was known to be the newest. */
  function postKeysTrusted({ checkedAt }: NewestKnown): void {
    const { isRevocationStrict, revokeMs } = proxy.accounts;
    if (!isRevocationStrict || checkedAt === undefined) return;
    calls.post({ kind: 'keys-trusted', until: addMs(checkedAt, revokeMs) });
  }

  function routeDistribution(output: ProxyDistributionOut): void {
    switch (output.kind) {
      case 'send':
        logConfirmRequest(output);
        postLink({ kind: 'send', to: output.to, channel: 'spread', body: output.body });
        return;
      case 'send-source':
        logConfirmRequest(output);
        postLink({ kind: 'send', to: output.to, channel: 'source-spread', body: output.body });
        return;
      case 'keep':
      case 'drop':
        postLink(output);
        return;
      case 'held':
        log('version-held', { version: output.mark.version });
        versions.handleHeld(output.mark.version);
        postMembers({ kind: 'held', version: output.mark.version });
        distributionStatus.held = output.mark.version;
        report('distribution', distributionStatus);
        return;
      case 'newest-known':
        versions.handleNewestKnown(output);
        postKeysTrusted(output);
        return;
      case 'stale':
        log(output.isStale ? 'configuration-stale' : 'configuration-current', {
          held: distributionStatus.held,
        });
        calls.post(output);
        return;
      case 'behind':
      case 'caught-up':
        logLateVersion(output);
        return;
      case 'vouched':
        isConfirmed = true;
        recovery.report('version-vouched', { version: output.mark.version, by: output.by });
        return;
      case 'save-floor':
        floor?.post(output.mark);
        return;
      case 'whole':
        log('version-applied', { version: output.configuration.version });
        versions.handleServed(output.configuration.version);
        report('proxy', {
          version: output.configuration.version,
          resources: output.configuration.resources.size,
        });
        calls.post(output);
        evidence?.post(output);
        if (output.configuration.resources.size === 0) return;
        readiness.handleServed(output.configuration.version);
        return;
      case 'rejected':
        log('version-rejected', { address: output.address, fault: output.fault });
        distributionStatus.rejected[output.fault.kind] = output.count;
        report('distribution', distributionStatus);
        return;
    }
  }

  function routeCalls(notice: CallNotice): void {
    switch (notice.kind) {
      case 'ledger':
        ledger.post({ kind: 'request', request: notice.request });
        return;
      case 'allowance-request':
        postLink({ kind: 'send', to: notice.to, channel: 'allowances', body: notice.body });
        return;
      case 'allowance-lease': {
        const { isValid, grantor, term } = notice;
        log(isValid ? 'allowance-lease-begins' : 'allowance-lease-ends', { grantor, term });
        return;
      }
      case 'run-begun':
      case 'run-over':
        evidence?.post(notice);
        return;
      case 'explained':
        options.notifyExplained(notice);
        return;
      default:
        postMembers(notice);
    }
  }

  const optional = [floor, evidence].filter((task) => task !== undefined);
  const tasks = [ledger, calls, distribution, announce, ...optional];
  readiness.start();
  if (ready !== undefined) await ready.start();
  for (const task of tasks) await task.start();
  postSources();
  if (floor === undefined) distribution.post({ kind: 'start', floor: undefined });
  return {
    handleLink: (event) => {
      const reply = readLedgerReply(event, (from) => {
        log('ledger-message-dropped', { from });
      });
      if (reply !== undefined) ledger.post(reply);
      const message = readLinkEvent(event);
      if (message !== undefined) distribution.post(message);
      const heard = evidence && readEvidenceEvent(event);
      if (heard !== undefined) evidence?.post(heard);
      if (event.kind !== 'received' || event.channel !== 'allowances') return;
      const body = readAllowanceReply(event.body);
      if (body === undefined) logDroppedAllowance(event, log);
      else calls.handleAllowance({ kind: 'allowance-reply', from: event.address, body });
    },
    explain: (request) => {
      calls.post(request);
    },
    handleBytesSent: (bytes) => {
      calls.post({ kind: 'link-used', bytes });
    },
    handleMembership: (event) => {
      calls.post(event);
      if (event.kind === 'broadcast') return;
      distribution.post(event);
      if (sources.apply(event)) postSources();
      evidence?.post(event);
    },
    handleSettings: ({ proxy: changed }) => {
      const configured = changed?.sources ?? [];
      distribution.post({ kind: 'sources', sources: configured });
      sources.updateConfigured(configured);
      postSources();
    },
    linger: async () => {
      readiness.stop();
      const stop = buildStop(proxy, clock.read());
      if (stop !== undefined) calls.startStop(stop);
      await waitUntil(clock, addMs(clock.read(), findLingerMs(proxy) - findDrainLeadMs(proxy)));
    },
    stop: async () => {
      await waitUntil(clock, addMs(clock.read(), findDrainLeadMs(proxy)));
      for (const task of tasks.toReversed()) await task.stop();
      await ready?.stop();
    },
  };
}

// Internals.

type LateVersion = Extract<ProxyDistributionOut, { kind: 'behind' | 'caught-up' }>;

type NewestKnown = Extract<ProxyDistributionOut, { kind: 'newest-known' }>;

type DistributionSend = Extract<ProxyDistributionOut, { kind: 'send' | 'send-source' }>;

const MAX_LIFE = 2 ** 32;

/** A source host beside this proxy receives requests on the same channel. */
function logDroppedAllowance({ address: from, body }: ReceivedMessage, log: Log): void {
  if (readAllowanceRequest(body) === undefined) log('allowance-message-dropped', { from });
}

/** Last part of the linger time in milliseconds, in which other proxies learn that the local servers drain. */
const DRAIN_LEAD_MS = 500;

/** Fraction of the stop time that is reserved for the last answers and the end of the process. */
const STOP_MARGIN_SHARE = 1 / 8;

function buildStop({ stopWithinMs }: ProxySettings, now: Instant): PlannedStop | undefined {
  if (stopWithinMs === undefined) return undefined;
  const killAt = addMs(now, stopWithinMs);
  const marginMs = stopWithinMs * STOP_MARGIN_SHARE;
  return { answerBy: addMs(killAt, -marginMs), closeBy: addMs(killAt, -marginMs / 2) };
}

/** Maximum fraction of the stop time to linger; calls that arrive last need the rest to end. */
const MAX_LINGER_SHARE = 1 / 2;

function findLingerMs({
  lingerMs,
  stopWithinMs = Number.POSITIVE_INFINITY,
}: ProxySettings): number {
  return Math.min(lingerMs, stopWithinMs * MAX_LINGER_SHARE);
}

function findDrainLeadMs(proxy: ProxySettings): number {
  return Math.min(DRAIN_LEAD_MS, findLingerMs(proxy));
}

function waitUntil(clock: Clock, deadline: Instant): Promise<void> {
  return new Promise((resolve) => {
    clock.callAt(deadline, resolve);
  });
}

/**
 * Status section of the distribution: the version held, and the number of rejected messages by kind of fault.
 */
interface DistributionStatus {
  held: Version;
  readonly rejected: Partial<Record<DistributionFault['kind'], number>>;
}

/** Versions of backend servers are published only where there are roll-outs. */
function removeVersion(request: Extract<AnnounceRequest, { kind: 'announce' }>): AnnounceRequest {
  const { version, ...announcement } = request.announcement;
  return version === undefined ? request : { kind: 'announce', announcement };
}

function addHeldAnswerMetrics(registry: MetricsRegistry, calls: CallTask): void {
  const answers = new Gauge('link_held_answers', 'Answers that wait for the link.', () => [
    { value: calls.heldAnswers.answers },
  ]);
  const bytes = new Gauge('link_held_bytes', 'Bytes of answers that wait for the link.', () => [
    { value: calls.heldAnswers.bytes },
  ]);
  registry.add(answers);
  registry.add(bytes);
  const waiting = 'Large bodies of other proxies that wait for the permission to be sent.';
  registry.add(new Gauge('link_waiting_bodies', waiting, () => [{ value: calls.bodies.waiting }]));
  const arriving = 'Large bodies of other proxies that are being received.';
  registry.add(
    new Gauge('link_arriving_bodies', arriving, () => [{ value: calls.bodies.arriving }]),
  );
}

function createReadyTask(address: Address, options: ProxyOptions): ReadyTask {
  const { clock, log, registry, reportFailure, reportInputFault } = options;
  const answers = new ReadinessAnswers(log, registry);
  return new ReadyTask({
    address,
    clock,
    reportFailure,
    reportInputFault,
    notifyAnswered: (answer) => {
      answers.handle(answer);
    },
  });
}

/** Creates the task that stores the version floor; undefined without a data folder. */
function createFloorTask(
  { settings, reportFailure }: ProxyOptions,
  callbacks: Pick<FloorTaskOptions, 'notifyLoaded' | 'notifySaved'>,
): FloorTask | undefined {
  if (settings.dataFolder === undefined) return undefined;
  const path = join(settings.dataFolder, 'version-floor.json');
  return new FloorTask({ path, reportFailure, ...callbacks });
}

function readLinkEvent(event: LinkEvent): ProxyDistributionIn | undefined {
  const { address } = event;
  if (event.kind !== 'received') return { kind: event.kind, address };
  if (event.channel !== 'spread') return undefined;
  const body = readDistributionMessage(event.body);
  if (body === undefined) return { kind: 'malformed', address };
  return { kind: 'received', from: event.from, address, body };
}
