/** What the source and the ledger share when they wire a replicated log to the links. */
import { readLogMessage } from '../edge/index.js';
import type { Address } from '../ids.js';
import type { Channel, LinkCommand, LinkEvent, LogPacket } from '../messages/index.js';
import type { LogIn } from '../log/index.js';

/** A message for one of the logs that share a channel. */
export interface ReceivedPacket<Command> {
  readonly group: string;
  readonly message: Extract<LogIn<Command>, { kind: 'received' }>;
}

/** Lists the replicas of a log: those that the settings name, or this process alone. */
export function listReplicas(named: readonly Address[], self: Address): readonly Address[] {
  return named.length === 0 ? [self] : named;
}

/** Forms the command that sends a packet of a log to another replica. */
export function formLogSend(
  channel: Channel,
  to: Address,
  packet: LogPacket<unknown>,
): LinkCommand {
  return { kind: 'send', to, channel, body: packet };
}

/**
 * Reads a packet of a log from what the links report; undefined for anything else. `notifyDropped` hears of the
 * sender of a packet that can't be read.
 */
export function readLogPacket<Command>(
  event: LinkEvent,
  channel: Channel,
  notifyDropped: (from: Address) => void,
): ReceivedPacket<Command> | undefined {
  if (event.kind !== 'received' || event.channel !== channel) return undefined;
  const { from, address } = event;
  const packet = readLogMessage(event.body) as LogPacket<Command> | undefined;
  if (packet === undefined) {
    notifyDropped(address);
    return undefined;
  }
  const { group, message } = packet;
  return { group, message: { kind: 'received', from, address, message } };
}
