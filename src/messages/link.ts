/** Messages between processes of the mesh, and their channels. */
import type { Address, HostId } from '../ids.js';

/** The pipe that a message belongs to. The metric of control bytes has one series per channel. */
export type LinkChannel =
  | 'log'
  | 'ledger-log'
  | 'spread'
  | 'source-spread'
  | 'members'
  | 'ledger'
  | 'calls'
  | 'allowances'
  | 'rollouts';

/** A message received over a link. `body` is a member of the channel's message union. */
export interface ReceivedMessage<Body = unknown> {
  readonly kind: 'received';
  readonly from: HostId;
  readonly address: Address;
  readonly channel: LinkChannel;
  readonly body: Body;
}

/** An event from the link task to other tasks. */
export type LinkEvent =
  | ReceivedMessage
  | { readonly kind: 'link-up'; readonly host: HostId; readonly address: Address }
  | { readonly kind: 'link-down'; readonly host: HostId | undefined; readonly address: Address };

/** A command from another task to the link task. */
export type LinkCommand =
  | {
      readonly kind: 'send';
      readonly to: Address;
      readonly channel: LinkChannel;
      readonly body: unknown;
    }
  /** Keeps a link to this address open, and reconnects with a capped backoff and full jitter. */
  | { readonly kind: 'keep'; readonly to: Address }
  | { readonly kind: 'drop'; readonly to: Address };
