/** Wires the source role: log, notes, operators' interface and distribution. */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Clock } from '../clock.js';
import { LogTask, OperatorTask } from '../edge/index.js';
import type { LinkCommand, LinkEvent, NoteCommand, SpreadMessage } from '../messages/index.js';
import type { NotesIn, NotesOut, NotesState } from '../notes/index.js';
import { NotesFilter } from '../notes/index.js';
import type { ReportFailure, Wake } from '../pipe/index.js';
import { FilterTask } from '../pipe/index.js';
import type { SourceSpreadIn, SourceSpreadOut, SourceSpreadState } from '../spread/index.js';
import { SourceSpreadFilter } from '../spread/index.js';
import type { RunningRole } from './running-role.js';
import type { SourceSettings } from './settings.js';
import type { ReportStatus } from './status.js';

/** What the source role needs. */
export interface SourceOptions {
  readonly settings: SourceSettings;
  readonly dataFolder: string;
  readonly clock: Clock;
  readonly reportFailure: ReportFailure;
  readonly postLink: (command: LinkCommand) => void;
  readonly report: ReportStatus;
}

/** Starts the tasks of the source role. */
export async function runSource(options: SourceOptions): Promise<RunningRole> {
  const { settings, clock, reportFailure, postLink, report } = options;
  const notes = new FilterTask<NotesState, NotesIn, NotesOut>({
    name: 'notes',
    filter: new NotesFilter(),
    clock,
    reportFailure,
    send: routeNotes,
    formTick: () => ({ kind: 'tick' }),
  });
  const log = new LogTask<NoteCommand>({
    path: join(options.dataFolder, 'notes.log'),
    clock,
    reportFailure,
    notify: (notice) => {
      notes.post({ kind: 'log', notice });
    },
  });
  const spread = new FilterTask<SourceSpreadState, SourceSpreadIn, SourceSpreadOut>({
    name: 'source-spread',
    filter: new SourceSpreadFilter(),
    clock,
    reportFailure,
    send: routeSpread,
  });
  const operator = new OperatorTask({
    address: settings.operator,
    clock,
    waitLimitMs: settings.waitLimitMs,
    findOperator: (host) => settings.operators.get(host),
    token: readFileSync(settings.tokenFile, 'utf8').trim(),
    reportFailure,
    request: (message) => {
      notes.post(message);
    },
  });

  function routeNotes(output: Exclude<NotesOut, Wake>): void {
    if (output.kind === 'log') log.post({ kind: 'request', request: output.request });
    else if (output.kind === 'version') spread.post({ kind: 'version', delta: output.delta });
    else if (output.kind === 'report') report('source', output.report);
    else operator.post(output);
  }

  function routeSpread(output: SourceSpreadOut): void {
    if (output.kind === 'coverage') notes.post(output);
    else postLink({ kind: 'send', to: output.to, channel: 'spread', body: output.body });
  }

  const tasks = [spread, notes, log, operator];
  for (const task of tasks) await task.start();
  return {
    handleLink: (event) => {
      const message = readLinkEvent(event);
      if (message !== undefined) spread.post(message);
    },
    handleMembership: () => {
      // The source role does not act on members yet; it takes part so that they can find each other.
    },
    stop: async () => {
      for (const task of tasks.toReversed()) await task.stop();
    },
  };
}

// Internals.

function readLinkEvent(event: LinkEvent): SourceSpreadIn | undefined {
  if (event.kind === 'link-down') return { kind: 'link-down', address: event.address };
  if (event.kind !== 'received' || event.channel !== 'spread') return undefined;
  const { from, address } = event;
  return { kind: 'received', from, address, body: event.body as SpreadMessage };
}
