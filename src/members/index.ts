/** The membership of proxies and sources, and the announcements of backend servers. */
export { findAnnouncementFault, findLifeFault } from './announcement-bounds.js';
export { MembersFilter } from './members-filter.js';
export type { MembersIn, MembersOptions, MembersOut, MembersState } from './members-state.js';
