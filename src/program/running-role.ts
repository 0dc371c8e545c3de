/** The interface of a running role. */
import type { ExplainRequest, LinkEvent, MembershipEvent } from '../messages/index.js';
import type { Settings } from './settings.js';

/** A role whose tasks are running. */
export interface RunningRole {
  /** Routes a link event to the tasks of the role. */
  readonly handleLink: (event: LinkEvent) => void;
  /**
   * Handles the number of bytes that the control links of this process sent over the network link of the
   * host.
   */
  readonly handleBytesSent?: (bytes: number) => void;
  /** Routes a membership event to the tasks of the role. */
  readonly handleMembership: (event: MembershipEvent) => void;
  /** Asks what would happen to a call; only for the proxy role. */
  readonly explain?: (request: ExplainRequest) => void;
  /** Applies the settings that can change at run time. */
  readonly handleSettings?: (settings: Settings) => void;
  /** Waits until clients have noticed a planned stop; local backend servers still serve meanwhile. */
  readonly linger?: () => Promise<void>;
  /** Stops the tasks of the role, in an order that interrupts no work. */
  readonly stop: () => Promise<void>;
}
