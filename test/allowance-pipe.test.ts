/** Allowances in the call pipe: which calls are charged, and which tokens come back. */
import test from 'ava';
import type { CallIn, CallOut } from '../src/calls/index.js';
import { CallPipe, PrioritySlotPolicy, TwoChoicesPicker } from '../src/calls/index.js';
import { addMs } from '../src/clock.js';
import type {
  AccountKey,
  Address,
  ClientAccountName,
  DataCentreId,
  HostId,
  ProxyLife,
  RegionId,
  RequestKindName,
  ServiceName,
  TimeOfDay,
} from '../src/ids.js';
import type { AllowanceRequest, ClientAccountResource, Resource } from '../src/messages/index.js';
import { buildKeyDigest } from '../src/notes/index.js';
import { SeededRandom } from '../src/random.js';
import { makeConfiguration, makeHead, makeKind, makeRoute, START } from './call-resources.js';

const PLACE = {
  host: 'h1' as HostId,
  dataCentre: 'd1' as DataCentreId,
  region: 'r1' as RegionId,
};
const SOURCE = '10.0.2.0:7000' as Address;
const LIFE = 'one-life' as ProxyLife;
const KEY = 'secret' as AccountKey;

const ACCOUNT: ClientAccountResource = {
  kind: 'client-account',
  name: 'one' as ClientAccountName,
  keys: [buildKeyDigest(KEY)],
  ratePerSecond: 100,
  burst: 100,
};

