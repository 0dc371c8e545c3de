/** The examples: every settings file passes `check`, and the sample notes fold in order. */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';
import { readNote } from '../src/edge/note-parser.js';
import type { Revision } from '../src/ids.js';
import { applyDelta, EMPTY_WHOLE, isApplyFault, NoteBook } from '../src/notes/index.js';
import { runCommandLine } from '../src/program/command-line.js';
import { loadSettings } from '../src/program/settings.js';

const EXAMPLES = join(import.meta.dirname, '..', '..', 'examples');
const SERVERS: Readonly<Record<string, Readonly<Record<string, number>>>> = {
  napernyo: { catalogue: 4, orders: 3, drawings: 3, jobs: 3 },
  'algodon-dulce': { bodega: 5, pedidos: 3, archivo: 3, precios: 3 },
};
const LAST_NOTE = 7;

function listFiles(...folder: string[]): string[] {
  const path = join(EXAMPLES, ...folder);
  const names = readdirSync(path).filter((name) => name.endsWith('.toml'));
  return names.sort().map((name) => join(path, name));
}

for (const [user, servers] of Object.entries(SERVERS)) {
  test(`settings of ${user}`, async (t) => {
    const files = listFiles(user);
    const lines: string[] = [];
    const terminal = { print: (line: string) => lines.push(line), printError: t.fail };
    for (const file of files)
      t.is(await runCommandLine(['check', '--settings', file], terminal), 0);
    const all = files.map((file) => loadSettings(file));
    t.is(new Set(all.map(({ host }) => host)).size, files.length);
    t.is(new Set(all.map(({ control }) => control)).size, files.length);
    t.is(new Set(all.map(({ dataCentre }) => dataCentre)).size, 3);
    for (const [service, count] of Object.entries(servers)) {
      t.is(all.filter(({ host }) => host.includes(`-${service}-`)).length, count, service);
    }
    t.is(all.filter(({ roles }) => roles.includes('source')).length, 3);
  });

  test(`year of ${user}`, (t) => {
    const book = new NoteBook();
    let proxy = EMPTY_WHOLE;
    for (const file of listFiles(user, 'notes')) {
      const note = readNote(readFileSync(file, 'utf8'));
      if (!note.ok) throw new Error(JSON.stringify(note.error));
      const { answer, delta } = book.apply({ kind: 'submit', draft: note.value });
      t.is(answer.kind, 'accepted', JSON.stringify(answer));
      const next = delta && applyDelta(proxy, delta);
      if (next === undefined || isApplyFault(next)) throw new Error('a proxy refuses the version');
      proxy = next;
    }
    const version: number = proxy.version;
    t.is(version, LAST_NOTE);
    const routes = [...proxy.resources.values()].filter((one) => one.kind === 'route');
    t.true(routes.length > 0 && routes.every(({ generation }) => generation === 'new'));
    const number = readdirSync(join(EXAMPLES, user, 'notes')).length;
    const { answer } = book.apply({
      kind: 'withdraw',
      number: number as never,
      readAt: 1 as Revision,
    });
    t.is(answer.kind, 'accepted');
  });
}
