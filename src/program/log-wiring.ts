/** Connects a replicated log to the links; used by the source and the ledger. */
import { readLogMessage } from '../edge/index.js';
import type { Address } from '../ids.js';
import type { LinkChannel, LinkCommand, LinkEvent, GroupLogMessage } from '../messages/index.js';
import type { LogIn } from '../log/index.js';

/** A message for one of the replicated logs on a channel. */
export interface ReceivedPacket<Command> {
  readonly group: string;
  readonly message: Extract<LogIn<Command>, { kind: 'received' }>;
}

/** Lists the replicas of a log: the configured ones, or this process alone if there are none. */
export function listReplicas(configured: readonly Address[], self: Address): readonly Address[] {
  return configured.length === 0 ? [self] : configured;
}

/** Builds the link command that sends a log packet to another replica. */
export function buildLogSend(
  channel: LinkChannel,
  to: Address,
  packet: GroupLogMessage<unknown>,
): LinkCommand {
  return { kind: 'send', to, channel, body: packet };
}

/**
 * Reads a log packet from a link event; returns undefined for other events. Calls `notifyDropped` with the sender
 * of a malformed packet.
 */
export function readLogPacket<Command>(
  event: LinkEvent,
  channel: LinkChannel,
  notifyDropped: (from: Address) => void,
): ReceivedPacket<Command> | undefined {
  if (event.kind !== 'received' || event.channel !== channel) return undefined;
  const { from, address } = event;
  const packet = readLogMessage(event.body) as GroupLogMessage<Command> | undefined;
  if (packet === undefined) {
    notifyDropped(address);
    return undefined;
  }
  const { group, message } = packet;
  return { group, message: { kind: 'received', from, address, message } };
}
