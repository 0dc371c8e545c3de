/** What the source and the ledger share when they wire a replicated log to the links. */
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

/** Reads a packet of a log from what the links report; undefined for anything else. */
export function readLogPacket<Command>(
  event: LinkEvent,
  channel: Channel,
): ReceivedPacket<Command> | undefined {
  if (event.kind !== 'received' || event.channel !== channel) return undefined;
  const { from, address } = event;
  if (!isLogPacket(event.body)) return undefined;
  const { group, message } = event.body as LogPacket<Command>;
  return { group, message: { kind: 'received', from, address, message } };
}

// Internals.

/** Another program at a replica's address must not end this process. */
function isLogPacket(value: unknown): boolean {
  const packet = value as Partial<LogPacket<unknown>> | null | undefined;
  return (
    typeof packet?.group === 'string' &&
    typeof (packet.message as Partial<LogPacket<unknown>['message']> | undefined)?.body?.kind ===
      'string'
  );
}
