/** The operator interface and the command line over loopback, with a fake notes pipe. */
import { writeFileSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { request } from 'undici';
import { findFreeAddress } from '../bench/mesh.js';
import { DefaultOperatorFront, OperatorTask } from '../src/edge/index.js';
import type { Address, HostId, NoteNumber, RequestId, Revision, Version } from '../src/ids.js';
import type { LogRefusal, NoteReceipt } from '../src/messages/index.js';
import type { NotesIn } from '../src/notes/index.js';
import { runCommandLine } from '../src/program/command-line.js';
import { ManualClock } from './manual-clock.js';

const folder = mkdtempSync(join(tmpdir(), 'bilberryswitch-operator-'));
const tokenFile = join(folder, 'token');
const noteFile = join(folder, 'note.toml');
writeFileSync(tokenFile, 'secret');
writeFileSync(noteFile, 'number = 7\ntitle = "first"\n');
test.after.always(() => {
  rmSync(folder, { recursive: true });
});

const RECEIPT: NoteReceipt = {
  number: 7 as NoteNumber,
  revision: 1 as Revision,
  version: 4 as Version,
  digest: 'd' as NoteReceipt['digest'],
};
type Responder = (message: NotesIn, id: RequestId, operator: OperatorTask) => void;

const accept: Responder = (_message, id, operator) => {
  operator.post({ kind: 'answer', id, answer: { kind: 'accepted', receipt: RECEIPT } });
};

function refuse(refusal: LogRefusal): Responder {
  return (_message, id, operator) => {
    operator.post({ kind: 'refusal', id, refusal });
  };
}

async function start(t: ExecutionContext, respond: Responder, leaderAt?: Address) {
  const address = (await findFreeAddress()) as Address;
  const clock = new ManualClock();
  const messages: NotesIn[] = [];
  const rejected: string[] = [];
  const operator: OperatorTask = new OperatorTask({
    address,
    clock,
    front: new DefaultOperatorFront('secret'),
    notifyRejected: (url, { status }) => rejected.push(`${status} ${url}`),
    waitLimitMs: 1_000,
    findOperator: () => leaderAt,
    reportFailure: (_task, error) => {
      t.fail(String(error));
    },
    request: (message) => {
      messages.push(message);
      if ('id' in message && message.kind !== 'cancel') respond(message, message.id, operator);
    },
  });
  await operator.start();
  t.teardown(() => operator.stop());
  return { address, clock, messages, rejected };
}

async function send(
  address: string,
  method: 'GET' | 'POST' | 'PUT' | 'DELETE',
  path: string,
  extraHeaders = {},
) {
  const headers = { authorization: 'Bearer secret', ...extraHeaders };
  const answer = await request(`http://${address}${path}`, { method, headers, body: 'x = ' });
  return { status: answer.statusCode, body: (await answer.body.json()) as { kind: string } };
}

/** Options that shorten commands that find no leader and retry until their timeout. */
const SHORT_TIMEOUT = ['--timeout-ms', '300'];

async function run(args: readonly string[], ...operators: readonly string[]) {
  const [out, err] = [[] as string[], [] as string[]];
  const access = operators.flatMap((one) => ['--operator', one]);
  const rest = ['--token-file', tokenFile];
  const code = await runCommandLine(operators.length === 0 ? args : [...args, ...access, ...rest], {
    print: (line) => out.push(line),
    printError: (line) => err.push(line),
  });
  return { code, out: out.join('\n'), err: err.join('\n') };
}

test('wrong token: refused with 401', async (t) => {
  const { address, messages, rejected } = await start(t, accept);
  for (const authorization of ['Bearer secreT', 'secret', '']) {
    t.is((await send(address, 'GET', '/notes', { authorization })).status, 401);
  }
  t.deepEqual(messages, []);
  t.deepEqual(rejected, ['401 /notes', '401 /notes', '401 /notes']);
});

test('repeated command: same answer as the first', async (t) => {
  const repeat: Responder = (_message, id, operator) => {
    const answer = { kind: 'accepted', receipt: RECEIPT, isRepeat: true } as const;
    operator.post({ kind: 'answer', id, answer });
  };
  const [first, again] = [await start(t, accept), await start(t, repeat)];
  const path = '/notes/7?revision=1';
  const answer = await send(first.address, 'DELETE', path);
  t.deepEqual(answer, { status: 200, body: { kind: 'accepted', receipt: RECEIPT } } as never);
  t.deepEqual(await send(again.address, 'DELETE', path), answer);
});

test('invalid requests are refused', async (t) => {
  const { address, messages } = await start(t, accept);
  t.is((await send(address, 'GET', '/note')).status, 404);
  t.is((await send(address, 'POST', '/notes/7')).status, 405);
  t.is((await send(address, 'DELETE', '/notes/7')).status, 400);
  t.is((await send(address, 'DELETE', '/notes/7?revision=x')).status, 400);
  t.is((await send(address, 'POST', '/notes')).status, 422);
  t.deepEqual(messages, []);
});

test('headers too large: refused with 431', async (t) => {
  const { address } = await start(t, accept);
  const answer = await request(`http://${address}/notes`, { headers: { x: 'x'.repeat(9_000) } });
  await answer.body.dump();
  t.is(answer.statusCode, 431);
});

test('body too large: refused with 413', async (t) => {
  const { address, messages } = await start(t, accept);
  const headers = { authorization: 'Bearer secret' };
  const body = 'x'.repeat(5 * 1024 * 1024);
  const sent = request(`http://${address}/notes`, { method: 'POST', headers, body });
  const status = await sent.then(
    async (answer) => {
      await answer.body.dump();
      return answer.statusCode;
    },
    // The connection may be closed before the answer is read.
    () => 413,
  );
  t.is(status, 413);
  t.deepEqual(messages, []);
});

test('overdue answer: outcome unknown', async (t) => {
  const { address, clock, messages } = await start(t, () => {
    setImmediate(() => {
      clock.advance(10_000);
    });
  });
  const { status, body } = await send(address, 'GET', '/notes');
  t.is(status, 503);
  t.is(body.kind, 'outcome-unknown');
  t.is(messages.at(-1)?.kind, 'cancel');
});

test('wait is limited to the maximum', async (t) => {
  const { address, clock, messages } = await start(t, accept);
  await send(address, 'GET', '/notes/7/wait?timeout_ms=60000');
  const [message] = messages;
  const question = message?.kind === 'question' ? message.question : undefined;
  t.is(question?.kind === 'wait' ? question.deadline - clock.read() : 0, 1_000);
});

test('note submit: accepted', async (t) => {
  const { address } = await start(t, accept);
  const { code, out } = await run(['note', 'submit', noteFile], address);
  t.deepEqual([code, out], [0, 'note 7, revision 1: accepted as version 4']);
});

test('note submit: refusal is printed', async (t) => {
  const { address } = await start(t, (_message, id, operator) => {
    const notes = [3 as NoteNumber];
    operator.post({ kind: 'answer', id, answer: { kind: 'would-undo', notes } });
  });
  const { code, err } = await run(['note', 'submit', noteFile], address);
  t.is(code, 1);
  t.regex(err, /would undo note 3: name them in "supersedes"/);
});

test('follower refuses: leader is tried', async (t) => {
  const leader = await start(t, accept);
  const refusal = { kind: 'not-leader', leader: 'source-1' as HostId } as const;
  const follower = await start(t, refuse(refusal), leader.address);
  const { code } = await run(['note', 'submit', noteFile], follower.address);
  t.is(code, 0);
});

test('unreachable operator: next address is tried', async (t) => {
  const { address } = await start(t, accept);
  const absent = await findFreeAddress();
  t.is((await run(['note', 'submit', noteFile], absent, address)).code, 0);
});

test('no reachable source: nothing was done', async (t) => {
  const { code, err } = await run(['note', 'show', '7', ...SHORT_TIMEOUT], await findFreeAddress());
  t.is(code, 3);
  t.regex(err, /nothing was done/);
});

test('outcome unknown: reported as such', async (t) => {
  const { address } = await start(t, refuse({ kind: 'outcome-unknown' }));
  const { code, err } = await run(['note', 'submit', noteFile, ...SHORT_TIMEOUT], address);
  t.is(code, 3);
  t.regex(err, /outcome unknown: .*send the same again/);
});

test('usage errors: exit code 2', async (t) => {
  const wrong = [
    [],
    ['note'],
    ['note', 'burn'],
    ['run'],
    ['note', 'show', 'x'],
    ['check', '--colour'],
  ];
  for (const args of wrong) t.is((await run(args)).code, 2, args.join(' '));
  t.is((await run(['note', 'withdraw', '7'], '127.0.0.1:1')).code, 2);
  t.is((await run(['note', 'show', '7'], 'mesh.example:1')).code, 2);
});

test('help of each command', async (t) => {
  const { out } = await run(['--help']);
  const names = ['run', 'check', 'note submit', 'note amend', 'note withdraw', 'note show'];
  for (const name of [...names, 'note list', 'note wait', 'status', 'drain', 'version']) {
    t.true(out.includes(`  ${name}`), name);
    const help = await run([...name.split(' '), '--help']);
    t.is(help.code, 0);
    t.regex(help.out, new RegExp(`^usage: bilberryswitch ${name}`));
  }
});

const configurationFile = join(folder, 'configuration.toml');
const CONFIGURATION = 'number = 9\nbase = 7\n[[resources]]\nkind = "service"\nname = "shop"\n';
writeFileSync(configurationFile, CONFIGURATION);

test('configuration replace: accepted', async (t) => {
  const { address, messages } = await start(t, accept);
  const { code, out } = await run(['configuration', 'replace', configurationFile], address);
  t.is(code, 0, out);
  const [message] = messages;
  t.is(message?.kind, 'replace');
  t.like(message?.kind === 'replace' && message.replacement, {
    number: 9 as NoteNumber,
    base: 7 as NoteNumber,
    resources: [{ kind: 'service', name: 'shop' }],
  });
});

test('configuration replace: stale base is refused', async (t) => {
  const { address } = await start(t, (_message, id, operator) => {
    const answer = { kind: 'stale-base', current: 8 as NoteNumber } as const;
    operator.post({ kind: 'answer', id, answer });
  });
  const { code, err } = await run(['configuration', 'replace', configurationFile], address);
  t.not(code, 0);
  t.regex(err, /the newest is 8/);
});

test('configuration show: document is unchanged', async (t) => {
  const { address } = await start(t, (_message, id, operator) => {
    const replacement = { number: 9 as NoteNumber, document: Buffer.from(CONFIGURATION) };
    operator.post({ kind: 'document', id, replacement });
  });
  const { code, out } = await run(['configuration', 'show'], address);
  t.is(code, 0);
  t.is(out, CONFIGURATION);
  const none = await start(t, (_message, id, operator) => {
    operator.post({ kind: 'document', id, replacement: undefined });
  });
  t.is((await send(none.address, 'GET', '/configuration')).status, 404);
  t.is((await send(none.address, 'PUT', '/configuration')).status, 422);
  t.is((await send(none.address, 'DELETE', '/configuration')).status, 405);
});
