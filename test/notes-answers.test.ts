/** Tests of each answer to a command on notes. */
import test from 'ava';
import type { NoteAnswer, NoteCommand } from '../src/messages/index.js';
import { digestValue, NoteStore } from '../src/notes/index.js';
import {
  amend,
  buildRoute,
  buildService,
  buildWithdrawal,
  parseDraft,
  submit,
  withdraw,
} from './note-drafts.js';

const BASE = `${buildService('stock')}${buildRoute('add', 'stock')}`;
const SPLIT = '[[add]]\nkind = "split"\nname = "main"\n';

/** Applies commands and returns the last answer. */
function run(...commands: NoteCommand[]): { book: NoteStore; answer: NoteAnswer } {
  const book = new NoteStore();
  const answers = commands.map((command) => book.apply(command).answer);
  return { book, answer: answers.at(-1) ?? { kind: 'refused', faults: [] } };
}

function listFaults(answer: NoteAnswer): string[] {
  if (answer.kind !== 'refused') throw new Error(`not refused but ${answer.kind}`);
  return answer.faults.map(({ place, message }) => `${place}: ${message}`);
}

function countVersions(book: NoteStore): number {
  return book.version;
}

/** Formats the kind of an answer and its other fields. */
function buildSummary(answer: NoteAnswer): string {
  const { kind, ...rest } = answer;
  const named = 'winner' in rest ? [rest.winner.digest] : Object.values(rest);
  return `${kind} ${named.join()}`;
}

function readVersionAndRevision(answer: NoteAnswer): number[] {
  if (answer.kind !== 'accepted') throw new Error(`not accepted but ${answer.kind}`);
  return [answer.receipt.version, answer.receipt.revision];
}

test('first receipt', (t) => {
  t.deepEqual(readVersionAndRevision(run(submit(7, BASE)).answer), [1, 1]);
});

test('submit resend', (t) => {
  const { book, answer } = run(submit(7, BASE), submit(8, buildService('x')), submit(7, BASE));
  t.deepEqual(readVersionAndRevision(answer), [1, 1]);
  t.is(countVersions(book), 2);
});

test('submit resend after withdrawal', (t) => {
  const { book, answer } = run(submit(7, BASE), withdraw(7, 1), submit(7, BASE));
  t.deepEqual(readVersionAndRevision(answer), [1, 1]);
  t.is(book.buildConfigurationSnapshot().resources.length, 0);
});

test('number taken', (t) => {
  const { book, answer } = run(submit(7, BASE), submit(7, buildService('x')));
  t.is(buildSummary(answer), `number-taken ${digestValue(parseDraft(7, BASE))}`);
  t.is(countVersions(book), 1);
});

test('amend resend', (t) => {
  const second = amend(7, 1, buildService('x'));
  const { book, answer } = run(submit(7, BASE), second, amend(7, 2, BASE), second);
  t.deepEqual(readVersionAndRevision(answer), [2, 2]);
  t.is(countVersions(book), 3);
});

test('withdraw resend', (t) => {
  const { book, answer } = run(submit(7, BASE), withdraw(7, 1), withdraw(7, 1));
  t.deepEqual(readVersionAndRevision(answer), [2, 2]);
  t.is(countVersions(book), 2);
});

test('stale amend', (t) => {
  const { answer } = run(submit(7, BASE), amend(7, 1, buildService('x')), amend(7, 1, BASE));
  t.is(buildSummary(answer), 'stale-revision 2');
});

test('stale withdrawal', (t) => {
  const { answer } = run(submit(7, BASE), amend(7, 1, buildService('x')), withdraw(7, 1));
  t.is(buildSummary(answer), 'stale-revision 2');
});

test('amend after withdrawal', (t) => {
  const { answer } = run(submit(7, BASE), withdraw(7, 1), amend(7, 2, BASE));
  t.regex(listFaults(answer).join(), /^number: note 7 has been withdrawn/);
});

test('unknown note', (t) => {
  t.is(buildSummary(run(withdraw(7, 1)).answer), 'unknown-note 7');
  t.is(buildSummary(run(amend(7, 1, BASE)).answer), 'unknown-note 7');
});

test('change without supersedes would undo', (t) => {
  const moved = buildRoute('change', 'stock', 'path_prefix = "/shelf"');
  const { answer } = run(submit(1, BASE), submit(2, moved));
  t.is(buildSummary(answer), 'would-undo 1');
  t.deepEqual(readVersionAndRevision(run(submit(1, BASE), submit(2, moved, [1])).answer), [2, 1]);
});

test('withdrawal without supersedes would undo', (t) => {
  const { answer } = run(submit(1, BASE), submit(2, buildWithdrawal('route', 'stock')));
  t.is(buildSummary(answer), 'would-undo 1');
});

