/** Wires the proxy role: distribution, membership, announcements and calls. */
import { randomInt, randomUUID } from 'node:crypto';
import type { Clock } from '../clock.js';
import type { CallNotice } from '../edge/index.js';
import { AnnounceTask, CallTask } from '../edge/index.js';
import type { Incarnation } from '../ids.js';
import { NO_VERSION } from '../ids.js';
import type { MembersIn, MembersOut, MembersState } from '../members/index.js';
import { MembersFilter } from '../members/index.js';
import type { LinkCommand, LinkEvent, Member, SpreadMessage } from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { FilterTask } from '../pipe/index.js';
import { SeededRandom } from '../random.js';
import type { ProxySpreadIn, ProxySpreadOut, ProxySpreadState } from '../spread/index.js';
import { ProxySpreadFilter } from '../spread/index.js';
import type { Log } from './logger.js';
import type { RunningRole } from './running-role.js';
import type { ProxySettings, Settings } from './settings.js';

/** What the proxy role needs. */
export interface ProxyOptions {
  readonly settings: Settings;
  readonly proxy: ProxySettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly reportFailure: ReportFailure;
  readonly postLink: (command: LinkCommand) => void;
}

/** Starts the tasks of the proxy role. */
export async function runProxy(options: ProxyOptions): Promise<RunningRole> {
  const { settings, proxy, clock, log, reportFailure, postLink } = options;
  const pass = randomUUID();
  const calls = new CallTask({
    address: proxy.calls,
    place: settings,
    pass,
    clock,
    random: new SeededRandom(randomInt(MAX_SEED)),
    reportFailure,
    send: routeCalls,
  });
  const spread = new FilterTask<ProxySpreadState, ProxySpreadIn, ProxySpreadOut>({
    name: 'proxy-spread',
    filter: new ProxySpreadFilter(settings.host),
    clock,
    reportFailure,
    send: routeSpread,
  });
  const members = new FilterTask<MembersState, MembersIn, MembersOut>({
    name: 'members',
    filter: new MembersFilter(formSelf(settings, proxy, pass)),
    clock,
    reportFailure,
    send: (output) => {
      calls.post(output);
    },
    formTick: () => ({ kind: 'tick' }),
  });
  const announce = new AnnounceTask({
    address: proxy.announce,
    clock,
    reportFailure,
    announce: (announcement) => {
      members.post({ kind: 'announce', announcement });
    },
  });

  function routeSpread(output: ProxySpreadOut): void {
    switch (output.kind) {
      case 'send':
        postLink({ kind: 'send', to: output.to, channel: 'spread', body: output.body });
        return;
      case 'whole':
        log('version-applied', { version: output.whole.version });
        calls.post(output);
        return;
      case 'rejected':
        log('version-rejected', { address: output.address, fault: output.fault });
        return;
    }
  }

  /** Until the ledger is wired, every claim is answered as if it were out. */
  function routeCalls(notice: CallNotice): void {
    if (notice.kind !== 'ledger') return;
    calls.post({
      kind: 'ledger-answer',
      answer: { kind: 'unavailable', id: notice.request.id },
    });
  }

  const tasks = [calls, spread, members, announce];
  for (const task of tasks) await task.start();
  for (const to of proxy.sources) postLink({ kind: 'keep', to });
  return {
    handleLink: (event) => {
      const message = readLinkEvent(event);
      if (message !== undefined) spread.post(message);
    },
    stop: async () => {
      for (const task of tasks.toReversed()) await task.stop();
    },
  };
}

// Internals.

const MAX_SEED = 2 ** 31;

function formSelf(settings: Settings, proxy: ProxySettings, pass: string): Member {
  return {
    host: settings.host,
    region: settings.region,
    dataCentre: settings.dataCentre,
    control: settings.control,
    calls: proxy.calls,
    pass,
    incarnation: 1 as Incarnation,
    liveness: 'alive',
    version: NO_VERSION,
    servers: [],
  };
}

function readLinkEvent(event: LinkEvent): ProxySpreadIn | undefined {
  if (event.kind === 'link-up') return { kind: 'link-up', address: event.address };
  if (event.kind !== 'received' || event.channel !== 'spread') return undefined;
  return { kind: 'received', address: event.address, body: event.body as SpreadMessage };
}
