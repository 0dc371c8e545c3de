/** Connects the ledger client of a proxy to the links. */
import type { Clock } from '../clock.js';
import { readLedgerMessage } from '../edge/index.js';
import type { Address } from '../ids.js';
import type { LedgerClientIn, LedgerClientOut, LedgerClientState } from '../ledger/index.js';
import { LedgerClientFilter } from '../ledger/index.js';
import type { LedgerAnswer, LinkCommand, LinkEvent } from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { FilterTask } from '../pipe/index.js';

/** Options of {@link createLedgerClient}. */
export interface LedgerClientOptions {
  /** Control addresses of the ledger hosts. */
  readonly ledgers: readonly Address[];
  readonly clock: Clock;
  readonly reportFailure: ReportFailure;
  readonly postLink: (command: LinkCommand) => void;
  /** Called with each answer; an answer has the id of its request. */
  readonly answer: (answer: LedgerAnswer) => void;
}

/** The task of a ledger client. Accepts `{ kind: 'request', request }` messages. */
export type LedgerClientTask = FilterTask<LedgerClientState, LedgerClientIn, LedgerClientOut>;

/**
 * Creates the ledger client of a proxy.
 *
 * @example
 * const ledger = createLedgerClient({ ledgers, clock, reportFailure, postLink, answer });
 * ledger.post({ kind: 'request', request: claim });
 */
export function createLedgerClient(options: LedgerClientOptions): LedgerClientTask {
  const { ledgers, clock, reportFailure, postLink } = options;
  return new FilterTask<LedgerClientState, LedgerClientIn, LedgerClientOut>({
    name: 'ledger-client',
    filter: new LedgerClientFilter(ledgers),
    clock,
    reportFailure,
    send: (output) => {
      if (output.kind === 'answer') options.answer(output.answer);
      else postLink({ kind: 'send', to: output.to, channel: 'ledger', body: output.ask });
    },
    buildTick: () => ({ kind: 'tick' }),
  });
}

/**
 * Reads a message for a ledger client from a link event; returns undefined for other events. Calls `notifyDropped`
 * with the sender of a malformed message.
 */
export function readLedgerReply(
  event: LinkEvent,
  notifyDropped: (from: Address) => void,
): LedgerClientIn | undefined {
  if (event.kind === 'link-down') return { kind: 'link-down', address: event.address };
  if (event.kind !== 'received' || event.channel !== 'ledger') return undefined;
  const body = readLedgerMessage(event.body);
  if (body === undefined) notifyDropped(event.address);
  if (body === undefined || body.kind === 'ask') return undefined;
  return { kind: 'reply', from: event.address, reply: body };
}
