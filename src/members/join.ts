/** Discovers members through seeds, and reconnects to members that were declared dead. */
import { addMs } from '../clock.js';
import type { Address, HostId } from '../ids.js';
import type { Member, ProbeMessage } from '../messages/index.js';
import { buildStatusOf, pickUpdates } from './gossip.js';
import type { MembersState } from './members-state.js';
import { buildRecordKey } from './own-record.js';
import {
  DEAD_CONTACTS_PER_S,
  MIN_RECONNECT_INTERVAL_MS,
  RECONNECT_INTERVAL_MS,
  SEED_INTERVAL_MS,
} from './timing.js';
import type { StepContext } from './step-context.js';

/** Replaces the seeds. */
export function updateSeeds(
  state: MembersState,
  seeds: readonly Address[],
  context: StepContext,
): void {
  state.seeds = listOtherSeeds(state.self, seeds);
  state.introductions.setSeeds(state.seeds, context.now);
}

/** Lists the seeds that are not the address of this process. */
export function listOtherSeeds(self: Member, seeds: readonly Address[]): Address[] {
  return seeds.filter((seed) => seed !== self.control);
}

/** Asks for the introductions that are due, and contacts one random seed per interval, whether it has answered or not. */
export function runJoin(state: MembersState, context: StepContext): void {
  const { introductions, random, seeds, table } = state;
  for (const address of introductions.pickDue(context.now, table.probeOrder.size)) {
    sendIntroductionRequest(state, address, context);
  }
  if (context.now < state.seedAt) return;
  state.seedAt = addMs(context.now, SEED_INTERVAL_MS * (0.5 + random.next()));
  if (seeds.length > 0) sendIntroductionRequest(state, random.pick(seeds), context);
}

/** Asks an address for an introduction if it is that of a process which is not a live member. */
export function addContact(
  state: MembersState,
  host: HostId,
  address: Address,
  context: StepContext,
): void {
  if (host === state.self.host || state.table.probeOrder.has(host)) return;
  state.introductions.addContact(address, context.now);
}

/**
 * Contacts one dead or suspected member per interval, so that it can refute a mistake, and finds the others if it is
 * back. In a large fleet few members do so, whose contacts are as many as in a small one.
 */
export function runReconnect(state: MembersState, context: StepContext): void {
  if (context.now < state.reconnectAt) return;
  const { random, reconnectCandidates, table } = state;
  const contactsPerS = DEAD_CONTACTS_PER_S * Math.max(1, reconnectCandidates.size);
  const ownShareMs = (1_000 * table.probeOrder.size) / contactsPerS;
  const intervalMs = Math.max(
    MIN_RECONNECT_INTERVAL_MS,
    Math.min(ownShareMs, RECONNECT_INTERVAL_MS),
  );
  state.reconnectAt = addMs(context.now, intervalMs * (0.5 + random.next()));
  if (random.next() * ownShareMs > intervalMs) return;
  const host = reconnectCandidates.pickNext(random);
  const member = host === undefined ? undefined : table.find(host)?.member;
  if (member === undefined) return;
  state.sequence += 1;
  context.send(member.control, {
    kind: 'ping',
    from: state.self.host,
    to: member.host,
    sequence: state.sequence,
    updates: pickUpdates(state, buildStatusOf(state, member.host)),
  });
}

/** Handles an answer to a request for an introduction; `hasNews` tells whether it changed the table. */
export function handleIntroduction(
  state: MembersState,
  { from: host, sequence, updates }: Extract<ProbeMessage, { kind: 'ack' }>,
  hasNews: boolean,
  context: StepContext,
): void {
  const answer = state.introductions.handleAnswer(sequence);
  if (answer === undefined) return;
  const named = updates.flatMap((one) => (one.kind === 'record' ? one.member.host : []));
  const others = named.filter((one) => one !== host && one !== state.self.host);
  if (hasNews) addSyncPeers(state, others.length < SYNC_PEERS ? [...others, host] : others);
  if (!answer.isFirst) return;
  const { address, asks } = answer;
  context.add({ kind: 'introduction-answered', address, host, others: others.length, asks });
}

/**
 * Tells some of the members that were known before about a table that has grown much, because they may be as new as
 * this process, and the others about this process.
 */
export function passOnGrowth(state: MembersState, context: StepContext): void {
  const { random, self, settled, table, updateQueue } = state;
  const { size } = table.probeOrder;
  settled.size = Math.min(settled.size, size);
  if (table.records - settled.records >= Math.max(MIN_NEWS, size * NEWS_SHARE)) {
    const peers = table.pickRandom(random, SYNC_PEERS);
    addSyncPeers(
      state,
      peers.map(({ host }) => host),
    );
    settled.records = table.records;
  }
  if (size < 2 * settled.size || size === settled.size) return;
  for (const { control } of settled.sample) {
    context.add({
      kind: 'send',
      to: control,
      body: { kind: 'sync-root', root: table.digest.root },
    });
  }
  updateQueue.add(buildRecordKey(self.host), { kind: 'record', member: self });
  const sample = table.pickRandom(random, SYNC_PEERS);
  state.settled = { size, records: table.records, sample };
}

// Internals.

/** The number of members that a table is compared with after an introduction, and after it has grown. */
const SYNC_PEERS = 3;
/** The number of changed records, as a share of the members, after which more of them are likely to be missing. */
const NEWS_SHARE = 0.25;
const MIN_NEWS = 4;

function addSyncPeers(state: MembersState, hosts: readonly HostId[]): void {
  const { random, syncPeers } = state;
  const first = random.nextInt(hosts.length + 1);
  for (const host of [...hosts.slice(first), ...hosts.slice(0, first)]) {
    if (syncPeers.size === SYNC_PEERS) return;
    syncPeers.add(host);
  }
}

function sendIntroductionRequest(
  state: MembersState,
  address: Address,
  context: StepContext,
): void {
  state.sequence += 1;
  const isSilent = state.introductions.addSequence(address, state.sequence);
  if (isSilent) context.add({ kind: 'introduction-unanswered', address });
  context.send(address, {
    kind: 'ping',
    from: state.self.host,
    to: undefined,
    sequence: state.sequence,
    updates: pickUpdates(state, [{ kind: 'record', member: state.self }]),
  });
}
