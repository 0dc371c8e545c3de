/** Wires the proxy role: distribution, membership, announcements and calls. */
import type { Clock } from '../clock.js';
import { AnnounceTask, CallTask } from '../edge/index.js';
import type { MembersIn } from '../members/index.js';
import type { LinkCommand, LinkEvent, SpreadMessage } from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { FilterTask } from '../pipe/index.js';
import type { ProxySpreadIn, ProxySpreadOut, ProxySpreadState } from '../spread/index.js';
import { ProxySpreadFilter } from '../spread/index.js';
import type { Log } from './logger.js';
import type { RunningRole } from './running-role.js';
import type { ProxySettings, Settings } from './settings.js';
import type { ReportStatus } from './status.js';

/** What the proxy role needs. */
export interface ProxyOptions {
  readonly settings: Settings;
  readonly proxy: ProxySettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly reportFailure: ReportFailure;
  readonly postLink: (command: LinkCommand) => void;
  readonly postMembers: (message: MembersIn) => void;
  readonly report: ReportStatus;
}

/** Starts the tasks of the proxy role. */
export async function runProxy(options: ProxyOptions): Promise<RunningRole> {
  const { settings, proxy, clock, log, reportFailure, postLink, postMembers, report } = options;
  const calls = new CallTask({ address: proxy.calls, clock, reportFailure });
  const spread = new FilterTask<ProxySpreadState, ProxySpreadIn, ProxySpreadOut>({
    name: 'proxy-spread',
    filter: new ProxySpreadFilter(settings.host),
    clock,
    reportFailure,
    send: routeSpread,
  });
  const announce = new AnnounceTask({
    address: proxy.announce,
    clock,
    reportFailure,
    announce: (announcement) => {
      postMembers({ kind: 'announce', announcement });
    },
    drain: () => {
      log('draining');
      postMembers({ kind: 'drain' });
    },
  });

  function routeSpread(output: ProxySpreadOut): void {
    switch (output.kind) {
      case 'send':
        postLink({ kind: 'send', to: output.to, channel: 'spread', body: output.body });
        return;
      case 'whole':
        log('version-applied', { version: output.whole.version });
        report('proxy', { version: output.whole.version, resources: output.whole.resources.size });
        calls.post(output);
        return;
      case 'rejected':
        log('version-rejected', { address: output.address, fault: output.fault });
        return;
    }
  }

  const tasks = [calls, spread, announce];
  for (const task of tasks) await task.start();
  for (const to of proxy.sources) postLink({ kind: 'keep', to });
  return {
    handleLink: (event) => {
      const message = readLinkEvent(event);
      if (message !== undefined) spread.post(message);
    },
    handleMembership: (event) => {
      if (event.kind !== 'broadcast') calls.post(event);
    },
    stop: async () => {
      for (const task of tasks.toReversed()) await task.stop();
    },
  };
}

// Internals.

function readLinkEvent(event: LinkEvent): ProxySpreadIn | undefined {
  if (event.kind === 'link-up') return { kind: 'link-up', address: event.address };
  if (event.kind !== 'received' || event.channel !== 'spread') return undefined;
  return { kind: 'received', address: event.address, body: event.body as SpreadMessage };
}
