/**
 * Measures accepted notes per second by the number of stored notes, compared with naive implementations.
 *
 * `npm run bench -- notes` prints Markdown tables. The implementations run alternately in one process, so
 * that noise of the machine affects both; each cell has the median and the range over the rounds.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { Packr } from 'msgpackr';
import type { Generation, NoteNumber, RequestKindName, ServiceName, Version } from '../src/ids.js';
import type { Change, NoteCommand, NoteDraft, Resource } from '../src/messages/index.js';
import type { Configuration } from '../src/notes/index.js';
import {
  applyChanges,
  checkConfiguration,
  EMPTY_CONFIGURATION,
  ResourceMap,
  findDanglingReferences,
  formatSetDigest,
  NoteStore,
} from '../src/notes/index.js';

const SIZES = [1_000, 10_000, 100_000];
const SERVICES = 2_000;
const TIMED_NOTES = 200;
const TIMED_COPYING_NOTES = 20;
const ROUNDS = 7;
const MILLIS_PER_SECOND = 1_000;
const BYTES_PER_KB = 1_024;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const browse = 'browse' as RequestKindName;
const generation = 'old' as Generation;

type SubmitNoteCommand = Extract<NoteCommand, { kind: 'submit' }>;

function buildDraft(number: number, lists: Partial<NoteDraft>): NoteDraft {
  const emptyLists = { add: [], change: [], withdraw: [], supersedes: [] };
  return { number: number as NoteNumber, title: `note ${number}`, ...emptyLists, ...lists };
}

function buildRoute(name: string, pathPrefix: string): Resource {
  const service = `service-${name}` as ServiceName;
  return { kind: 'route', name, generation, pathPrefix, method: '*', service, requestKind: browse };
}

/**
 * Returns the first note, which adds every service and route; each later note changes the route of one
 * service.
 */
function buildFirst(services = SERVICES): SubmitNoteCommand {
  const kind = { kind: 'request-kind', name: browse, idempotent: true, worth: 1 } as const;
  const add: Resource[] = [{ ...kind, timeoutMs: 1_000, claim: false, hedge: false }];
  for (let index = 0; index < services; index += 1) {
    add.push({ kind: 'service', name: `service-${index}` as ServiceName });
    add.push(buildRoute(`${index}`, `/${index}`));
  }
  return { kind: 'submit', draft: buildDraft(1, { add }) };
}

function buildMove(number: number): SubmitNoteCommand {
  const name = `${number % SERVICES}`;
  const former = Math.max(1, number - SERVICES) as NoteNumber;
  const change = [buildRoute(name, `/${name}/${number}`)];
  return { kind: 'submit', draft: buildDraft(number, { change, supersedes: [former] }) };
}

function addMovedRoutes(book: NoteStore, size: number): void {
  for (let number = 2; number <= size; number += 1) {
    const { answer } = book.apply(buildMove(number));
    if (answer.kind !== 'accepted') throw new Error(`note ${number}: ${answer.kind}`);
  }
}

/** The naive baseline: each note copies the tables of notes and resources and checks every route. */
class CopyingNoteStore {
  #configuration: Configuration = EMPTY_CONFIGURATION;
  #notes: ReadonlyMap<NoteNumber, NoteDraft>;

