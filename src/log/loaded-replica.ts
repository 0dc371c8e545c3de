/** A replica with its present role, and how the role changes. */
import type { Instant } from '../ids.js';
import { CandidateRole } from './candidate-role.js';
import { FollowerRole } from './follower-role.js';
import { LeaderRole } from './leader-role.js';
import type { LogStatus } from './log-messages.js';
import type { LogRole, RoleKind } from './log-role.js';
import type { PeerHandler } from './peer-handler.js';
import type { Replica } from './replica.js';

/** A replica whose disk has been read. */
export interface LoadedReplica<Command> {
  readonly replica: Replica<Command>;
  readonly peers: PeerHandler<Command>;
  role: LogRole<Command>;
  /** When the last tick that was asked for comes. */
  wakeAt: Instant;
  /** The status that was last reported. */
  status: LogStatus | undefined;
}

/** Forms the present status of a replica. */
export function formStatus<Command>({ replica, role }: LoadedReplica<Command>): LogStatus {
  return {
    role: role.kind,
    term: replica.term,
    leader: replica.leader,
    isVoter: replica.isVoter,
    voters: replica.entries.membership?.voters.length ?? 0,
  };
}

/** Leaves the present role and enters `kind`, and whatever role that one asks for. */
export function changeRole<Command>(
  loaded: LoadedReplica<Command>,
  kind: RoleKind | undefined,
  now: Instant,
): void {
  let next = kind;
  while (next !== undefined) {
    loaded.role.stop();
    loaded.role = createRole(next, loaded.replica);
    next = loaded.role.start(now);
  }
}

// Internals.

function createRole<Command>(kind: RoleKind, replica: Replica<Command>): LogRole<Command> {
  switch (kind) {
    case 'follower':
      return new FollowerRole(replica);
    case 'candidate':
      return new CandidateRole(replica);
    case 'leader':
      return new LeaderRole(replica);
  }
}
