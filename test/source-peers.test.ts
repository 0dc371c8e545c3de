/** Where a source host sends operators, and where it says that the leader is. */
import test from 'ava';
import type { Address, HostId } from '../src/ids.js';
import { SourcePeers } from '../src/program/source-peers.js';

const OPERATOR = '10.0.0.1:7003' as Address;
const LEADER = 'source-2' as HostId;

test('leader that the membership lacks: found by its log messages', (t) => {
  const peers = new SourcePeers(OPERATOR);
  peers.addSender(LEADER, '10.0.0.2:7000' as Address);
  t.is(peers.findOperatorAddress(LEADER), '10.0.0.2:7003' as Address);
  peers.apply({ kind: 'member-gone', host: LEADER });
  t.is(peers.findControlAddress(LEADER), '10.0.0.2:7000' as Address);
  t.deepEqual(peers.listControlAddresses(), []);
});
