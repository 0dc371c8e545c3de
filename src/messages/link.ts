/** Messages between the processes of the system, and the channels they travel on. */
import type { Address, HostId } from '../ids.js';

/** Which pipe a message belongs to; control bytes are counted per channel. */
export type Channel =
  'log' | 'ledger-log' | 'spread' | 'source-spread' | 'members' | 'ledger' | 'calls';

/** A message that has arrived over a link. `body` is a typed message of the channel's own union. */
export interface Received<Body = unknown> {
  readonly kind: 'received';
  readonly from: HostId;
  readonly address: Address;
  readonly channel: Channel;
  readonly body: Body;
}

/** What the link task tells the other tasks. */
export type LinkEvent =
  | Received
  | { readonly kind: 'link-up'; readonly host: HostId; readonly address: Address }
  | { readonly kind: 'link-down'; readonly host: HostId | undefined; readonly address: Address };

/** What other tasks ask of the link task. */
export type LinkCommand =
  | {
      readonly kind: 'send';
      readonly to: Address;
      readonly channel: Channel;
      readonly body: unknown;
    }
  /** Keeps a link to this address open, with capped retries and full jitter. */
  | { readonly kind: 'keep'; readonly to: Address }
  | { readonly kind: 'drop'; readonly to: Address };
