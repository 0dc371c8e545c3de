/**
 * Measures what allowances cost in processor time and bytes, without sockets.
 *
 * `npm run bench -- allowance` prints a Markdown table. Each figure is the median over the rounds; the processor time
 * includes the encoding and decoding of link messages, but not the sockets.
 */
import { AccountBuckets } from '../src/allowances/account-buckets.js';
import { buildLimit } from '../src/allowances/account-limit.js';
import type { AccountLimit } from '../src/allowances/account-limit.js';
import { ShareLedger } from '../src/allowances/share-ledger.js';
import type { AllowanceIn, LimitedCall } from '../src/allowances/index.js';
import { AllowanceFilter } from '../src/allowances/index.js';
import { addMs } from '../src/clock.js';
import { readAllowanceRequest } from '../src/edge/index.js';
import { decodeFrame, encodeMessage } from '../src/edge/link-codec.js';
import type {
  Address,
  CallId,
  ClientAccountName,
  HostId,
  Instant,
  ProxyLife,
  ReportNumber,
  Share,
  Term,
  TimeOfDay,
} from '../src/ids.js';
import type { AccountUse, ClientAccountResource } from '../src/messages/index.js';
import { EMPTY_CONFIGURATION, ResourceMap } from '../src/notes/index.js';
import { findQuantile, formatRow } from './table.js';

const ACCOUNTS = 81;
const ROUNDS = 9;
const START = 1_000_000 as Instant;
const SOURCE = '10.0.2.0:7000' as Address;
const LIFE = '1234567890-1000000' as ProxyLife;

const accounts = Array.from({ length: ACCOUNTS }, (_, index): ClientAccountResource => {
  const name = `account-${index}` as ClientAccountName;
  return { kind: 'client-account', name, keys: [], ratePerSecond: 1e6, burst: 1e6 };
});

function buildLimits(): Map<ClientAccountName, AccountLimit> {
  const limits = new Map<ClientAccountName, AccountLimit>();
  for (const account of accounts) {
    const limit = buildLimit({ ...account, ratePerSecond: 20, burst: 40 });
    if (limit !== undefined) limits.set(account.name, limit);
  }
  return limits;
}

/** Returns the median time of one run in microseconds. */
function measureMicros(runs: number, run: (index: number) => void): number {
  const rounds = Array.from({ length: ROUNDS }, () => {
    const startedAt = performance.now();
    for (let index = 0; index < runs; index += 1) run(index);
    return ((performance.now() - startedAt) * 1_000) / runs;
  });
  return findQuantile(rounds, 0.5) ?? 0;
}

/** Measures a call that takes a token of its proxy's share, from its arrival to its end. */
function measureCall(): number {
  const filter = new AllowanceFilter<LimitedCall>(LIFE);
  let state = filter.createState();
  let now = START;
  const post = (message: AllowanceIn<LimitedCall>) => {
    const step = filter.decide(state, message, now);
    state = step.state;
    return step.outputs;
  };
  post({ kind: 'sources', sources: [SOURCE] });
  const resources = ResourceMap.create(accounts);
  const outputs = post({ kind: 'whole', configuration: { ...EMPTY_CONFIGURATION, resources } });
  const request = outputs.find((output) => output.kind === 'allowance-request');
  const answers = request?.body.number ?? (0 as ReportNumber);
  const shares = accounts.map(({ name }) => [name, 500_000 as Share, 400_000] as const);
  const grant = { kind: 'grant', term: 1 as Term, life: LIFE, answers, isWhole: true } as const;
  post({ kind: 'allowance-reply', from: SOURCE, body: { ...grant, shares } });
  return measureMicros(20_000, (index) => {
    now = addMs(now, 0.02);
    const account = accounts[index % ACCOUNTS];
    if (account === undefined) return;
    const id = `call-${index}` as CallId;
    post({ kind: 'time-of-day', at: now as number as TimeOfDay });
    post({ kind: 'routed', call: { head: { id }, account, deadline: addMs(now, 1_000) } });
    post({ kind: 'sent', id });
    post({ kind: 'gone', id });
  });
}

/** Measures a report of a proxy at the grantor, with its answer; returns also their bytes. */
function measureReport(proxies: number): { micros: number; report: number; grant: number } {
  const ledger = new ShareLedger(buildLimits(), new Map(), START);
  let now = addMs(START, 10_000);
  const uses = accounts.map(({ name }): AccountUse => [name, 9_000 as Share, 3]);
  const sizes = { report: 0, grant: 0 };
  const micros = measureMicros(2 * proxies, (index) => {
    now = addMs(now, 1_000 / proxies);
    const number = (Math.round(now) + index) as ReportNumber;
    const applied = (number - 1) as ReportNumber;
    const report = { kind: 'report', life: LIFE, number, applied, accounts: uses } as const;
    const bytes = encodeMessage('allowances', report);
    const frame = decodeFrame(bytes);
    const body = frame.kind === 'message' ? readAllowanceRequest(frame.body) : undefined;
    const host = `proxy-${index % proxies}` as HostId;
    if (body?.kind !== 'report' || !ledger.addReport(host, body, now)) return;
    const grant = { kind: 'grant', term: 1, life: LIFE, ...ledger.decideGrant(host, LIFE, now) };
    sizes.report = bytes.length;
    sizes.grant = encodeMessage('allowances', { ...grant, answers: number }).length;
  });
  return { micros, ...sizes };
}

/** Measures a request for one single token at the grantor, with its answer. */
function measureAsk(): { micros: number; ask: number; tokens: number } {
  const ledger = new ShareLedger(buildLimits(), new Map(), START);
  let now = addMs(START, 10_000);
  const sizes = { ask: 0, tokens: 0 };
  const micros = measureMicros(20_000, (index) => {
    now = addMs(now, 1);
    const name = `account-${index % ACCOUNTS}` as ClientAccountName;
    const number = index as ReportNumber;
    const ask = { kind: 'ask', life: LIFE, number, tokens: [[name, 1]] };
    const bytes = encodeMessage('allowances', ask);
    const frame = decodeFrame(bytes);
    const body = frame.kind === 'message' ? readAllowanceRequest(frame.body) : undefined;
    if (body?.kind !== 'ask') return;
    const tokens = ledger.takeTokens(body.tokens, now);
    const reply = { kind: 'tokens', term: 1, life: LIFE, answers: number, tokens };
    sizes.ask = bytes.length;
    sizes.tokens = encodeMessage('allowances', reply).length;
  });
  return { micros, ...sizes };
}

/** Measures the list of accounts that a proxy builds for its report, with its encoding. */
function measureBuild(): number {
  const buckets = new AccountBuckets();
  let now = START;
  buckets.updateLimits(buildLimits(), now);
  return measureMicros(2_000, () => {
    now = addMs(now, 1_000);
    for (const { name } of accounts) buckets.find(name)?.addCall();
    encodeMessage('allowances', { kind: 'report', life: LIFE, accounts: buckets.listUse(now) });
  });
}

console.log(formatRow(['what', 'µs', 'bytes up', 'bytes down']));
console.log(formatRow(['---', '---', '---', '---']));
console.log(formatRow(['call with a token of the share', measureCall(), undefined, undefined]));
console.log(
  formatRow(['report of 81 accounts, at its proxy', measureBuild(), undefined, undefined]),
);
const ask = measureAsk();
console.log(formatRow(['single token, at the grantor', ask.micros, ask.ask, ask.tokens]));
for (const proxies of [76, 1_000]) {
  const { micros, report, grant } = measureReport(proxies);
  console.log(formatRow([`report of 81 accounts, ${proxies} proxies`, micros, report, grant]));
}
