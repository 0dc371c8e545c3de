/** The size of updates, so that the filter can limit the size of datagrams without knowledge of their encoding. */
import type { MemberUpdate } from '../messages/index.js';

/** Returns an upper bound of the encoded size in bytes in the codec of datagrams. */
export function estimateBytes(update: MemberUpdate): number {
  switch (update.kind) {
    case 'record':
      return estimateRecord(update);
    case 'status':
      return FIXED_BYTES + update.host.length;
    case 'crash-seen':
      return FIXED_BYTES + update.fingerprint.length + update.server.length;
    case 'run-left':
      return FIXED_BYTES + update.host.length + update.instance.length;
  }
}

// Internals.

const FIXED_BYTES = 28;
const RECORD_BYTES = 46;
const SERVER_BYTES = 28;
const VERSION_BYTES = 3;

function estimateRecord({ member }: Extract<MemberUpdate, { kind: 'record' }>): number {
  const { host, region, dataCentre, control, calls, pass } = member;
  let bytes = RECORD_BYTES;
  for (const text of [host, region, dataCentre, control, calls, pass]) bytes += text.length;
  for (const server of member.servers) {
    bytes += SERVER_BYTES + server.service.length + server.address.length;
    if (server.version !== undefined) bytes += VERSION_BYTES + server.version.length;
  }
  return bytes;
}
