/** Functions on memberships, which list the voters of a log. */
import type { Address, ReplicaId } from '../ids.js';
import type { Membership, Voter } from '../messages/index.js';

/** Finds the voter at an address. */
export function findVoter(membership: Membership | undefined, address: Address): Voter | undefined {
  return membership?.voters.find((voter) => voter.address === address);
}

/** Returns whether a membership has a voter with both this address and this identity. */
export function hasVoter(
  membership: Membership | undefined,
  address: Address,
  replica: ReplicaId,
): boolean {
  return findVoter(membership, address)?.replica === replica;
}

/** Returns whether the voters that match are a majority. */
export function hasQuorum(membership: Membership, matches: (voter: Voter) => boolean): boolean {
  return membership.voters.filter(matches).length >= countQuorum(membership);
}

/** Finds the highest value that a majority of the voters have reached. */
export function findQuorumValue(
  membership: Membership,
  readValue: (voter: Voter) => number,
): number {
  const values = membership.voters.map(readValue).sort((left, right) => right - left);
  return values[countQuorum(membership) - 1] ?? 0;
}

/** Returns the membership with an added voter. No voter may have the same address yet. */
export function addVoter(membership: Membership, voter: Voter): Membership {
  return { voters: [...membership.voters, voter] };
}

/** Returns the membership without the voter at an address. */
export function removeVoter(membership: Membership, address: Address): Membership {
  return { voters: membership.voters.filter((voter) => voter.address !== address) };
}

/** Returns whether a quorum of one membership needs more voters than one of another. */
export function hasLargerQuorum(membership: Membership, other: Membership): boolean {
  return countQuorum(membership) > countQuorum(other);
}

// Internals.

function countQuorum(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}
