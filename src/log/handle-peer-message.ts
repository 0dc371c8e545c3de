/** Checks the recipient and the term of a message from another replica, then routes it. */
import type { HostId, Instant, Term } from '../ids.js';
import type { LogMessage } from '../messages/index.js';
import type { LoadedReplica } from './loaded-replica.js';
import { changeRole } from './loaded-replica.js';
import type { LogIn } from './log-messages.js';
import type { PeerAnswer, RoleKind } from './log-role.js';
import type { Recipient } from './replica.js';

/** Handles a message from another replica. Returns the role to change to, if any. */
export function handlePeerMessage<Command>(
  loaded: LoadedReplica<Command>,
  received: Extract<LogIn<Command>, { kind: 'received' }>,
  now: Instant,
): RoleKind | undefined {
  const { replica, peers, role } = loaded;
  const { from, address, message } = received;
  const { body } = message;
  const sender: Sender = { host: from, address, replica: message.from };
  if (message.to !== undefined && message.to !== replica.id) {
    replica.events.notifyOtherIdentity(sender, body.kind, message.to);
    role.handleOtherIdentity(address, message.to, now);
    return undefined;
  }
  switch (body.kind) {
    case 'join':
      if (body.fresh) peers.welcome(address, message.from);
      peers.sendVoters(sender);
      return role.handleAnswer({ address, message, body }, now);
    case 'voters':
      replica.joins.handleVoters(address, body.addresses);
      return undefined;
    case 'welcome':
      peers.handleWelcome(body);
      role.delayElection(now);
      return undefined;
    case 'pre-vote': {
      const hasNoLeader = role.kind !== 'leader' && !replica.hasRecentLeader(now);
      peers.answerPreVote(sender, (message.term + 1) as Term, body.last, hasNoLeader);
      return undefined;
    }
    default:
      return handleInTerm(loaded, sender, message, now);
  }
}

// Internals.

/** The sender of a message. */
interface Sender extends Recipient {
  readonly host: HostId;
}

/**
 * Handles a message that is valid in one term only. Refuses one of an earlier term, and enters a later term
 * before it handles the message. An answer to a pre-vote carries the term it was asked about, so it also
 * counts from a replica in an earlier term.
 */
function handleInTerm<Command>(
  loaded: LoadedReplica<Command>,
  sender: Sender,
  message: LogMessage<Command>,
  now: Instant,
): RoleKind | undefined {
  const { replica, peers } = loaded;
  const { body, from } = message;
  if (message.term < replica.term && body.kind !== 'pre-vote-answer') {
    peers.refuseOutdated(sender, message);
    return undefined;
  }
  if (message.term > replica.term) {
    replica.updateTerm(message.term, undefined);
    changeRole(loaded, 'follower', now);
  }
  switch (body.kind) {
    case 'vote':
      if (peers.answerVote(sender, from, body.last)) loaded.role.delayElection(now);
      return undefined;
    case 'append':
      handleLeader(loaded, sender.host, now);
      peers.handleAppend(sender, body);
      return undefined;
    case 'chunk':
      handleLeader(loaded, sender.host, now);
      peers.handleChunk(sender, body);
      return undefined;
    default: {
      const answer = { address: sender.address, message, body: body as PeerAnswer<Command> };
      return loaded.role.handleAnswer(answer, now);
    }
  }
}

function handleLeader<Command>(loaded: LoadedReplica<Command>, leader: HostId, now: Instant): void {
  if (loaded.role.kind === 'leader') {
    throw new Error(
      `${leader} claims to lead term ${loaded.replica.term}, but this replica leads it`,
    );
  }
  if (loaded.role.kind === 'candidate') changeRole(loaded, 'follower', now);
  loaded.replica.updateLeader(leader, now);
  loaded.role.delayElection(now);
}
