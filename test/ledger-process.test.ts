/** Calls with an idempotency key and a ledger of three processes. */
import { readFileSync } from 'node:fs';
import test from 'ava';
import { request } from 'undici';
import { NAPERNYO_PLAN, RunningMesh } from '../bench/mesh-plan.js';
import { waitFor } from '../bench/mesh.js';
import type { RunRecord } from '../bench/stand-in-server.js';

const NOTE = `number = 1
title = "Orders"

[[add]]
kind = "service"
name = "orders"

[[add]]
kind = "request-kind"
name = "order"
idempotent = false
worth = 5.0
timeout_ms = 5000
claim = true

[[add]]
kind = "route"
name = "orders"
generation = "old"
path_prefix = "/orders"
method = "*"
service = "orders"
request_kind = "order"
`;

test('call with a key: runs once', async (t) => {
  const mesh = await RunningMesh.start({ ...NAPERNYO_PLAN, services: { orders: 2 } });
  t.teardown(() => mesh.stop());
  const operators = mesh.sources.map(({ operator }) => operator);
  await waitFor('the note to be accepted', async () => {
    for (const operator of operators) {
      const headers = { authorization: 'Bearer mesh-token' };
      const url = `http://${operator}/notes`;
      const answer = await request(url, { method: 'POST', headers, body: NOTE });
      await answer.body.dump();
      if (answer.statusCode === 200) return true;
    }
    return undefined;
  });
  const [one, other] = mesh.proxies;
  const first = await order(one?.calls, 'a', 'nonce-1');
  t.is(first.nonce, 'nonce-1');
  t.is((await order(other?.calls, 'a', 'nonce-2')).nonce, 'nonce-1', 'the stored answer');

  const [killed, second] = mesh.sources;
  killed?.process.child.kill('SIGKILL');
  t.is((await order(other?.calls, 'a', 'nonce-3')).nonce, 'nonce-1');
  t.is((await order(one?.calls, 'b', 'nonce-4')).nonce, 'nonce-4');

  second?.process.child.kill('SIGKILL');
  const refused = await post(one?.calls, 'c', 'nonce-5');
  t.is(refused.outcome, 'not-run');
  t.is(refused.status, 503);
  const runs = readFileSync(mesh.mesh.runsFile, 'utf8').trim().split('\n');
  t.deepEqual(
    runs.map((run) => (JSON.parse(run) as RunRecord).nonce),
    ['nonce-1', 'nonce-4'],
  );
  for (const { process } of [...mesh.sources, ...mesh.proxies]) {
    t.notRegex(process.output(), /(?:log-message|ledger-message|member-update)-dropped/);
  }
});

interface OrderAnswer {
  readonly status: number;
  readonly outcome: string | undefined;
  readonly nonce: string | undefined;
}

async function post(calls: string | undefined, key: string, nonce: string): Promise<OrderAnswer> {
  const answer = await request(`http://${calls ?? ''}/orders`, {
    method: 'POST',
    headers: { 'idempotency-key': key, 'x-nonce': nonce, 'bilberryswitch-caller': 'member-1' },
    body: 'one sack',
  });
  const body = JSON.parse((await answer.body.text()) || '{}') as { nonce?: string };
  const outcome = answer.headers['bilberryswitch-outcome'];
  return { status: answer.statusCode, outcome: outcome?.toString(), nonce: body.nonce };
}

/** Sends an order until it is answered with 200. */
async function order(calls: string | undefined, key: string, nonce: string): Promise<OrderAnswer> {
  return waitFor(`order ${key}`, async () => {
    const answer = await post(calls, key, nonce);
    return answer.status === 200 ? answer : undefined;
  });
}
