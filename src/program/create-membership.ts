/** Connects the membership tasks. Every process is a member, independent of its roles. */
import { join } from 'node:path';
import type { Clock } from '../clock.js';
import { BroadcastTask, decodeSync, encodeSync, ProbeTask } from '../edge/index.js';
import type { Address, HostId, Incarnation } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { MembersIn, MembersOut, MembersState } from '../members/index.js';
import { MembersFilter } from '../members/index.js';
import type {
  LinkCommand,
  LinkEvent,
  Member,
  MembershipEvent,
  MemberUpdate,
} from '../messages/index.js';
import type { MetricsRegistry } from '../metrics/index.js';
import { Gauge } from '../metrics/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { FilterTask } from '../pipe/index.js';
import type { Random } from '../random.js';
import type { Log } from './logger.js';
import type { Settings } from './settings.js';

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  readonly settings: Settings;
  /** Random text, new at each start of the process; see {@link Member.pass}. */
  readonly pass: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly registry: MetricsRegistry;
  readonly reportFailure: ReportFailure;
  readonly postLink: (command: LinkCommand) => void;
  /** Called with each membership event; must post it to the inboxes of the other tasks. */
  readonly notify: (event: MembershipEvent) => void;
}

/** The membership of a process. Messages posted before `start` are queued. */
export interface Membership {
  readonly post: (message: MembersIn) => void;
  readonly handleLink: (event: LinkEvent) => void;
  readonly handleSettings: (settings: Settings) => void;
  readonly start: () => Promise<void>;
  /** Announces to the other members that this process leaves, then closes the socket. */
  readonly stop: () => Promise<void>;
}

/** Creates the membership tasks; nothing is sent before `start`. */
export function createMembership(options: MembershipOptions): Membership {
  const { settings, clock, random, log, reportFailure, postLink, notify } = options;
  const startedAt = clock.read();
  const knownHosts = new Set<HostId>();
  const members = new FilterTask<MembersState, MembersIn, MembersOut>({
    name: 'members',
    filter: new MembersFilter({
      self: buildSelf(settings, options.pass),
      startedAt,
      seeds: listSeeds(settings),
      random,
    }),
    clock,
    reportFailure,
    send: route,
    buildTick: () => ({ kind: 'tick' }),
  });
  const broadcasts = createBroadcastTask(options, (updates) => {
    members.post({ kind: 'remembered', updates });
  });
  const probes = new ProbeTask({
    bind: settings.bind,
    reportFailure,
    notify: (from, message) => {
      members.post({ kind: 'datagram', from, message });
    },
    notifyDropped: logDropped,
  });

  addMetrics(options.registry, probes);

  function logDropped(from: Address, reason: string): void {
    log('member-update-dropped', { from, reason });
  }

  function readUptimeMs(): number {
    return Math.round(clock.read() - startedAt);
  }

  function route(output: Exclude<MembersOut, { kind: 'wake' }>): void {
    if (output.kind === 'datagram') probes.post(output);
    else if (output.kind === 'remember') broadcasts?.post(output.update);
    else if (output.kind === 'send') {
      postLink({ kind: 'send', to: output.to, channel: 'members', body: encodeSync(output.body) });
    } else if (output.kind === 'introduction-answered') {
      const { kind, host: member, address, others, asks } = output;
      log(kind, { address, member, others, asks, sinceStartMs: readUptimeMs() });
    } else if (output.kind === 'introduction-unanswered') {
      const { kind, address } = output;
      log(kind, { address, members: knownHosts.size, sinceStartMs: readUptimeMs() });
    } else {
      if (output.kind === 'member-up') knownHosts.add(output.member.host);
      if (output.kind === 'member-gone') knownHosts.delete(output.host);
      notify(output);
    }
  }

  return {
    post: (message) => {
      members.post(message);
    },
    handleLink: (event) => {
      const message = readLinkEvent(event, logDropped);
      if (message !== undefined) members.post(message);
    },
    handleSettings: (changed) => {
      members.post({ kind: 'seeds', seeds: listSeeds(changed) });
    },
    start: async () => {
      // What was remembered is handled first, and then told to whoever asks.
      await broadcasts?.start();
      await probes.start();
      await members.start();
      members.post({ kind: 'tick' });
    },
    stop: async () => {
      members.post({ kind: 'leave' });
      await members.stop();
      await probes.stop();
      await broadcasts?.stop();
      const uptimeMs = clock.read() - startedAt;
      log('members-left', { members: knownHosts.size, uptimeMs, ...probes.counts });
    },
  };
}

// Internals.

/** Creates the task that keeps broadcast items; undefined without a data folder. */
function createBroadcastTask(
  { settings: { dataFolder }, clock, log, reportFailure }: MembershipOptions,
  notifyLoaded: (updates: readonly MemberUpdate[]) => void,
): BroadcastTask | undefined {
  if (dataFolder === undefined) return undefined;
  return new BroadcastTask({
    path: join(dataFolder, 'broadcasts.log'),
    clock,
    reportFailure,
    notifyLoaded: (updates) => {
      if (updates.length > 0) log('broadcasts-remembered', { items: updates.length });
      notifyLoaded(updates);
    },
    notifyDropped: (reason) => {
      log('broadcasts-dropped', { reason });
    },
  });
}

function addMetrics(registry: MetricsRegistry, { counts }: ProbeTask): void {
  const datagrams = new Gauge('members_datagrams', 'Datagrams between members, by fate.', () => [
    { labels: { fate: 'sent' }, value: counts.sent },
    { labels: { fate: 'received' }, value: counts.received },
    { labels: { fate: 'malformed' }, value: counts.malformed },
    { labels: { fate: 'failed' }, value: counts.failed },
  ]);
  const dropped = new Gauge('members_dropped_updates', 'Updates left out of datagrams.', () => [
    { value: counts.dropped },
  ]);
  const bytes = new Gauge('members_datagram_bytes', 'Bytes of datagrams, by direction.', () => [
    { labels: { direction: 'sent' }, value: counts.sentBytes },
    { labels: { direction: 'received' }, value: counts.receivedBytes },
  ]);
  registry.add(datagrams);
  registry.add(bytes);
  registry.add(dropped);
}

function buildSelf(settings: Settings, pass: string): Member {
  return {
    host: settings.host,
    region: settings.region,
    dataCentre: settings.dataCentre,
    control: settings.control,
    calls: settings.proxy?.calls ?? settings.control,
    pass,
    isSource: settings.roles.includes('source'),
    incarnation: 0 as Incarnation,
    liveness: 'alive',
    version: NO_VERSION,
    servers: [],
  };
}

/**
 * Lists the seeds. The configured sources and ledger replicas are seeds too, so that no separate group forms
 * without them.
 */
function listSeeds({ proxy, source, ledger }: Settings): Address[] {
  const configured = [
    proxy?.seeds,
    proxy?.sources,
    source?.replicas,
    source?.seeds,
    ledger?.replicas,
  ];
  return [...new Set(configured.flatMap((addresses) => addresses ?? []))];
}

function readLinkEvent(
  event: LinkEvent,
  notifyDropped: (from: Address, reason: string) => void,
): MembersIn | undefined {
  if (event.kind !== 'received') return event;
  if (event.channel !== 'members') return undefined;
  const { address } = event;
  const drop = (reason: string): void => {
    notifyDropped(address, reason);
  };
  try {
    return { kind: 'received', address, body: decodeSync(event.body, drop) };
  } catch (error) {
    drop((error as Error).message);
    return undefined;
  }
}
