/** Tests of replacements of the whole configuration: commit, resend, race and read back. */
import test from 'ava';
import type {
  Digest,
  Instant,
  LogIndex,
  NoteNumber,
  RequestId,
  ServiceName,
  Term,
} from '../src/ids.js';
import type { NoteAnswer, NoteCommand, Replacement, Resource } from '../src/messages/index.js';
import type { NotesIn, NotesOut, NotesState } from '../src/notes/index.js';
import {
  applyDelta,
  EMPTY_CONFIGURATION,
  isConfigurationFault,
  NoteStore,
  NotesFilter,
} from '../src/notes/index.js';
import { buildService, submit } from './note-drafts.js';
import { makeRoute } from './call-resources.js';

const ID = 'request' as RequestId;
const STOCK: Resource = { kind: 'service', name: 'stock' as ServiceName };
const ORDERS: Resource = { kind: 'service', name: 'orders' as ServiceName };

function replace(number: number, base: number, resources: readonly Resource[]): Replacement {
  const text = JSON.stringify([number, base, resources]);
  return {
    number: number as NoteNumber,
    base: base === 0 ? undefined : (base as NoteNumber),
    resources,
    document: Buffer.from(text),
    digest: `digest of ${text}` as Digest,
  };
}

function apply(book: NoteStore, replacement: Replacement): NoteAnswer {
  return book.apply(book.buildReplaceCommand(replacement)).answer;
}

test('replace: accepted and read back', (t) => {
  const book = new NoteStore();
  t.is(apply(book, replace(3, 0, [STOCK])).kind, 'accepted');
  t.is(apply(book, replace(9, 3, [ORDERS])).kind, 'accepted');
  t.is(book.replacement?.number, 9 as NoteNumber);
  t.deepEqual(book.replacement?.document, replace(9, 3, [ORDERS]).document);
  t.deepEqual(book.buildConfigurationSnapshot().resources, [ORDERS]);
});

test('replace: deltas lead to the last configuration', (t) => {
  const book = new NoteStore();
  let configuration = EMPTY_CONFIGURATION;
  for (const one of [
    replace(1, 0, [STOCK, ORDERS]),
    replace(2, 1, [ORDERS]),
    replace(5, 2, [STOCK]),
  ]) {
    const { delta } = book.apply(book.buildReplaceCommand(one));
    const next = delta && applyDelta(configuration, delta);
    if (next === undefined || isConfigurationFault(next))
      throw new Error('the delta does not apply');
    configuration = next;
  }
  t.deepEqual([...configuration.resources.values()], [STOCK]);
});

test('replace: one winner of a race', (t) => {
  const book = new NoteStore();
  apply(book, replace(1, 0, [STOCK]));
  const first = book.buildReplaceCommand(replace(2, 1, [ORDERS]));
  const second = book.buildReplaceCommand(replace(2, 1, [STOCK, ORDERS]));
  t.is(book.apply(first).answer.kind, 'accepted');
  t.deepEqual(book.apply(second).answer, { kind: 'stale-base', current: 2 as NoteNumber });
  t.deepEqual(book.buildConfigurationSnapshot().resources, [ORDERS]);
});

test('replace: resend gets the first receipt', (t) => {
  const book = new NoteStore();
  const first = replace(1, 0, [STOCK]);
  const accepted = apply(book, first);
  const repeated = { ...accepted, isRepeat: true };
  apply(book, replace(2, 1, [ORDERS]));
  apply(book, replace(3, 2, [STOCK]));
  const { version } = book;
  t.deepEqual(apply(book, first), repeated);
  t.is(book.version, version);
  const reopened = NoteStore.open(book.buildSnapshot());
  t.deepEqual(apply(reopened, first), repeated);
  t.is(reopened.replacement?.number, 3 as NoteNumber);
});

test('replace: stale base, low number and dangling reference are refused', (t) => {
  const book = new NoteStore();
  apply(book, replace(5, 0, [STOCK]));
  t.is(apply(book, replace(6, 0, [ORDERS])).kind, 'stale-base');
  t.is(apply(book, replace(6, 4, [ORDERS])).kind, 'stale-base');
  t.is(apply(book, replace(4, 5, [ORDERS])).kind, 'refused');
  t.is(apply(book, replace(5, 5, [ORDERS])).kind, 'refused');
  t.is(apply(book, replace(6, 5, [STOCK, makeRoute('/r', 'nowhere')])).kind, 'refused');
  t.deepEqual(book.buildConfigurationSnapshot().resources, [STOCK]);
  t.is(book.replacement?.number, 5 as NoteNumber);
});

test('replace: stale after a note in between', (t) => {
  const book = new NoteStore();
  apply(book, replace(1, 0, [STOCK]));
  const overtaken = book.buildReplaceCommand(replace(7, 1, []));
  t.is(book.apply(submit(2, buildService('jobs'))).answer.kind, 'accepted');
  t.is(book.apply(overtaken).answer.kind, 'stale-base');
  t.is(apply(book, replace(7, 1, [])).kind, 'accepted');
  t.deepEqual(book.buildConfigurationSnapshot().resources, []);
});

/** Drives one notes filter. */
class Driver {
  readonly #filter = new NotesFilter();
  #state: NotesState = this.#filter.createState();
  #index = 0;

  send(message: NotesIn): NotesOut[] {
    const step = this.#filter.decide(this.#state, message, 1_000 as Instant);
    this.#state = step.state;
    return step.outputs.filter((output) => output.kind !== 'report');
  }

  commit(command: NoteCommand): NotesOut[] {
    this.#index += 1;
    const [index, term] = [this.#index as LogIndex, 1 as Term];
    return this.send({ kind: 'log', notice: { kind: 'committed', index, term, command, id: ID } });
  }
}

test('replace: refused only after a confirmation', (t) => {
  const driver = new Driver();
  const [proposed] = driver.send({ kind: 'replace', id: ID, replacement: replace(2, 1, [STOCK]) });
  t.like(proposed, { kind: 'log', request: { kind: 'confirm' } });
  const other = new NoteStore();
  driver.commit(other.buildReplaceCommand(replace(1, 0, [ORDERS])));
  const [retried] = driver.send({ kind: 'log', notice: { kind: 'confirmed', id: ID } });
  t.like(retried, { kind: 'log', request: { kind: 'propose' } });
});

test('replacement: read after a confirmation', (t) => {
  const driver = new Driver();
  const [asked] = driver.send({ kind: 'question', id: ID, question: { kind: 'replacement' } });
  t.like(asked, { kind: 'log', request: { kind: 'confirm' } });
  driver.commit(new NoteStore().buildReplaceCommand(replace(1, 0, [ORDERS])));
  const [answer] = driver.send({ kind: 'log', notice: { kind: 'confirmed', id: ID } });
  t.like(answer, { kind: 'document', replacement: { number: 1 as NoteNumber } });
});
