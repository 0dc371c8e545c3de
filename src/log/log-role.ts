/** The behaviour of a replica as follower, candidate or leader. */
import type { Address, Instant, ReplicaId } from '../ids.js';
import type { LogMessageBody, LogMessage, LogRequest } from '../messages/index.js';
import type { Replica } from './replica.js';

/** The name of a role. */
export type RoleKind = 'follower' | 'candidate' | 'leader';

/** The body of another replica's answer to a request of a role, or of its request to join. */
export type PeerAnswer<Command> = Extract<
  LogMessageBody<Command>,
  { kind: 'pre-vote-answer' | 'vote-answer' | 'append-answer' | 'chunk-answer' | 'join' }
>;

/** An answer with the address of its sender. */
export interface ReceivedAnswer<Command> {
  readonly address: Address;
  readonly message: LogMessage<Command>;
  readonly body: PeerAnswer<Command>;
}

/**
 * The behaviour of a replica in one role. Methods may return a role to change to; {@link LogRole.start} is
 * then called on the new role.
 */
export abstract class LogRole<Command> {
  abstract readonly kind: RoleKind;
  protected readonly replica: Replica<Command>;

  constructor(replica: Replica<Command>) {
    this.replica = replica;
  }

  /** Starts the role. */
  abstract start(now: Instant): RoleKind | undefined;

  /** Handles a request of the state machine that uses the log. */
  abstract handleRequest(request: LogRequest<Command>, now: Instant): RoleKind | undefined;

  /** Handles the answer of another replica. */
  abstract handleAnswer(answer: ReceivedAnswer<Command>, now: Instant): RoleKind | undefined;

  /** Handles a message for another identity at the address of this replica. */
  abstract handleOtherIdentity(sender: Address, named: ReplicaId, now: Instant): void;

  /** Handles the completion of a sync. */
  abstract handleSynced(now: Instant): RoleKind | undefined;

  /** Handles that entries which were committed earlier have been applied. */
  abstract handleApplied(now: Instant): void;

  /** Handles the deadlines that have passed. */
  abstract handleTick(now: Instant): RoleKind | undefined;

  /** Finds the next deadline of the role. */
  abstract findDeadline(): Instant;

  /** Restarts the election timeout after a message from the leader or a vote for a candidate. */
  abstract delayElection(now: Instant): void;

  /** Stops the role and refuses what it cannot complete. */
  abstract stop(): void;
}
