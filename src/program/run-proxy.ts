/** Wires the proxy role: distribution, membership, announcements and calls. */
import { join } from 'node:path';
import type { CallObserver } from '../calls/index.js';
import type { Clock } from '../clock.js';
import { addMs } from '../clock.js';
import type { AnnounceRequest, CallNotice, FloorOptions, PlannedStop } from '../edge/index.js';
import { AnnounceTask, CallTask, FloorTask, readSpreadMessage, ReadyTask } from '../edge/index.js';
import type { MembersIn } from '../members/index.js';
import type { Instant, Version } from '../ids.js';
import { NO_VERSION, parseCallerId } from '../ids.js';
import type { LinkCommand, LinkEvent } from '../messages/index.js';
import type { MetricsRegistry } from '../metrics/index.js';
import { Gauge } from '../metrics/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { FilterTask } from '../pipe/index.js';
import type {
  ProxySpreadIn,
  ProxySpreadOut,
  ProxySpreadState,
  SpreadFault,
} from '../distribution/index.js';
import { makePolicy, ProxySpreadFilter } from '../distribution/index.js';
import type { Random } from '../random.js';
import { createLedgerClient, readLedgerReply } from './ledger-client.js';
import type { HopTracer } from '../traces/index.js';
import type { Fronts } from './fronts.js';
import type { Log } from './logger.js';
import { ProxyReadiness } from './proxy-readiness.js';
import type { RecoveryLog } from './recovery-log.js';
import type { RunningRole } from './running-role.js';
import type { ProxySettings, Settings } from './settings.js';
import type { ReportStatus } from './status.js';
import { VersionMetrics } from './version-metrics.js';

/** What the proxy role needs. */
export interface ProxyOptions {
  readonly settings: Settings;
  readonly proxy: ProxySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly recovery: RecoveryLog;
  readonly registry: MetricsRegistry;
  readonly reportFailure: ReportFailure;
  readonly postLink: (command: LinkCommand) => void;
  readonly postMembers: (message: MembersIn) => void;
  /** The random text by which other proxies are known to forward calls; see {@link Member.pass}. */
  readonly pass: string;
  readonly report: ReportStatus;
  readonly tracer: HopTracer;
  readonly observer: CallObserver;
  readonly fronts: Fronts;
}

