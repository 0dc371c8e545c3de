/** One role of a process, as the program sees it. */
import type { LinkEvent, MembershipEvent } from '../messages/index.js';
import type { Settings } from './settings.js';

/** A role whose tasks are running. */
export interface RunningRole {
  /** Hands an event of the links to the tasks that it is for. */
  readonly handleLink: (event: LinkEvent) => void;
  /** Takes in bytes that the links of this process send over the link of the host. */
  readonly handleLinkUse?: (bytes: number) => void;
  /** Hands an event of the membership to the tasks that it is for. */
  readonly handleMembership: (event: MembershipEvent) => void;
  /** Takes over settings that may change while the process runs. */
  readonly handleSettings?: (settings: Settings) => void;
  /** Waits until clients have noticed a planned stop; backend servers beside this process still serve. */
  readonly linger?: () => Promise<void>;
  /** Stops the tasks of the role, in the order that cuts nothing off. */
  readonly stop: () => Promise<void>;
}
