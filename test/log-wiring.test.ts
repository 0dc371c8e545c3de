/** Tests of malformed packets on the channels of logs and ledger. */
import test from 'ava';
import type { Address, HostId } from '../src/ids.js';
import type { LinkChannel, LinkEvent } from '../src/messages/index.js';
import { readLedgerReply } from '../src/program/ledger-client.js';
import { readLogPacket } from '../src/program/log-wiring.js';

test('malformed packets are dropped', (t) => {
  for (const body of [undefined, null, 7, 'x', {}, { group: 'notes' }, { group: 1, message: {} }]) {
    const dropped: Address[] = [];
    const drop = (from: Address) => dropped.push(from);
    t.is(readLogPacket(buildEvent('log', body), 'log', drop), undefined);
    const reply = readLedgerReply(buildEvent('ledger', body), drop);
    t.is(reply, undefined);
    t.is(dropped.length, 2);
  }
  const dropped: Address[] = [];
  const drop = (from: Address) => dropped.push(from);
  const foreign = buildEvent('ledger-log', { group: 'g', message: { body: {} } });
  t.is(readLogPacket(foreign, 'log', drop), undefined);
  t.is(dropped.length, 0);
  t.is(readLogPacket(foreign, 'ledger-log', drop), undefined);
  t.is(dropped.length, 1);
});

test('voters that a replica names: read as sent, dropped if malformed', (t) => {
  const build = (addresses: unknown) => {
    const body = { kind: 'voters', addresses };
    return buildEvent('log', { group: 'notes', message: { from: 'a', to: 'b', term: 3, body } });
  };
  const addresses = ['10.0.0.2:7000', '10.0.0.3:7000'];
  const packet = readLogPacket(build(addresses), 'log', () => t.fail());
  t.deepEqual(packet?.message.message.body, { kind: 'voters', addresses } as never);
  for (const malformed of [undefined, 'x', [7], ['nowhere'], ['10.0.0.2:70000']]) {
    const dropped: Address[] = [];
    t.is(
      readLogPacket(build(malformed), 'log', (from) => dropped.push(from)),
      undefined,
    );
    t.is(dropped.length, 1);
  }
});

test('membership with an address that no socket takes: dropped', (t) => {
  const body = { kind: 'welcome', membership: { voters: [{ address: 'nowhere', replica: 'b' }] } };
  const message = { from: 'a', to: 'b', term: 3, body };
  const dropped: Address[] = [];
  const event = buildEvent('log', { group: 'notes', message });
  t.is(
    readLogPacket(event, 'log', (from) => dropped.push(from)),
    undefined,
  );
  t.is(dropped.length, 1);
});

test('join with the identity that was named: read as sent', (t) => {
  for (const body of [
    { kind: 'join', fresh: true, named: 'former' },
    { kind: 'join', fresh: true },
  ]) {
    const event = buildEvent('log', { group: 'notes', message: { from: 'a', term: 3, body } });
    const packet = readLogPacket(event, 'log', () => t.fail());
    t.deepEqual(packet?.message.message.body, body as never);
  }
});

function buildEvent(channel: LinkChannel, body: unknown): LinkEvent {
  const [from, address] = ['h' as HostId, '10.0.0.1:7000' as Address];
  return { kind: 'received', from, address, channel, body };
}
