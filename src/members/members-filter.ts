/** Membership. So far it knows only the backend servers beside its own proxy. */
import type { Address } from '../ids.js';
import type { Announcement, Member, MemberEvent } from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';
import type { Instant } from '../ids.js';

/** What the membership pipe is told. */
export type MembersIn =
  { readonly kind: 'announce'; readonly announcement: Announcement } | { readonly kind: 'tick' };

/** What the membership pipe sends on. */
export type MembersOut = MemberEvent | { readonly kind: 'wake'; readonly at: Instant };

/** The state of the membership pipe. */
export interface MembersState {
  readonly self: Member;
}

/** Decides which members and backend servers are known. */
export class MembersFilter extends Filter<MembersState, MembersIn, MembersOut> {
  readonly #self: Member;

  constructor(self: Member) {
    super();
    this.#self = self;
  }

  override createState(): MembersState {
    return { self: this.#self };
  }

  override decide(
    state: MembersState,
    message: MembersIn,
    now: Instant,
  ): Step<MembersState, MembersOut> {
    if (message.kind === 'announce') return announceServer(state, message.announcement);
    const servers = state.self.servers.filter((server) => server.heartbeatDeadline > now);
    return updateServers(state, servers);
  }
}

// Internals.

function announceServer(
  state: MembersState,
  announcement: Announcement,
): Step<MembersState, MembersOut> {
  const others = listOthers(state, announcement.address);
  return updateServers(state, [...others, announcement]);
}

function listOthers(state: MembersState, address: Address): Announcement[] {
  return state.self.servers.filter((server) => server.address !== address);
}

function updateServers(
  state: MembersState,
  servers: readonly Announcement[],
): Step<MembersState, MembersOut> {
  const self = { ...state.self, servers };
  const outputs: MembersOut[] = [{ kind: 'member-up', member: self }];
  const deadlines = servers.map((server) => server.heartbeatDeadline);
  if (deadlines.length > 0) outputs.push({ kind: 'wake', at: Math.min(...deadlines) as Instant });
  return { state: { self }, outputs };
}
