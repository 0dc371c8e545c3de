/** Messages that carry configuration versions from the source to the proxies and between them. */
import type { Digest, HostId, Version } from '../ids.js';
import type { VersionDelta, WholeSnapshot } from './version.js';

/** What processes say to each other on the `spread` channel. */
export type SpreadMessage =
  | { readonly kind: 'push'; readonly deltas: readonly VersionDelta[] }
  | { readonly kind: 'advertise'; readonly version: Version; readonly digest: Digest }
  | { readonly kind: 'pull'; readonly after: Version }
  | { readonly kind: 'snapshot'; readonly whole: WholeSnapshot }
  | { readonly kind: 'ack'; readonly host: HostId; readonly version: Version };
