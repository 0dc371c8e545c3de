/** Notes as text: every fault has its place in the file. */
import test from 'ava';
import { readNote } from '../src/edge/note-parser.js';
import { formRoute } from './note-drafts.js';

const KIND = '[[add]]\nkind = "request-kind"\nname = "order"\nidempotent = false\nworth = 5\n';
const FAULTS: readonly (readonly [name: string, body: string, fault: RegExp])[] = [
  ['syntax', 'title "x"', /^line 1, column \d+: /],
  ['no number', 'title = "x"', /^number: missing; expected/],
  ['no title', 'number = 1', /^title: missing; expected/],
  ['unknown key', 'number = 1\ntitle = "x"\ncolour = 1', /^colour: unknown key/],
  ['no unit', `number = 1\ntitle = "x"\n${KIND}timeout = 5`, /add\[0\]\.timeout: unknown key/],
  ['no timeout', `number = 1\ntitle = "x"\n${KIND}`, /add\[0\]\.timeout_ms: missing/],
  [
    'hedged order',
    `number = 1\ntitle = "x"\n${KIND}timeout_ms = 5\nhedge = true`,
    /add\[0\]\.hedge: only/,
  ],
  [
    'slash at the end',
    `number = 1\ntitle = "x"\n${formRoute('add', 'a', 'path_prefix = "/a/"')}`,
    /add\[0\]\.path_prefix: expected an absolute path/,
  ],
  [
    'no generation',
    `number = 1\ntitle = "x"\n${formRoute('add', 'a').replace('generation = "old"', '')}`,
    /add\[0\]\.generation: missing; name a generation/,
  ],
  [
    'shares',
    'number = 1\ntitle = "x"\n[[add]]\nkind = "split"\nname = "s"\nshares = [{ generation = "a", share = 1 }]',
    /add\[0\]\.shares: the shares must add up/,
  ],
  [
    'generation twice',
    'number = 1\ntitle = "x"\n[[add]]\nkind = "split"\nname = "s"\nshares = [{ generation = "a", share = 5000 }, { generation = "a", share = 5000 }]',
    /add\[0\]\.shares: each generation/,
  ],
];

for (const [name, text, fault] of FAULTS) {
  test(`note: ${name}`, (t) => {
    const note = readNote(text);
    t.false(note.ok);
    if (!note.ok)
      t.regex(note.error.map((one) => `${one.place}: ${one.message}`).join('\n'), fault);
  });
}

test('generation of the note', (t) => {
  const route = formRoute('add', 'a').replace('generation = "old"', '');
  const note = readNote(`number = 1\ntitle = "x"\ngeneration = "new"\n${route}`);
  t.like(note, { ok: true, value: { generation: 'new', add: [{ generation: 'new' }] } });
});

test('note in JSON', (t) => {
  t.like(readNote('{"number": 3, "title": "x"}', 'json'), { ok: true, value: { number: 3 } });
});
