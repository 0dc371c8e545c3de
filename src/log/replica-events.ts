/** Events of a replica that tell operators why it has no vote, or why an election failed. */
import type { Address, HostId, ReplicaId, Term } from '../ids.js';
import type { LogMessageBody, Membership } from '../messages/index.js';

/** The phase of an election. */
export type ElectionPhase = 'pre-vote' | 'vote';

/** An election that ended without a majority for this replica. */
export interface FailedElection {
  readonly term: Term;
  readonly phase: ElectionPhase;
  /** The addresses of the voters, this replica included, that granted their vote. */
  readonly granted: readonly Address[];
  readonly refused: readonly Address[];
  /** The voters that did not answer; this replica is among them until its own vote is synced. */
  readonly silent: readonly Address[];
}

/** What a replica reports besides its status. */
export type ReplicaEvent =
  /** This replica has no vote, and asks these addresses to let it join. */
  | {
      readonly kind: 'joining';
      readonly addresses: readonly Address[];
      /** Whether the replica knows no membership at all. */
      readonly isDiskEmpty: boolean;
    }
  /** A message for another identity at the address of this replica has arrived. */
  | {
      readonly kind: 'other-identity-named';
      readonly from: HostId;
      readonly address: Address;
      readonly message: LogMessageBody<unknown>['kind'];
      readonly named: ReplicaId;
    }
  /** This replica leads, and sends its log to a replica without a vote. */
  | {
      readonly kind: 'learner-added';
      readonly learner: Address;
      /** Whether the present voter at the address has another identity, which is then lost. */
      readonly replacesVoter: boolean;
    }
  /** A replica that this leader has sent its log to has all committed entries on its disk. */
  | {
      readonly kind: 'caught-up';
      readonly learner: Address;
      /** The milliseconds since this leader began to send. */
      readonly afterMs: number;
    }
  | ({ readonly kind: 'election-failed' } & FailedElection);

/** Reports the events of a replica, and repeats none that has not changed. */
export class ReplicaEventReporter {
  readonly #report: (event: ReplicaEvent) => void;
  #joining: string | undefined;
  #failedElection: string | undefined;
  /** The senders and the other identities that they named; the oldest are forgotten. */
  readonly #namedIdentities = new Set<string>();

  constructor(report: (event: ReplicaEvent) => void) {
    this.#report = report;
  }

  /** Reports whom a replica without a vote asks to join. */
  notifyJoining(addresses: readonly Address[], isDiskEmpty: boolean): void {
    const content = JSON.stringify([isDiskEmpty, [...addresses].sort()]);
    if (content === this.#joining) return;
    this.#joining = content;
    this.#report({ kind: 'joining', addresses, isDiskEmpty });
  }

  /** Records that this replica has a vote, so that it is reported when it asks to join again. */
  forgetJoining(): void {
    this.#joining = undefined;
  }

  /** Reports the first message of a sender that names another identity of this host. */
  notifyOtherIdentity(
    sender: { readonly host: HostId; readonly address: Address },
    message: LogMessageBody<unknown>['kind'],
    named: ReplicaId,
  ): void {
    const { host: from, address } = sender;
    const key = `${address} ${named}`;
    if (this.#namedIdentities.has(key)) return;
    this.#namedIdentities.add(key);
    const [oldest] = this.#namedIdentities;
    if (this.#namedIdentities.size > MAX_NAMED_IDENTITIES && oldest !== undefined) {
      this.#namedIdentities.delete(oldest);
    }
    this.#report({ kind: 'other-identity-named', from, address, message, named });
  }

  /** Reports a learner. */
  notifyLearner(learner: Address, replacesVoter: boolean): void {
    this.#report({ kind: 'learner-added', learner, replacesVoter });
  }

  /** Reports that a learner has caught up. */
  notifyCaughtUp(learner: Address, afterMs: number): void {
    this.#report({ kind: 'caught-up', learner, afterMs });
  }

  /** Reports an election that ended without a majority. */
  notifyFailedElection(election: FailedElection): void {
    const content = JSON.stringify(election);
    if (content === this.#failedElection) return;
    this.#failedElection = content;
    this.#report({ kind: 'election-failed', ...election });
  }
}

/** Builds the report of an election from the voters that answered. */
export function buildFailedElection(
  { voters }: Membership,
  election: Pick<FailedElection, 'term' | 'phase'>,
  hasGranted: (replica: ReplicaId) => boolean,
  hasRefused: (replica: ReplicaId) => boolean,
): FailedElection {
  const listAddresses = (matches: (replica: ReplicaId) => boolean) => {
    return voters.filter(({ replica }) => matches(replica)).map(({ address }) => address);
  };
  return {
    ...election,
    granted: listAddresses(hasGranted),
    refused: listAddresses(hasRefused),
    silent: listAddresses((replica) => !hasGranted(replica) && !hasRefused(replica)),
  };
}

// Internals.

const MAX_NAMED_IDENTITIES = 64;
