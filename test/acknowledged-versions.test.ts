/** What proxies serve 2 s after an operator was told that a version is accepted, in a fleet with busy proxies. */
import test from 'ava';
import type { LogIndex, RequestId, Term } from '../src/ids.js';
import { NotesFilter } from '../src/notes/index.js';
import type { NotesIn } from '../src/notes/index.js';
import { SeededRandom } from '../src/random.js';
import { StalledLinks } from './fleet-faults.js';
import { buildService, submit } from './note-drafts.js';
import { startFleet } from './started-fleet.js';

const BOUND_MS = 2_000;
/** Operators send a command again after a second without an answer. */
const RESEND_MS = 1_000;
/** The limit of a version in a calm fleet, as in `distribution-fleet`. */
const CALM_LIMIT_MS = 100;
const SEEDS = Array.from({ length: 12 }, (_, index) => index + 1);
const FLEET = { proxies: 60, sources: 5, dataCentres: 4 };
const VERSIONS = 4;
const STEP_MS = 5;
const MAX_TURN_MS = 1_000;
const BUSY_SHARE = 0.6;

/** The notes of the source whose coverage the fleet reports. */
class Notes {
  readonly #filter = new NotesFilter();
  readonly #fleet: ReturnType<typeof startFleet>['fleet'];
  readonly #answered = new Set<RequestId>();
  #state = this.#filter.createState();

  constructor({ fleet }: ReturnType<typeof startFleet>) {
    this.#fleet = fleet;
  }

  commit(number: number): RequestId {
    this.#passCoverage();
    const id = `request-${number}` as RequestId;
    const command = submit(number, buildService(`service-${number}`));
    const index = number as LogIndex;
    this.#send({
      kind: 'log',
      notice: { kind: 'committed', index, term: 1 as Term, command, id },
    });
    return id;
  }

  hasAnswered(id: RequestId): boolean {
    this.#passCoverage();
    this.#send({ kind: 'tick' });
    return this.#answered.has(id);
  }

  #passCoverage(): void {
    const { coverage } = this.#fleet;
    if (coverage !== undefined) this.#send({ kind: 'coverage', report: coverage });
  }

  #send(message: NotesIn): void {
    const step = this.#filter.decide(this.#state, message, this.#fleet.queue.now);
    this.#state = step.state;
    for (const output of step.outputs) if (output.kind === 'answer') this.#answered.add(output.id);
  }
}

/** Returns the longest times until a version was acknowledged, and from then until all proxies served it. */
function measureVersions(seed: number, busyShare: number): { answerMs: number; lagMs: number } {
  const started = startFleet({ ...FLEET, seed });
  const { fleet, maker, commitNext } = started;
  const random = new SeededRandom(seed);
  const links = new StalledLinks(fleet, random);
  const notes = new Notes(started);
  let [answerMs, lagMs] = [0, 0];
  for (let count = 0; count < VERSIONS; count += 1) {
    commitNext();
    const id = notes.commit(maker.newest);
    const elapsedMs = fleet.runUntil(() => notes.hasAnswered(id), 5 * BOUND_MS, STEP_MS);
    answerMs = Math.max(answerMs, elapsedMs ?? Infinity);
    const isServed = () => fleet.isServedByAll(maker.newest);
    lagMs = Math.max(lagMs, fleet.runUntil(isServed, 5 * BOUND_MS) ?? Infinity);
    fleet.run(BOUND_MS);
    if (count === 0) {
      links.makeBusy(
        fleet.proxies.filter(() => random.next() < busyShare),
        MAX_TURN_MS,
      );
    }
  }
  return { answerMs, lagMs };
}

test('busy fleet: versions are in force 2 s after they are acknowledged', (t) => {
  const results = SEEDS.map((seed) => measureVersions(seed, BUSY_SHARE));
  const lags = results.map(({ lagMs }) => lagMs);
  t.true(Math.max(...lags) <= BOUND_MS, lags.join(' '));
  const answers = results.map(({ answerMs }) => answerMs);
  t.true(Math.max(...answers) < RESEND_MS, answers.join(' '));
});

test('calm fleet: versions are acknowledged when all proxies have them', (t) => {
  for (const seed of SEEDS) {
    const { answerMs, lagMs } = measureVersions(seed, 0);
    t.is(lagMs, 0);
    t.true(answerMs < CALM_LIMIT_MS, `${answerMs}`);
  }
});
