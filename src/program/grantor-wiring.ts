/** Connects the grantor of allowances to the log and the links of a source host. */
import type { GrantorIn, GrantorOut, GrantorState } from '../allowances/index.js';
import { GrantorFilter, isGrantorConfirmation } from '../allowances/index.js';
import type { Clock } from '../clock.js';
import { readAllowanceReply, readAllowanceRequest } from '../edge/index.js';
import type { Address, HostId, RequestId } from '../ids.js';
import type { LinkCommand, LinkEvent } from '../messages/index.js';
import type { NotesNotice } from '../notes/index.js';
import type { ReportFailure, WakeRequest } from '../pipe/index.js';
import { FilterTask } from '../pipe/index.js';
import type { Log } from './logger.js';

/** Options of {@link GrantorWiring}. */
export interface GrantorWiringOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly reportFailure: ReportFailure;
  readonly postLink: (command: LinkCommand) => void;
  /** Asks the log for a confirmation that this host leads. */
  readonly confirm: (id: RequestId) => void;
  readonly findControlAddress: (host: HostId) => Address | undefined;
}

/** Runs the grantor, and routes its messages. */
export class GrantorWiring {
  readonly task: FilterTask<GrantorState, GrantorIn, GrantorOut>;
  readonly #options: GrantorWiringOptions;

  constructor(options: GrantorWiringOptions) {
    this.#options = options;
    const { clock, reportFailure } = options;
    this.task = new FilterTask<GrantorState, GrantorIn, GrantorOut>({
      name: 'grantor',
      filter: new GrantorFilter(),
      clock,
      reportFailure,
      send: (output) => {
        this.#route(output);
      },
      buildTick: () => ({ kind: 'tick' }),
    });
  }

  /** Passes on the outcome of a confirmation that the grantor requested; returns whether it was one. */
  handleOutcome(notice: NotesNotice): boolean {
    const isOutcome = notice.kind === 'confirmed' || notice.kind === 'refused';
    if (!isOutcome || !isGrantorConfirmation(notice.id)) return false;
    this.task.post({ kind: 'log', notice });
    return true;
  }

  /** Passes on a message of a proxy. */
  handleLink(event: LinkEvent): void {
    if (event.kind !== 'received' || event.channel !== 'allowances') return;
    const { from, address } = event;
    const body = readAllowanceRequest(event.body);
    if (body !== undefined) this.task.post({ kind: 'received', from, address, body });
    // A proxy on the same host receives the answers of the grantor on the same channel.
    else if (readAllowanceReply(event.body) === undefined) {
      this.#options.log('allowance-message-dropped', { from });
    }
  }

  // Internals.

  #route(output: Exclude<GrantorOut, WakeRequest>): void {
    const { postLink, confirm, log, findControlAddress } = this.#options;
    switch (output.kind) {
      case 'send':
        postLink({ kind: 'send', to: output.to, channel: 'allowances', body: output.body });
        return;
      case 'refuse': {
        const { to, leader: host } = output;
        const leader = host === undefined ? undefined : findControlAddress(host);
        postLink({ kind: 'send', to, channel: 'allowances', body: { kind: 'not-leader', leader } });
        return;
      }
      case 'confirm':
        confirm(output.id);
        return;
      case 'granting':
        log(output.term === undefined ? 'allowances-end' : 'allowances-begin', {
          term: output.term,
        });
        return;
    }
  }
}