  constructor(book: NoteStore) {
    const { resources } = book.buildConfigurationSnapshot();
    this.#configuration = applyChanges(
      EMPTY_CONFIGURATION,
      resources.map((resource) => ({ op: 'put', resource })),
    );
    const entries = book.listEntries(0 as Version, book.size);
    this.#notes = new Map(entries.map(({ draft }) => [draft.number, draft]));
  }

  apply(command: SubmitNoteCommand): void {
    const { draft } = command;
    const changes = draft.change.map((resource) => ({ op: 'put', resource }) as const);
    const copy = ResourceMap.create(this.#configuration.resources.values());
    const next = applyChanges({ ...this.#configuration, resources: copy }, changes);
    if (findDanglingReferences(next).length > 0) throw new Error('dangling');
    this.#configuration = next;
    this.#notes = new Map(this.#notes).set(draft.number, draft);
  }
}

/** Applies `count` notes and returns the number of notes per second. */
function measureRate(
  apply: (command: SubmitNoteCommand) => unknown,
  start: number,
  count: number,
): number {
  const commands = Array.from({ length: count }, (_, index) => buildMove(start + index));
  const begin = performance.now();
  for (const command of commands) apply(command);
  return (count * MILLIS_PER_SECOND) / (performance.now() - begin);
}

function buildSpread(rates: readonly number[]): string {
  const sorted = [...rates].sort((left, right) => left - right);
  const [low = 0, middle = 0, high = 0] = [
    sorted[0],
    sorted[Math.floor(sorted.length / 2)],
    sorted.at(-1),
  ];
  return `${Math.round(middle)} (${Math.round(low)}–${Math.round(high)})`;
}

function reportSize(size: number): void {
  const book = new NoteStore();
  book.apply(buildFirst());
  const heapBefore = measureHeap();
  addMovedRoutes(book, size);
  const bytesPerNote = (measureHeap() - heapBefore) / (size - 1);
  const copyingStore = new CopyingNoteStore(book);
  const inPlaceRates: number[] = [];
  const copyingRates: number[] = [];
  let next = size + 1;
  for (let round = 0; round < ROUNDS; round += 1) {
    inPlaceRates.push(measureRate((command) => book.apply(command), next, TIMED_NOTES));
    copyingRates.push(
      measureRate(
        (command) => {
          copyingStore.apply(command);
        },
        next,
        TIMED_COPYING_NOTES,
      ),
    );
    next += TIMED_NOTES;
  }
  const packr = new Packr({ useRecords: true });
  const packStartedAt = performance.now();
  const packed = packr.pack(book.buildSnapshot());
  const openStartedAt = performance.now();
  NoteStore.open(packr.unpack(packed) as never);
  const endedAt = performance.now();
  const cells = [
    size,
    buildSpread(inPlaceRates),
    buildSpread(copyingRates),
    Math.round(bytesPerNote),
    Math.round(packed.length / BYTES_PER_KB),
    Math.round(openStartedAt - packStartedAt),
    Math.round(endedAt - openStartedAt),
  ];
  console.log(`| ${cells.join(' | ')} |`);
}

function measureHeap(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

const PUTS_PER_SERVICE = 2;

/** Measures how fast a proxy applies deltas, and how fast if it copies and checks everything each time. */
function reportDeltaRate(services: number): void {
  const configuration = applyChanges(EMPTY_CONFIGURATION, listPuts(services));
  const [copyingRates, sharingRates]: [number[], number[]] = [[], []];
  for (let round = 0; round < ROUNDS; round += 1) {
    copyingRates.push(
      measureRate(
        (command) => {
          const resources = ResourceMap.create(configuration.resources.values());
          applyDelta({ ...configuration, resources }, command);
        },
        2,
        TIMED_COPYING_NOTES,
      ),
    );
    sharingRates.push(
      measureRate(
        (command) => {
          applyDelta(configuration, command);
        },
        2,
        TIMED_COPYING_NOTES,
      ),
    );
  }
  console.log(
    `| ${services * PUTS_PER_SERVICE + 1} | ${buildSpread(sharingRates)} | ${buildSpread(copyingRates)} |`,
  );
}

function listPuts(services: number): Change[] {
  return buildFirst(services).draft.add.map((resource) => ({ op: 'put', resource }));
}

function applyDelta(configuration: Configuration, command: SubmitNoteCommand): void {
  const changes = command.draft.change.map((resource): Change => ({ op: 'put', resource }));
  const next = applyChanges(configuration, changes);
  const checked = checkConfiguration(next, formatSetDigest(next.setDigest));
  if ('kind' in checked) throw new Error(checked.kind);
}

console.log(
  '| notes | in place, accepts/s: median (lowest–highest) | copying tables, accepts/s | heap bytes a note | snapshot KB | pack ms | open ms |',
);
console.log('| --- | --- | --- | --- | --- | --- | --- |');
for (const size of SIZES) reportSize(size);

console.log('\n| resources | shared storage, deltas/s | copied tables, deltas/s |');
console.log('| --- | --- | --- |');
for (const services of [1_000, 2_000, 8_000]) reportDeltaRate(services);
