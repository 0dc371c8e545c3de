/** The `run` command: starts the roles of a process and stops them after a signal. */
import { randomBytes, randomInt } from 'node:crypto';
import type { Clock } from '../clock.js';
import { SystemClock } from '../clock.js';
import { LinkTask } from '../edge/index.js';
import type { LinkCommand, LinkEvent } from '../messages/index.js';
import { MetricsRegistry } from '../metrics/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { SeededRandom } from '../random.js';
import { CallLog } from './call-log.js';
import { CallMetrics } from './call-metrics.js';
import { createTracer } from './create-tracer.js';
import type { Fronts } from './fronts.js';
import { createLineSink } from './line-sink.js';
import { LoopMonitor } from './loop-monitor.js';
import { RateLimitedLog } from './logger.js';
import type { Log } from './logger.js';
import { runLedger } from './run-ledger.js';
import { addLogMetrics, addProcessMetrics } from './process-metrics.js';
import type { RunningRole } from './running-role.js';
import { MembershipLog } from './membership-log.js';
import { RecoveryLog } from './recovery-log.js';
import { createMembership } from './create-membership.js';
import { runProxy } from './run-proxy.js';
import { createInputFaultReport } from './input-faults.js';
import { runSource } from './run-source.js';
import type { Settings } from './settings.js';
import { SettingsWatcher } from './settings-watcher.js';
import type { ReportStatus } from './status.js';
import { createStatusTask } from './status.js';
import { StopSignal } from './stop-signal.js';

/** Runs the configured roles until SIGTERM or SIGINT, then stops gracefully. Resolves with the exit code. */
export async function runProcess(
  settings: Settings,
  fronts: Fronts,
  settingsFile: string,
): Promise<number> {
  const stopSignal = new StopSignal();
  const clock = new SystemClock();
  const { host, logLevel: level } = settings;
  const boundedLog = new RateLimitedLog({ host, level, clock, sink: createLineSink() });
  const log = boundedLog.write;
  const reportFailure: ReportFailure = (task, error) => {
    boundedLog.writeFailure(task, error);
    process.exit(EXIT_FAILED);
  };
  const random = new SeededRandom(randomInt(MAX_RANDOM_SEED));
  const roles: RunningRole[] = [];
  const pass = randomBytes(PASS_BYTES).toString('base64url');
  const registry = new MetricsRegistry();
  const reportInputFault = createInputFaultReport(log, registry);
  const membershipLog = new MembershipLog(host, log);
  const recovery = createRecoveryLog(settings, log, clock);
  const status = createStatusTask({
    settings,
    clock,
    registry,
    reportFailure,
    reportInputFault,
    passQuery: (request) => {
      const role = roles.find(({ explain }) => explain !== undefined);
      role?.explain?.(request);
      return role !== undefined;
    },
  });
  const links = new LinkTask({
    host: settings.host,
    control: settings.control,
    bind: settings.bind,
    clock,
    random,
    reportFailure,
    notify: (event: LinkEvent) => {
      recovery.handleLink(event);
      members.handleLink(event);
      for (const role of roles) role.handleLink(event);
    },
    notifyRejected: (from, reason) => {
      log('frame-rejected', { from, reason });
    },
    notifySilent: (control, unacknowledged) => {
      log('link-silent', { control, unacknowledged });
    },
    notifySent: (bytes) => {
      for (const role of roles) role.handleBytesSent?.(bytes);
    },
  });
  const postLink = (command: LinkCommand): void => {
    links.post(command);
  };
  const members = createMembership({
    settings,
    pass,
    clock,
    random,
    log,
    registry,
    reportFailure,
    postLink,
    notify: (event) => {
      membershipLog.handle(event);
      recovery.handleMembership(event);
      if (event.kind !== 'broadcast') status.post(event);
      for (const role of roles) role.handleMembership(event);
    },
  });
  const postMembers = members.post;
  const report: ReportStatus = (section, value) => {
    status.post({ kind: 'report', section, value });
  };

  const settingsWatcher = new SettingsWatcher({
    path: settingsFile,
    loaded: settings,
    clock,
    apply: (changed) => {
      members.handleSettings(changed);
      for (const role of roles) role.handleSettings?.(changed);
    },
    log,
  });

  addProcessMetrics(registry, links);
  addLogMetrics(registry, boundedLog);
  const tracer = await createTracer(settings.host, settings.traces);
  const loopMonitor = new LoopMonitor({ log, clock, registry, next: new CallMetrics(registry) });
  const observer = new CallLog({ log, next: loopMonitor });

  loopMonitor.start();
  await status.start();
  await links.start();
  const { source, ledger, proxy, dataFolder } = settings;
  if (settings.roles.includes('source') && source && dataFolder !== undefined) {
    const { host, control, spread } = settings;
    const front = fronts.createOperatorFront(source);
    const shared = { host, settings: source, dataFolder, control, spread: spread.policy, front };
    const reports = { reportFailure, reportInputFault, report };
    const dependencies = { clock, random, log, recovery, postLink, ...reports };
    roles.push(await runSource({ ...shared, ...dependencies }));
  }
  if (settings.roles.includes('ledger') && ledger && dataFolder !== undefined) {
    const { host, control } = settings;
    const shared = { host, settings: ledger, dataFolder, control };
    roles.push(await runLedger({ ...shared, clock, random, log, reportFailure, postLink }));
  }
  if (settings.roles.includes('proxy') && proxy) {
    const shared = { settings, proxy, pass, clock, random, log, recovery, registry, reportFailure };
    roles.push(
      await runProxy({
        ...shared,
        reportInputFault,
        fronts,
        postLink,
        postMembers,
        report,
        tracer,
        observer,
        notifyExplained: (answer) => {
          status.post(answer);
        },
      }),
    );
  }
  await members.start();
  log('started', { roles: settings.roles, control: settings.control });
  settingsWatcher.start();
  const signal = await stopSignal.wait();
  settingsWatcher.stop();
  log('stopping', { signal });
  await Promise.all(roles.flatMap((role) => role.linger?.() ?? []));
  members.post({ kind: 'drain' });
  for (const role of roles.toReversed()) await role.stop();
  await members.stop();
  await links.stop();
  await tracer.stop();
  loopMonitor.stop();
  await status.stop();
  log('stopped');
  await boundedLog.close();
  return 0;
}

// Internals.

const EXIT_FAILED = 70;
const MAX_RANDOM_SEED = 2 ** 31;
const PASS_BYTES = 9;

function createRecoveryLog(settings: Settings, log: Log, clock: Clock): RecoveryLog {
  const { host, proxy, source } = settings;
  const sources = [...(proxy?.sources ?? []), ...(source?.replicas ?? [])];
  return new RecoveryLog({ host, log, clock, sources });
}