/** Drives a pipe without backend servers, so that a call that passes the filter is refused as not run. */
class PipeDriver {
  now = START;
  #dayStepMs = 0;
  readonly #pipe = new CallPipe({
    place: PLACE,
    picker: new TwoChoicesPicker(new SeededRandom(1)),
    createPolicy: () => new PrioritySlotPolicy(),
    life: LIFE,
  });
  #state = this.#pipe.createState();

  get bucket() {
    return this.#state.allowance.buckets.find(ACCOUNT.name)?.bucket;
  }

  post(message: CallIn): readonly CallOut[] {
    const step = this.#pipe.decide(this.#state, message, this.now);
    this.#state = step.state;
    return step.outputs;
  }

  configure(...accounts: Resource[]): readonly CallOut[] {
    const service = { kind: 'service', name: 'reads' as ServiceName } as const;
    const route = makeRoute('/reads', 'read', { service: 'reads' as ServiceName });
    const kind = makeKind('read', { name: 'read' as RequestKindName });
    const configuration = makeConfiguration(service, route, kind, ...accounts);
    this.post({ kind: 'sources', sources: [SOURCE] });
    return this.post({ kind: 'whole', configuration });
  }

  /** Answers the report among some outputs with a share. */
  grant(outputs: readonly CallOut[], share: number): readonly CallOut[] {
    const { number } = findRequest(outputs);
    return this.post({
      kind: 'allowance-reply',
      from: SOURCE,
      body: {
        kind: 'grant',
        term: 1 as never,
        life: LIFE,
        answers: number,
        isWhole: true,
        shares: [[ACCOUNT.name, share as never, 0]],
      },
    });
  }

  /** Sends a call, and a turn for it if the pipe wants one. */
  call(
    id: string,
    key: { readonly accountKey?: AccountKey } = { accountKey: KEY },
  ): readonly CallOut[] {
    this.post({ kind: 'time-of-day', at: (this.now + this.#dayStepMs) as TimeOfDay });
    const head = makeHead(id, { path: '/reads', ...key });
    const outputs = this.post({ kind: 'arrived', head });
    const hasTurn = outputs.some(({ kind }) => kind === 'want-turn');
    return hasTurn ? [...outputs, ...this.post({ kind: 'turn' })] : outputs;
  }

  stepDay(ms: number): void {
    this.#dayStepMs += ms;
  }
}

function findRequest(outputs: readonly CallOut[]): AllowanceRequest {
  const request = outputs.find((output) => output.kind === 'allowance-request');
  if (request === undefined) throw new Error('nothing was sent to the grantor');
  return request.body;
}

function listReasons(outputs: readonly CallOut[]): string[] {
  return outputs.flatMap((output) => (output.kind === 'refuse' ? [output.reason] : []));
}

test('no limit: nothing is sent, no call is held', (t) => {
  const driver = new PipeDriver();
  const { name, keys } = ACCOUNT;
  const outputs = [...driver.configure({ kind: 'client-account', name, keys })];
  for (let second = 0; second < 20; second += 1) {
    driver.now = addMs(driver.now, 1_000);
    outputs.push(...driver.call(`call-${second}`), ...driver.post({ kind: 'tick' }));
  }
  t.false(outputs.some(({ kind }) => kind.startsWith('allowance')));
  t.false(listReasons(outputs).some((reason) => reason.endsWith('allowance')));
});

test('limit removed and set again: reports begin again', (t) => {
  const driver = new PipeDriver();
  driver.grant(driver.configure(ACCOUNT), 500_000);
  driver.configure();
  t.notDeepEqual(listReasons(driver.call('one')), ['no-allowance']);
  driver.now = addMs(driver.now, 60_000);
  const outputs = driver.configure(ACCOUNT);
  t.is(findRequest(outputs).kind, 'report');
  t.true(outputs.some(({ kind }) => kind === 'wake'));
  t.deepEqual(listReasons(driver.call('two')), ['no-allowance'], 'the former lease has ended');
});

test('no lease: refused as not run; calls without an account pass', (t) => {
  const driver = new PipeDriver();
  driver.configure(ACCOUNT);
  t.deepEqual(listReasons(driver.call('one')), ['no-allowance']);
  const inner = driver.call('two', {});
  t.notDeepEqual(listReasons(inner), ['no-allowance']);
});

test('call not run: its token comes back', (t) => {
  const driver = new PipeDriver();
  driver.grant(driver.configure(ACCOUNT), 500_000);
  driver.now = addMs(driver.now, 100);
  const before = driver.bucket?.measure(driver.now);
  t.deepEqual(listReasons(driver.call('one')), ['no-server']);
  t.is(driver.bucket?.measure(driver.now), before);
});

test('no token: asks, then 429 with the time of the next one', (t) => {
  const driver = new PipeDriver();
  driver.grant(driver.configure(ACCOUNT), 500_000);
  const asked = driver.call('one');
  t.deepEqual(listReasons(asked), []);
  const { number, ...ask } = findRequest(asked);
  t.deepEqual(ask, { kind: 'ask', life: LIFE, tokens: [[ACCOUNT.name, 1]] });
  const outputs = driver.post({
    kind: 'allowance-reply',
    from: SOURCE,
    body: {
      kind: 'tokens',
      term: 1 as never,
      life: LIFE,
      answers: number,
      tokens: [[ACCOUNT.name, 0, 50, false]],
    },
  });
  const refusal = outputs.find((output) => output.kind === 'refuse');
  t.like(refusal, { reason: 'over-allowance', outcome: 'not-run', retryAfterMs: 20 });
});

test('no answer to a request for a token: 503, not 429', (t) => {
  const driver = new PipeDriver();
  driver.grant(driver.configure(ACCOUNT), 0);
  driver.call('one');
  driver.now = addMs(driver.now, 260);
  t.deepEqual(listReasons(driver.post({ kind: 'tick' })), ['no-allowance']);
});

test('time of day jumps: the lease ends before the next call', (t) => {
  const driver = new PipeDriver();
  driver.grant(driver.configure(ACCOUNT), 500_000);
  driver.call('zero');
  driver.now = addMs(driver.now, 1_000);
  driver.stepDay(3_000);
  const outputs = driver.call('one');
  t.true(listReasons(outputs).includes('no-allowance'));
  t.is(driver.bucket?.share as number, 0);
});