/** Starts the tasks of the proxy role. */
export async function runProxy(options: ProxyOptions): Promise<RunningRole> {
  const { settings, proxy, clock, random, log, reportFailure } = options;
  const { postLink, postMembers, recovery, report } = options;
  const calls = new CallTask({
    address: proxy.calls,
    secondAddress: proxy.forwards,
    front: options.fronts.createCallFront(),
    caller: proxy.service === undefined ? undefined : parseCallerId(proxy.service),
    retries: proxy.retries,
    linkBytesPerSecond: proxy.linkBytesPerSecond,
    place: settings,
    pass: options.pass,
    clock,
    random,
    tracer: options.tracer,
    observer: options.observer,
    reportFailure,
    send: routeCalls,
  });
  const spread = new FilterTask<ProxySpreadState, ProxySpreadIn, ProxySpreadOut>({
    name: 'proxy-spread',
    filter: new ProxySpreadFilter({
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
    send: routeSpread,
    formTick: () => ({ kind: 'tick' }),
  });
  const floor = createFloorTask(options, {
    notifyLoaded: (mark) => {
      spread.post({ kind: 'start', floor: mark });
    },
    notifySaved: ({ version }) => {
      spread.post({ kind: 'floor-saved', version });
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
    front: options.fronts.createAnnounceFront(),
    pass: passAnnounced,
    notifyRejected: (url, { status, body }) => {
      log('announcement-rejected', { url, status, body });
    },
  });
  const ready =
    proxy.ready === undefined
      ? undefined
      : new ReadyTask({ name: 'ready', address: proxy.ready, reportFailure });
  const readiness = new ProxyReadiness({
    recovery,
    post: (message) => {
      ready?.post(message);
    },
  });

  addHeldMetrics(options.registry, calls);
  const distribution: DistributionStatus = { held: NO_VERSION, rejected: {} };
  const versions = new VersionMetrics(options.registry, clock);
  let isVouched = false;

  function passAnnounced(request: AnnounceRequest): void {
    if (request.kind === 'drain') log('draining');
    if (request.kind !== 'announce') {
      postMembers(request);
      return;
    }
    const { announcement } = request;
    const isOwn = proxy.service === undefined || announcement.service === proxy.service;
    if (isOwn) postMembers(request);
    else log('announcement-ignored', { service: announcement.service });
  }

  /** Once a version is vouched for, this proxy asks on behalf of others only. */
  function logVouchAsk({ to, kind, body }: SpreadSend): void {
    if (isVouched || body.kind !== 'ask-vouch') return;
    recovery.report('vouch-asked', { to, isSource: kind === 'send-source' });
  }

  function routeSpread(output: ProxySpreadOut): void {
    switch (output.kind) {
      case 'send':
        logVouchAsk(output);
        postLink({ kind: 'send', to: output.to, channel: 'spread', body: output.body });
        return;
      case 'send-source':
        logVouchAsk(output);
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
        distribution.held = output.mark.version;
        report('distribution', distribution);
        return;
      case 'vouched':
        isVouched = true;
        recovery.report('version-vouched', { version: output.mark.version, by: output.by });
        return;
      case 'save-floor':
        floor?.post(output.mark);
        return;
      case 'whole':
        log('version-applied', { version: output.whole.version });
        versions.handleServed(output.whole.version);
        report('proxy', { version: output.whole.version, resources: output.whole.resources.size });
        calls.post(output);
        if (output.whole.resources.size === 0) return;
        readiness.handleServed(output.whole.version);
        return;
      case 'rejected':
        log('version-rejected', { address: output.address, fault: output.fault });
        distribution.rejected[output.fault.kind] = output.count;
        report('distribution', distribution);
        return;
    }
  }

  function routeCalls(notice: CallNotice): void {
    if (notice.kind === 'ledger') ledger.post({ kind: 'request', request: notice.request });
    else postMembers(notice);
  }

  const tasks = [ledger, calls, spread, announce, ...(floor === undefined ? [] : [floor])];
  readiness.start();
  if (ready !== undefined) await ready.start();
  for (const task of tasks) await task.start();
  if (floor === undefined) spread.post({ kind: 'start', floor: undefined });
  return {
    handleLink: (event) => {
      const reply = readLedgerReply(event, (from) => {
        log('ledger-message-dropped', { from });
      });
      if (reply !== undefined) ledger.post(reply);
      const message = readLinkEvent(event);
      if (message !== undefined) spread.post(message);
    },
    handleLinkUse: (bytes) => {
      calls.post({ kind: 'link-used', bytes });
    },
    handleMembership: (event) => {
      calls.post(event);
      if (event.kind !== 'broadcast') spread.post(event);
    },
    handleSettings: ({ proxy: changed }) => {
      const sources = changed?.sources ?? [];
      spread.post({ kind: 'sources', sources });
    },
    linger: async () => {
      readiness.stop();
      const stop = formStop(proxy, clock.read());
      if (stop !== undefined) calls.startStop(stop);
      await waitUntil(clock, addMs(clock.read(), measureLinger(proxy) - measureDrainLead(proxy)));
    },
    stop: async () => {
      await waitUntil(clock, addMs(clock.read(), measureDrainLead(proxy)));
      for (const task of tasks.toReversed()) await task.stop();
      await ready?.stop();
    },
  };
}

// Internals.

type SpreadSend = Extract<ProxySpreadOut, { kind: 'send' | 'send-source' }>;

/** The last part of the linger time, in which other proxies learn that the servers here drain. */
const DRAIN_LEAD_MS = 500;

/** The part of the time of a stop that is left to the last answers and to the end of the process. */
const STOP_MARGIN_SHARE = 1 / 8;

function formStop({ stopWithinMs }: ProxySettings, now: Instant): PlannedStop | undefined {
  if (stopWithinMs === undefined) return undefined;
  const killedAt = addMs(now, stopWithinMs);
  const marginMs = stopWithinMs * STOP_MARGIN_SHARE;
  return { answerBy: addMs(killedAt, -marginMs), closeBy: addMs(killedAt, -marginMs / 2) };
}

/** Calls that come last still need time to end. */
const MAX_LINGER_SHARE = 1 / 2;

function measureLinger({
  lingerMs,
  stopWithinMs = Number.POSITIVE_INFINITY,
}: ProxySettings): number {
  return Math.min(lingerMs, stopWithinMs * MAX_LINGER_SHARE);
}

function measureDrainLead(proxy: ProxySettings): number {
  return Math.min(DRAIN_LEAD_MS, measureLinger(proxy));
}

function waitUntil(clock: Clock, deadline: Instant): Promise<void> {
  return new Promise((resolve) => {
    clock.callAt(deadline, resolve);
  });
}

/** What the status tells of distribution: the version held, and what peers sent that was left out. */
interface DistributionStatus {
  held: Version;
  readonly rejected: Partial<Record<SpreadFault['kind'], number>>;
}

function addHeldMetrics(registry: MetricsRegistry, calls: CallTask): void {
  const answers = new Gauge('link_held_answers', 'Answers that wait for the link.', () => [
    { value: calls.heldAnswers.answers },
  ]);
  const bytes = new Gauge('link_held_bytes', 'Bytes of answers that wait for the link.', () => [
    { value: calls.heldAnswers.bytes },
  ]);
  registry.add(answers);
  registry.add(bytes);
}

/** A host without a data folder keeps no floor. */
function createFloorTask(
  { settings, reportFailure }: ProxyOptions,
  callbacks: Pick<FloorOptions, 'notifyLoaded' | 'notifySaved'>,
): FloorTask | undefined {
  if (settings.dataFolder === undefined) return undefined;
  const path = join(settings.dataFolder, 'version-floor.json');
  return new FloorTask({ path, reportFailure, ...callbacks });
}

function readLinkEvent(event: LinkEvent): ProxySpreadIn | undefined {
  const { address } = event;
  if (event.kind !== 'received') return { kind: event.kind, address };
  if (event.channel !== 'spread') return undefined;
  const body = readSpreadMessage(event.body);
  if (body === undefined) return { kind: 'malformed', address };
  return { kind: 'received', from: event.from, address, body };
}
