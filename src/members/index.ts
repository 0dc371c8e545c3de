/** Membership of proxies and sources, and announcements of backend servers. */
export { MembersFilter } from './members-filter.js';
export type { MembersIn, MembersOptions, MembersOut, MembersState } from './members-state.js';
