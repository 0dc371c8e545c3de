/** Memberships: who counts in a quorum, and how they change. */
import type { Address, ReplicaId } from '../ids.js';
import type { Membership, Voter } from '../messages/index.js';

/** Finds the voter at an address. */
export function findVoter(membership: Membership | undefined, address: Address): Voter | undefined {
  return membership?.voters.find((voter) => voter.address === address);
}

/** Whether a replica counts in quorums, by address and by identity. */
export function hasVoter(
  membership: Membership | undefined,
  address: Address,
  replica: ReplicaId,
): boolean {
  return findVoter(membership, address)?.replica === replica;
}

/** Whether the voters that `matches` accepts are a majority. */
export function hasQuorum(membership: Membership, matches: (voter: Voter) => boolean): boolean {
  return membership.voters.filter(matches).length >= countQuorum(membership);
}

/** Finds the highest value that a majority of the voters has reached. */
export function findQuorumValue(membership: Membership, read: (voter: Voter) => number): number {
  const values = membership.voters.map(read).sort((left, right) => right - left);
  return values[countQuorum(membership) - 1] ?? 0;
}

/** Forms the membership with one voter more. Its address must not have one yet. */
export function addVoter(membership: Membership, voter: Voter): Membership {
  return { voters: [...membership.voters, voter] };
}

/** Forms the membership without the voter at an address. */
export function removeVoter(membership: Membership, address: Address): Membership {
  return { voters: membership.voters.filter((voter) => voter.address !== address) };
}

// Internals.

function countQuorum(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}
