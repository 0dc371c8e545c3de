/** The replicated log as a filter: one replica, driven by messages and instants. */
import { NEVER } from '../clock.js';
import type { Instant } from '../ids.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import { FollowerRole } from './follower-role.js';
import type { LoadedReplica } from './loaded-replica.js';
import { changeRole, formStatus } from './loaded-replica.js';
import type { LogIn, LogOut } from './log-messages.js';
import type { LogOptions } from './log-options.js';
import type { RoleKind } from './log-role.js';
import { PeerHandler } from './peer-handler.js';
import { receiveMessage } from './handle-peer-message.js';
import { Replica } from './replica.js';

/** The state of the log; undefined until the disk has been read. It is updated in place. */
export type LogState<Command> = LoadedReplica<Command> | undefined;

/**
 * A replica of the log, after Raft (Ongaro and Ousterhout 2014), with pre-votes, confirmed reads, and
 * learners for replicas that have lost their disk.
 *
 * @example
 * const log = new LogFilter<NoteCommand>(options);
 * const step = log.decide(log.createState(), { kind: 'loaded', stored, freshReplica }, now);
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
    if (loaded === undefined) return { state, outputs: refuseUnloaded(message) };
    changeRole(loaded, handle(loaded, message, now), now);
    askForTick(loaded, message, now);
    const outputs = loaded.replica.takeOutputs();
    const change = findStatusChange(loaded);
    return { state: loaded, outputs: change === undefined ? outputs : [...outputs, change] };
  }

  // Internals.

  #load(message: Extract<LogIn<Command>, { kind: 'loaded' }>): LoadedReplica<Command> {
    const replica = new Replica(this.#options, message.stored, message.freshReplica);
    const peers = new PeerHandler(replica);
    return { replica, peers, role: new FollowerRole(replica), wakeAt: NEVER, status: undefined };
  }
}

// Internals.

function refuseUnloaded<Command>(message: LogIn<Command>): LogOut<Command>[] {
  if (message.kind !== 'request') return [];
  const refusal = { kind: 'not-leader', leader: undefined } as const;
  return [{ kind: 'notice', notice: { kind: 'refused', id: message.request.id, refusal } }];
}

function handle<Command>(
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
      replica.updatePeers(message.addresses);
      return undefined;
    case 'received':
      return receiveMessage(loaded, message, now);
    case 'synced':
      replica.handleSynced(message.ticket);
      return role.handleSynced(now);
    case 'captured':
      replica.handleCaptured(message.through, message.bytes);
      return undefined;
    case 'tick':
      return role.handleTick(now);
  }
}

function findStatusChange<Command>(loaded: LoadedReplica<Command>): LogOut<Command> | undefined {
  const status = formStatus(loaded);
  const former = loaded.status;
  const isSame =
    former?.role === status.role &&
    former.term === status.term &&
    former.leader === status.leader &&
    former.isVoter === status.isVoter &&
    former.voters === status.voters;
  if (isSame) return undefined;
  loaded.status = status;
  return { kind: 'status', status };
}

/** A tick that is under way already serves any deadline after it. */
function askForTick<Command>(
  loaded: LoadedReplica<Command>,
  message: LogIn<Command>,
  now: Instant,
): void {
  if (message.kind === 'tick') loaded.wakeAt = NEVER;
  const deadline = loaded.role.findDeadline();
  if (deadline >= loaded.wakeAt) return;
  loaded.wakeAt = deadline;
  loaded.replica.wakeAt(deadline < now ? now : deadline);
}
