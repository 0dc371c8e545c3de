/** The notes pipe alone: nothing is answered before the log has confirmed that this replica leads. */
import test from 'ava';
import type {
  HostId,
  Instant,
  LogIndex,
  NoteNumber,
  RequestId,
  Term,
  Version,
} from '../src/ids.js';
import type { CoverageReport, NoteCommand } from '../src/messages/index.js';
import type { NotesIn, NotesNotice, NotesOut } from '../src/notes/index.js';
import { NotesFilter } from '../src/notes/index.js';
import { formRoute, formService, submit } from './note-drafts.js';

const NUMBER = 1 as NoteNumber;
const ID = 'request' as RequestId;
const FIRST = submit(1, formService('stock'));

/** Drives one filter and keeps what it sends on, except reports. */
class Driver {
  readonly #filter = new NotesFilter();
  #state = this.#filter.createState();
  #index = 0;
  now = 1_000 as Instant;

  tell(message: NotesIn): NotesOut[] {
    const { state, outputs } = this.#filter.decide(this.#state, message, this.now);
    this.#state = state;
    return outputs.filter((output) => output.kind !== 'report');
  }

  notice(notice: NotesNotice): NotesOut[] {
    return this.tell({ kind: 'log', notice });
  }

  commit(command: NoteCommand, id?: RequestId): NotesOut[] {
    this.#index += 1;
    const [index, term] = [this.#index as LogIndex, 1 as Term];
    return this.notice({ kind: 'committed', index, term, command, id });
  }

  cover(known: number, holding: number): NotesOut[] {
    const held: CoverageReport['held'] = [{ version: 1 as Version, count: holding }];
    return this.tell({ kind: 'coverage', report: { known, held, stragglers: [] } });
  }

  wait(deadline: number): NotesOut[] {
    const question = { kind: 'wait', number: NUMBER, deadline: deadline as Instant } as const;
    return this.tell({ kind: 'question', id: ID, question });
  }
}

const CONFIRM: NotesOut[] = [{ kind: 'log', request: { kind: 'confirm', id: ID } }];

test('good command is proposed', (t) => {
  const outputs = new Driver().tell({ kind: 'command', id: ID, command: FIRST });
  t.deepEqual(outputs, [{ kind: 'log', request: { kind: 'propose', id: ID, command: FIRST } }]);
});

test('bad command stays out', (t) => {
  const driver = new Driver();
  const command = submit(2, formRoute('add', 'stock'));
  t.deepEqual(driver.tell({ kind: 'command', id: ID, command }), CONFIRM);
  t.like(driver.notice({ kind: 'confirmed', id: ID }), [
    { kind: 'answer', answer: { kind: 'refused' } },
  ]);
});

test('refusal decided anew', (t) => {
  const driver = new Driver();
  const command = submit(2, formRoute('add', 'stock'));
  driver.tell({ kind: 'command', id: ID, command });
  driver.commit(FIRST);
  t.like(driver.notice({ kind: 'confirmed', id: ID }), [
    { kind: 'log', request: { kind: 'propose' } },
  ]);
});

test('cut off replica refuses nothing', (t) => {
  const driver = new Driver();
  driver.commit(FIRST);
  driver.tell({ kind: 'command', id: ID, command: submit(1, formService('other')) });
  const refusal = { kind: 'not-leader', leader: 'source-1' as HostId } as const;
  t.deepEqual(driver.notice({ kind: 'refused', id: ID, refusal }), [
    { kind: 'refusal', id: ID, refusal },
  ]);
  t.deepEqual(driver.notice({ kind: 'confirmed', id: ID }), []);
});

test('verdict at commit', (t) => {
  const driver = new Driver();
  driver.tell({ kind: 'command', id: ID, command: FIRST });
  driver.commit(submit(1, formService('other')));
  t.like(driver.commit(FIRST, ID), [{ kind: 'answer', answer: { kind: 'number-taken' } }]);
});

test('show after confirm', (t) => {
  const driver = new Driver();
  driver.commit(FIRST);
  driver.cover(3, 2);
  const question = { kind: 'show', number: NUMBER } as const;
  t.deepEqual(driver.tell({ kind: 'question', id: ID, question }), CONFIRM);
  const shown = { status: { inForce: false, coverage: { known: 3, holding: 2 } } };
  t.like(driver.notice({ kind: 'confirmed', id: ID }), [shown]);
});

test('show unknown', (t) => {
  const driver = new Driver();
  driver.tell({ kind: 'question', id: ID, question: { kind: 'show', number: NUMBER } });
  const answer = { kind: 'unknown-note', number: NUMBER } as const;
  t.deepEqual(driver.notice({ kind: 'confirmed', id: ID }), [{ kind: 'answer', id: ID, answer }]);
});

test('pages of a list', (t) => {
  const driver = new Driver();
  for (const number of [5, 3, 9]) driver.commit(submit(number, formService(`s${number}`)));
  const list = (after: number) => {
    const question = { kind: 'list', after: after as Version, limit: 2 } as const;
    driver.tell({ kind: 'question', id: ID, question });
    const [output] = driver.notice({ kind: 'confirmed', id: ID });
    if (output?.kind !== 'page') throw new Error('no page');
    const numbers: number[] = output.page.notes.map((note) => note.receipt.number);
    return { numbers, next: output.page.next as number | undefined };
  };
  t.deepEqual(list(0), { numbers: [5, 3], next: 2 });
  t.deepEqual(list(2), { numbers: [9], next: undefined });
});

test('wait ends in force', (t) => {
  const driver = new Driver();
  driver.commit(FIRST);
  driver.cover(2, 1);
  t.deepEqual(driver.wait(9_000), CONFIRM);
  t.deepEqual(driver.notice({ kind: 'confirmed', id: ID }), [
    { kind: 'wake', at: 9_000 as Instant },
  ]);
  t.deepEqual(driver.cover(2, 2), CONFIRM);
  t.like(driver.notice({ kind: 'confirmed', id: ID }), [{ status: { inForce: true } }]);
});

test('wait ends at its deadline', (t) => {
  const driver = new Driver();
  driver.commit(FIRST);
  driver.cover(2, 1);
  driver.wait(9_000);
  driver.notice({ kind: 'confirmed', id: ID });
  driver.now = 9_000 as Instant;
  t.deepEqual(driver.tell({ kind: 'tick' }), CONFIRM);
  t.like(driver.notice({ kind: 'confirmed', id: ID }), [{ status: { inForce: false } }]);
});

test('snapshot of the log', (t) => {
  const [driver, other] = [new Driver(), new Driver()];
  driver.commit(FIRST);
  const through = 1 as LogIndex;
  const [captured] = driver.notice({ kind: 'capture', through });
  if (captured?.kind !== 'captured') throw new Error('nothing captured');
  const { snapshot } = captured;
  t.like(other.notice({ kind: 'restore', through, snapshot }), [{ whole: { version: 1 } }]);
  t.like(other.commit(submit(2, formService('other'))), [{ delta: { version: 2 } }]);
});

test('cancelled wait', (t) => {
  const driver = new Driver();
  driver.commit(FIRST);
  driver.cover(2, 1);
  driver.wait(9_000);
  driver.notice({ kind: 'confirmed', id: ID });
  driver.tell({ kind: 'cancel', id: ID });
  t.deepEqual(driver.cover(2, 2), []);
});
