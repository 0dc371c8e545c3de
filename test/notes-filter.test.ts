/** Tests of the notes filter: it answers only after the log has confirmed that this replica leads. */
import test from 'ava';
import { addMs } from '../src/clock.js';
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
import { buildRoute, buildService, submit } from './note-drafts.js';

const NUMBER = 1 as NoteNumber;
const ID = 'request' as RequestId;
const FIRST = submit(1, buildService('stock'));

/** Drives one filter and returns its outputs, except reports. */
class Driver {
  readonly #filter = new NotesFilter();
  #state = this.#filter.createState();
  #index = 0;
  now = 1_000 as Instant;

  send(message: NotesIn): NotesOut[] {
    const { state, outputs } = this.#filter.decide(this.#state, message, this.now);
    this.#state = state;
    return outputs.filter((output) => output.kind !== 'report');
  }

  sendNotice(notice: NotesNotice): NotesOut[] {
    return this.send({ kind: 'log', notice });
  }

  commit(command: NoteCommand, id?: RequestId): NotesOut[] {
    this.#index += 1;
    const [index, term] = [this.#index as LogIndex, 1 as Term];
    return this.sendNotice({ kind: 'committed', index, term, command, id });
  }

  sendCoverage(known: number, holding: number): NotesOut[] {
    const held: CoverageReport['held'] = [{ version: 1 as Version, count: holding }];
    return this.send({ kind: 'coverage', report: { known, held, stragglers: [] } });
  }

  sendWait(deadline: number): NotesOut[] {
    const question = { kind: 'wait', number: NUMBER, deadline: deadline as Instant } as const;
    return this.send({ kind: 'question', id: ID, question });
  }
}

const CONFIRM: NotesOut[] = [{ kind: 'log', request: { kind: 'confirm', id: ID } }];

test('valid command is proposed', (t) => {
  const outputs = new Driver().send({ kind: 'command', id: ID, command: FIRST });
  t.deepEqual(outputs, [{ kind: 'log', request: { kind: 'propose', id: ID, command: FIRST } }]);
});

test('invalid command is not proposed', (t) => {
  const driver = new Driver();
  const command = submit(2, buildRoute('add', 'stock'));
  t.deepEqual(driver.send({ kind: 'command', id: ID, command }), CONFIRM);
  t.like(driver.sendNotice({ kind: 'confirmed', id: ID }), [
    { kind: 'answer', answer: { kind: 'refused' } },
  ]);
});

test('accepted command: answered when all proxies have its version', (t) => {
  const driver = new Driver();
  driver.sendCoverage(3, 0);
  t.like(driver.commit(FIRST, ID), [{ kind: 'version' }, { kind: 'wake' }]);
  t.deepEqual(driver.sendCoverage(3, 2), []);
  t.like(driver.sendCoverage(3, 3), [{ kind: 'answer', id: ID, answer: { kind: 'accepted' } }]);
});

test('accepted command, a proxy is cut off: answered at the deadline', (t) => {
  const driver = new Driver();
  driver.sendCoverage(3, 0);
  driver.commit(FIRST, ID);
  driver.now = addMs(driver.now, 499);
  t.like(driver.send({ kind: 'tick' }), [{ kind: 'wake' }]);
  driver.now = addMs(driver.now, 1);
  t.like(driver.send({ kind: 'tick' }), [{ kind: 'answer', id: ID }]);
});

test('accepted command, process stops: answered at once', (t) => {
  const driver = new Driver();
  driver.sendCoverage(3, 0);
  driver.commit(FIRST, ID);
  t.like(driver.send({ kind: 'stopping' }), [{ kind: 'answer', id: ID }]);
});

test('accepted command, leadership lost: answered at once', (t) => {
  const driver = new Driver();
  driver.sendCoverage(3, 0);
  driver.commit(FIRST, ID);
  const lost = driver.sendNotice({ kind: 'leading', leading: false });
  t.like(lost, [{ kind: 'answer', id: ID, answer: { kind: 'accepted' } }]);
});

test('refusal is decided again after the confirmation', (t) => {
  const driver = new Driver();
  const command = submit(2, buildRoute('add', 'stock'));
  driver.send({ kind: 'command', id: ID, command });
  driver.commit(FIRST);
  t.like(driver.sendNotice({ kind: 'confirmed', id: ID }), [
    { kind: 'log', request: { kind: 'propose' } },
  ]);
});

test('partitioned replica sends no refusal', (t) => {
  const driver = new Driver();
  driver.commit(FIRST);
  driver.send({ kind: 'command', id: ID, command: submit(1, buildService('other')) });
  const refusal = { kind: 'not-leader', leader: 'source-1' as HostId } as const;
  t.deepEqual(driver.sendNotice({ kind: 'refused', id: ID, refusal }), [
    { kind: 'refusal', id: ID, refusal },
  ]);
  t.deepEqual(driver.sendNotice({ kind: 'confirmed', id: ID }), []);
});

test('acceptance is decided at the commit', (t) => {
  const driver = new Driver();
  driver.send({ kind: 'command', id: ID, command: FIRST });
  driver.commit(submit(1, buildService('other')));
  t.like(driver.commit(FIRST, ID), [{ kind: 'answer', answer: { kind: 'number-taken' } }]);
});

test('show is answered after the confirmation', (t) => {
  const driver = new Driver();
  driver.commit(FIRST);
  driver.sendCoverage(3, 2);
  const question = { kind: 'show', number: NUMBER } as const;
  t.deepEqual(driver.send({ kind: 'question', id: ID, question }), CONFIRM);
  const shown = { status: { inForce: false, coverage: { known: 3, holding: 2 } } };
  t.like(driver.sendNotice({ kind: 'confirmed', id: ID }), [shown]);
});

test('show of an unknown note', (t) => {
  const driver = new Driver();
  driver.send({ kind: 'question', id: ID, question: { kind: 'show', number: NUMBER } });
  const answer = { kind: 'unknown-note', number: NUMBER } as const;
  t.deepEqual(driver.sendNotice({ kind: 'confirmed', id: ID }), [
    { kind: 'answer', id: ID, answer },
  ]);
});

test('list is answered in pages', (t) => {
  const driver = new Driver();
  for (const number of [5, 3, 9]) driver.commit(submit(number, buildService(`s${number}`)));
  const list = (after: number) => {
    const question = { kind: 'list', after: after as Version, limit: 2 } as const;
    driver.send({ kind: 'question', id: ID, question });
    const [output] = driver.sendNotice({ kind: 'confirmed', id: ID });
    if (output?.kind !== 'page') throw new Error('no page');
    const numbers: number[] = output.page.notes.map((note) => note.receipt.number);
    return { numbers, next: output.page.next as number | undefined };
  };
  t.deepEqual(list(0), { numbers: [5, 3], next: 2 });
  t.deepEqual(list(2), { numbers: [9], next: undefined });
});

test('wait ends when the note is in force', (t) => {
  const driver = new Driver();
  driver.commit(FIRST);
  driver.sendCoverage(2, 1);
  t.deepEqual(driver.sendWait(9_000), CONFIRM);
  t.deepEqual(driver.sendNotice({ kind: 'confirmed', id: ID }), [
    { kind: 'wake', at: 9_000 as Instant },
  ]);
  t.deepEqual(driver.sendCoverage(2, 2), CONFIRM);
  t.like(driver.sendNotice({ kind: 'confirmed', id: ID }), [{ status: { inForce: true } }]);
});

test('wait ends at its deadline', (t) => {
  const driver = new Driver();
  driver.commit(FIRST);
  driver.sendCoverage(2, 1);
  driver.sendWait(9_000);
  driver.sendNotice({ kind: 'confirmed', id: ID });
  driver.now = 9_000 as Instant;
  t.deepEqual(driver.send({ kind: 'tick' }), CONFIRM);
  t.like(driver.sendNotice({ kind: 'confirmed', id: ID }), [{ status: { inForce: false } }]);
});

test('captured snapshot is restored', (t) => {
  const [driver, other] = [new Driver(), new Driver()];
  driver.commit(FIRST);
  const through = 1 as LogIndex;
  const [captured] = driver.sendNotice({ kind: 'capture', through });
  if (captured?.kind !== 'captured') throw new Error('nothing captured');
  const { snapshot } = captured;
  t.like(other.sendNotice({ kind: 'restore', through, snapshot }), [
    { configuration: { version: 1 } },
  ]);
  t.like(other.commit(submit(2, buildService('other'))), [{ delta: { version: 2 } }]);
});

test('cancelled wait is not answered', (t) => {
  const driver = new Driver();
  driver.commit(FIRST);
  driver.sendCoverage(2, 1);
  driver.sendWait(9_000);
  driver.sendNotice({ kind: 'confirmed', id: ID });
  driver.send({ kind: 'cancel', id: ID });
  t.deepEqual(driver.sendCoverage(2, 2), []);
});
