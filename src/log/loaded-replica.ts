/** A replica with its current role, and the change of roles. */
import type { Instant } from '../ids.js';
import { CandidateRole } from './candidate-role.js';
import { FollowerRole } from './follower-role.js';
import { LeaderRole } from './leader-role.js';
import type { LogStatus } from './log-messages.js';
import type { LogRole, RoleKind } from './log-role.js';
import type { PeerHandler } from './peer-handler.js';
import type { Replica } from './replica.js';

/** A replica whose stored log has been loaded. */
export interface LoadedReplica<Command> {
  readonly replica: Replica<Command>;
  readonly peers: PeerHandler<Command>;
  role: LogRole<Command>;
  /** The instant of the scheduled tick. */
  wakeAt: Instant;
  /** The last reported status. */
  status: LogStatus | undefined;
}

/** Builds the current status of a replica. */
export function buildStatus<Command>({ replica, role }: LoadedReplica<Command>): LogStatus {
  return {
    role: role.kind,
    term: replica.term,
    leader: replica.leader,
    isVoter: replica.isVoter,
    voters: replica.entries.membership?.voters.length ?? 0,
  };
}

/** Stops the current role and starts `kind`, then any further role that its start returns. */
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
