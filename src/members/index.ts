/** Membership of proxies and announcements of backend servers. */
export { MembersFilter } from './members-filter.js';
export type { MembersIn, MembersOut, MembersState } from './members-filter.js';
