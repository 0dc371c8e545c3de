/** The filter that runs one replica of the replicated log. */
import { NEVER } from '../clock.js';
import type { Instant } from '../ids.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import { FollowerRole } from './follower-role.js';
import type { LoadedReplica } from './loaded-replica.js';
import { changeRole, buildStatus } from './loaded-replica.js';
import type { LogIn, LogOut } from './log-messages.js';
import type { LogOptions } from './log-options.js';
import type { RoleKind } from './log-role.js';
import { PeerHandler } from './peer-handler.js';
import { handlePeerMessage } from './handle-peer-message.js';
import { Replica } from './replica.js';

/** The state of the filter, updated in place; undefined until the stored log has been loaded. */
export type LogState<Command> = LoadedReplica<Command> | undefined;

/**
 * A replica of a log that follows Raft (Ongaro and Ousterhout 2014) with pre-votes, linearizable reads by
 * read index, and learners that replace replicas with lost disks. Until a `loaded` message arrives, it
 * refuses requests and ignores all other messages.
 *
 * @example
 * const log = new LogFilter<NoteCommand>(options);
 * const step = log.decide(log.createState(), { kind: 'loaded', stored, newReplicaId }, now);
 */
export class LogFilter<Command> extends Filter<LogState<Command>, LogIn<Command>, LogOut<Command>> {
  readonly #options: LogOptions;

  constructor(options: LogOptions) {
    super();
    this.#options = options;
  }

  override createState(): LogState<Command> {
    return undefined;
  }

  override decide(
    state: LogState<Command>,
    message: LogIn<Command>,
    now: Instant,
  ): Step<LogState<Command>, LogOut<Command>> {
    const loaded = message.kind === 'loaded' ? this.#load(message) : state;
    if (loaded === undefined) return { state, outputs: refuseBeforeLoad(message) };
    changeRole(loaded, handleMessage(loaded, message, now), now);
    updateWake(loaded, message, now);
    const outputs = loaded.replica.removeOutputs();
    const change = findStatusChange(loaded);
    return { state: loaded, outputs: change === undefined ? outputs : [...outputs, change] };
  }

  // Internals.

  #load(message: Extract<LogIn<Command>, { kind: 'loaded' }>): LoadedReplica<Command> {
    const replica = new Replica(this.#options, message.stored, message.newReplicaId);
    const peers = new PeerHandler(replica);
    return { replica, peers, role: new FollowerRole(replica), wakeAt: NEVER, status: undefined };
  }
}

// Internals.

function refuseBeforeLoad<Command>(message: LogIn<Command>): LogOut<Command>[] {
  if (message.kind !== 'request') return [];
  const refusal = { kind: 'not-leader', leader: undefined } as const;
  return [{ kind: 'notice', notice: { kind: 'refused', id: message.request.id, refusal } }];
}

function handleMessage<Command>(
  loaded: LoadedReplica<Command>,
  message: LogIn<Command>,
  now: Instant,
): RoleKind | undefined {
  const { replica, role } = loaded;
  switch (message.kind) {
    case 'loaded':
      return role.start(now);
    case 'request':
      return role.handleRequest(message.request, now);
    case 'peers':
      replica.joins.updatePeers(message.addresses);
      return undefined;
    case 'received':
      return handlePeerMessage(loaded, message, now);
    case 'synced':
      replica.handleSynced(message.writeNumber);
      return role.handleSynced(now);
    case 'encoded':
      replica.handleCaptured(message.through, message.bytes);
      return undefined;
    case 'tick':
      return handleTick(loaded, now);
  }
}

/** Applies entries that wait before anything else: a role may be due to act on them. */
function handleTick<Command>(
  { replica, role }: LoadedReplica<Command>,
  now: Instant,
): RoleKind | undefined {
  if (replica.hasUnapplied) {
    replica.applyCommitted();
    role.handleApplied(now);
  }
  return role.handleTick(now);
}

function findStatusChange<Command>(loaded: LoadedReplica<Command>): LogOut<Command> | undefined {
  const status = buildStatus(loaded);
  const previous = loaded.status;
  const isSame =
    previous?.role === status.role &&
    previous.term === status.term &&
    previous.leader === status.leader &&
    previous.isVoter === status.isVoter &&
    previous.voters === status.voters;
  if (isSame) return undefined;
  loaded.status = status;
  return { kind: 'status', status };
}

/** Requests a tick for the next deadline, unless a tick that is already scheduled comes no later. */
function updateWake<Command>(
  loaded: LoadedReplica<Command>,
  message: LogIn<Command>,
  now: Instant,
): void {
  if (message.kind === 'tick') loaded.wakeAt = NEVER;
  const deadline = loaded.replica.hasUnapplied ? now : loaded.role.findDeadline();
  if (deadline >= loaded.wakeAt) return;
  loaded.wakeAt = deadline;
  loaded.replica.wakeAt(deadline < now ? now : deadline);
}
