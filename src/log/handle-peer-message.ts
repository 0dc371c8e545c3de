/** Takes a message of another replica: checks identity and term, then hands it on. */
import type { HostId, Instant, Term } from '../ids.js';
import type { LogMessage } from '../messages/index.js';
import type { LoadedReplica } from './loaded-replica.js';
import { changeRole } from './loaded-replica.js';
import type { LogIn } from './log-messages.js';
import type { PeerAnswer, RoleKind } from './log-role.js';
import type { Recipient } from './replica.js';

/** Handles a message; returns the role to change to, if any. */
export function receiveMessage<Command>(
  loaded: LoadedReplica<Command>,
  received: Extract<LogIn<Command>, { kind: 'received' }>,
  now: Instant,
): RoleKind | undefined {
  const { replica, peers, role } = loaded;
  const { from, address, message } = received;
  const { body } = message;
  if (message.to !== undefined && message.to !== replica.id) return undefined;
  const sender: Sender = { host: from, address, replica: message.from };
  switch (body.kind) {
    case 'join':
      if (body.fresh) peers.welcome(address, message.from);
      return role.handleAnswer({ address, message, body }, now);
    case 'welcome':
      peers.handleWelcome(body);
      role.delayElection(now);
      return undefined;
    case 'pre-vote': {
      const isQuiet = role.kind !== 'leader' && !replica.hasRecentLeader(now);
      peers.answerPreVote(sender, (message.term + 1) as Term, body.last, isQuiet);
      return undefined;
    }
    default:
      return handleInTerm(loaded, sender, message, now);
  }
}

// Internals.

/** Who sent a message. */
interface Sender extends Recipient {
  readonly host: HostId;
}

/**
 * Handles what holds in one term only: an earlier one is refused, a later one is entered first. An
 * answer to a pre-vote names the term that it is about, so it counts also from a replica behind.
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
      followLeader(loaded, sender.host, now);
      peers.handleAppend(sender, body);
      return undefined;
    case 'chunk':
      followLeader(loaded, sender.host, now);
      peers.handleChunk(sender, body);
      return undefined;
    default: {
      const answer = { address: sender.address, message, body: body as PeerAnswer<Command> };
      return loaded.role.handleAnswer(answer, now);
    }
  }
}

function followLeader<Command>(loaded: LoadedReplica<Command>, leader: HostId, now: Instant): void {
  if (loaded.role.kind === 'leader') {
    throw new Error(`${leader} leads term ${loaded.replica.term}, which this replica leads itself`);
  }
  if (loaded.role.kind === 'candidate') changeRole(loaded, 'follower', now);
  loaded.replica.updateLeader(leader, now);
  loaded.role.delayElection(now);
}
