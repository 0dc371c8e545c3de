/** Roles: what a replica does as follower, candidate or leader. */
import type { Address, Instant } from '../ids.js';
import type { LogBody, LogMessage, LogRequest } from '../messages/index.js';
import type { Replica } from './replica.js';

/** The roles by name. */
export type RoleKind = 'follower' | 'candidate' | 'leader';

/** An answer to what a role has asked of another replica, or that replica's wish to join. */
export type PeerAnswer<Command> = Extract<
  LogBody<Command>,
  { kind: 'pre-vote-answer' | 'vote-answer' | 'append-answer' | 'chunk-answer' | 'join' }
>;

/** An answer and where it comes from. */
export interface ReceivedAnswer<Command> {
  readonly address: Address;
  readonly message: LogMessage<Command>;
  readonly body: PeerAnswer<Command>;
}

/**
 * What a replica does in one role. Each method may return the role to change to; {@link LogRole.start}
 * is then called on the new role.
 */
export abstract class LogRole<Command> {
  abstract readonly kind: RoleKind;
  protected readonly replica: Replica<Command>;

  constructor(replica: Replica<Command>) {
    this.replica = replica;
  }

  /** Enters the role. */
  abstract start(now: Instant): RoleKind | undefined;

  /** Answers the user of the log. */
  abstract handleRequest(request: LogRequest<Command>, now: Instant): RoleKind | undefined;

  /** Takes the answer of another replica. */
  abstract handleAnswer(answer: ReceivedAnswer<Command>, now: Instant): RoleKind | undefined;

  /** Acts on what has just become durable. */
  abstract handleSynced(now: Instant): RoleKind | undefined;

  /** Acts on the deadlines that have passed. */
  abstract handleTick(now: Instant): RoleKind | undefined;

  /** Finds the next deadline of the role. */
  abstract findDeadline(): Instant;

  /** Notes that the leader of this term, or a candidate that got this replica's vote, has spoken. */
  abstract delayElection(now: Instant): void;

  /** Leaves the role. */
  abstract stop(): void;
}