test('add after withdrawal without supersedes would undo', (t) => {
  const gone = submit(2, buildWithdrawal('route', 'stock'), [1]);
  const { answer } = run(submit(1, BASE), gone, submit(3, buildRoute('add', 'stock')));
  t.is(buildSummary(answer), 'would-undo 2');
});

test('withdrawal restores the earlier resource', (t) => {
  const moved = submit(2, buildRoute('change', 'stock', 'path_prefix = "/shelf"'), [1]);
  const before = run(submit(1, BASE)).book;
  const { book, answer } = run(submit(1, BASE), moved, withdraw(2, 1));
  t.deepEqual(readVersionAndRevision(answer), [3, 2]);
  t.is(book.digest, before.digest);
});

test('withdrawal below a change is rested on', (t) => {
  const moved = submit(2, buildRoute('change', 'stock', 'path_prefix = "/shelf"'), [1]);
  const { answer } = run(submit(1, BASE), moved, withdraw(1, 1));
  t.is(buildSummary(answer), 'rested-on 2');
});

test('withdrawal below a route is rested on', (t) => {
  const { answer } = run(
    submit(1, buildService('stock')),
    submit(2, buildRoute('add', 'stock')),
    withdraw(1, 1),
  );
  t.is(buildSummary(answer), 'rested-on 2');
});

test('withdrawal between two changes is rested on', (t) => {
  const move = (path: string) => buildRoute('change', 'stock', `path_prefix = "/${path}"`);
  const { answer } = run(
    submit(1, BASE),
    submit(2, move('a'), [1]),
    submit(3, move('b'), [2]),
    withdraw(2, 1),
  );
  t.is(buildSummary(answer), 'rested-on 3');
});

test('amendment that drops a used service is rested on', (t) => {
  const shelf = buildRoute('add', 'shelf')
    .replace('service = "shelf"', 'service = "stock"')
    .replace('request_kind = "shelf"', 'request_kind = "stock"');
  const { answer } = run(submit(1, BASE), submit(2, shelf), amend(1, 1, buildService('other')));
  t.is(buildSummary(answer), 'rested-on 2');
});

test('all faults are reported together', (t) => {
  const { answer } = run(
    submit(1, BASE),
    submit(
      2,
      [
        buildRoute('add', 'stock'),
        buildRoute('add', 'lost'),
        buildRoute('change', 'absent'),
        buildWithdrawal('service', 'nowhere'),
        buildWithdrawal('route', 'lost'),
      ].join('\n'),
      [9, 2],
    ),
  );
  t.deepEqual(
    listFaults(answer).map((fault) => fault.split(':')[0]),
    [
      'supersedes[0]',
      'supersedes[1]',
      'withdraw[1]',
      'add[0]',
      'change[0]',
      'withdraw[0]',
      'change[0].request_kind',
      'change[0].service',
      'add[1].request_kind',
      'add[1].service',
    ],
  );
});

test('withdrawal of a referenced service is refused', (t) => {
  const { answer } = run(submit(1, BASE), submit(2, buildWithdrawal('service', 'stock'), [1]));
  t.regex(listFaults(answer).join(), /^withdraw\[0\]: route\/stock, set by note 1, refers to/);
});

test('ambiguous routes are refused', (t) => {
  const twin = `${buildService('shelf')}${buildRoute('add', 'shelf', 'path_prefix = "/stock"')}`;
  const { answer } = run(submit(1, BASE), submit(2, twin));
  t.regex(
    listFaults(answer).join(),
    /^add\[2\]: route\/shelf would match the same .* route\/stock/,
  );
});

test('split to an absent generation is refused', (t) => {
  const shares =
    'shares = [{ generation = "old", share = 9000 }, { generation = "new", share = 1000 }]';
  const { answer } = run(submit(1, BASE), submit(2, `${SPLIT}${shares}`));
  t.regex(
    listFaults(answer).join(),
    /^add\[0\]\.shares\[1\]\.generation: generation\/new would be/,
  );
});

test('withdrawal of the last route of a used generation is refused', (t) => {
  const shares = 'shares = [{ generation = "old", share = 10000 }]';
  const { answer } = run(
    submit(1, BASE),
    submit(2, `${SPLIT}${shares}`),
    submit(3, buildWithdrawal('route', 'stock'), [1]),
  );
  t.regex(listFaults(answer).join(), /^withdraw\[0\]: split\/main, set by note 2, refers to/);
});

test('delta of one note', (t) => {
  const { delta } = new NoteStore().apply(submit(1, BASE));
  t.is(delta?.version as number, 1);
  t.is(delta?.changes.length, 3);
});

test('snapshot with a wrong digest is rejected', (t) => {
  const snapshot = run(submit(1, BASE)).book.buildSnapshot();
  const digest = '0'.repeat(32) as never;
  t.throws(() => NoteStore.open({ ...snapshot, digest }), { message: /is damaged/ });
});
