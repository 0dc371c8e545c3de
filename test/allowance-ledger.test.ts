/** Conservation of shares: messages that are late, lost or out of order never make the shares exceed the whole. */
import test from 'ava';
import fc from 'fast-check';
import { AccountBuckets } from '../src/allowances/account-buckets.js';
import { buildLimit, WHOLE } from '../src/allowances/account-limit.js';
import { AllowanceLease } from '../src/allowances/allowance-lease.js';
import { ShareLedger } from '../src/allowances/share-ledger.js';
import type { AllowanceReport } from '../src/allowances/share-ledger.js';
import { addMs } from '../src/clock.js';
import type { Address, HostId, Instant, ProxyLife, Term } from '../src/ids.js';
import type { AllowanceReply } from '../src/messages/index.js';
import { makeAccount } from './allowance-mesh.js';
import { START } from './call-resources.js';

const ACCOUNT = makeAccount('one', 1_000, 1_000);
const { name } = ACCOUNT;
const PROXIES = 3;

function makeLimits() {
  const limit = buildLimit(ACCOUNT);
  if (limit === undefined) throw new Error('the account has no limit');
  return new Map([[name, limit]]);
}

/** A proxy without a filter: the lease and the buckets only. */
class LooseProxy {
  readonly host: HostId;
  buckets = new AccountBuckets();
  lease: AllowanceLease;
  #lives = 1;
  #hasLease = false;
  #grantor: Address | undefined;

  constructor(index: number, now: Instant) {
    this.host = `p${index}` as HostId;
    this.lease = new AllowanceLease(`${this.host}-1` as ProxyLife);
    this.buckets.updateLimits(makeLimits(), now);
  }

  restart(now: Instant): void {
    this.#lives += 1;
    this.#hasLease = false;
    this.lease = new AllowanceLease(`${this.host}-${this.#lives}` as ProxyLife);
    this.buckets = new AccountBuckets();
    this.buckets.updateLimits(makeLimits(), now);
  }

  readShare(now: Instant): number {
    return this.lease.isValid(now) ? (this.buckets.find(name)?.bucket.share ?? 0) : 0;
  }

  /** The demand stands in for calls: the test chooses it. */
  buildReport(to: Address, tenths: number, now: Instant): AllowanceReport {
    this.#endLease(now);
    const share = (this.buckets.find(name)?.bucket.share ?? 0) as never;
    if (to !== this.#grantor) this.lease.forgetRequests();
    this.#grantor = to;
    const { life, applied } = this.lease;
    const number = this.lease.addRequest(to, now);
    return { kind: 'report', life, number, applied, accounts: [[name, share, tenths]] };
  }

  #endLease(now: Instant): void {
    if (!this.#hasLease || this.lease.isValid(now)) return;
    this.#hasLease = false;
    this.lease.end();
    this.buckets.dropAll(now);
  }

  receive(from: Address, reply: AllowanceReply, now: Instant): void {
    this.#endLease(now);
    if (reply.kind === 'recall' && this.lease.acceptRecall(reply.term)) {
      this.buckets.lowerShares(reply.shares, now);
    }
    if (reply.kind !== 'grant') return;
    const sentAt = this.lease.renew(from, reply, now);
    if (sentAt === undefined) return;
    this.#hasLease = true;
    this.buckets.applyShares(reply, sentAt, now);
  }
}

/** A leader, proxies and the messages between them, delivered in any order. */
class LooseMesh {
  now = START;
  readonly proxies = Array.from({ length: PROXIES }, (_, index) => new LooseProxy(index, START));
  #term = 1;
  #ledger = new ShareLedger(makeLimits(), new Map(), START);
  readonly #reports: { to: Address; proxy: LooseProxy; report: AllowanceReport }[] = [];
  readonly #replies: { from: Address; to: LooseProxy; reply: AllowanceReply }[] = [];

  /** Shares in use and the reserve of the leader. */
  get sum(): number {
    const held = this.proxies.reduce((sum, proxy) => sum + proxy.readShare(this.now), 0);
    return held + (this.#ledger.findAccount(name)?.reserve ?? 0);
  }

  report(index: number, tenths: number): void {
    const proxy = this.proxies[index % PROXIES];
    if (proxy === undefined) return;
    const to = this.#address;
    this.#reports.push({ to, proxy, report: proxy.buildReport(to, tenths, this.now) });
  }

  /** Delivers a report; one to a replaced leader is lost. */
  deliverReport(index: number): void {
    const [message] = this.#reports.splice(index % Math.max(1, this.#reports.length), 1);
    if (message?.to !== this.#address) return;
    const { proxy, report } = message;
    if (!this.#ledger.addReport(proxy.host, report, this.now)) return;
    const grant = this.#ledger.decideGrant(proxy.host, report.life, this.now);
    const [term, from] = [this.#term as Term, this.#address];
    const { life, number: answers } = report;
    this.#replies.push({
      from,
      to: proxy,
      reply: { kind: 'grant', term, life, answers, ...grant },
    });
    for (const { host, share } of this.#ledger.listRecalls(proxy.host, [name], this.now)) {
      const to = this.proxies.find((each) => each.host === host);
      if (to !== undefined)
        this.#replies.push({ from, to, reply: { kind: 'recall', term, shares: [share] } });
    }
  }

  deliverReply(index: number): void {
    const [message] = this.#replies.splice(index % Math.max(1, this.#replies.length), 1);
    message?.to.receive(message.from, message.reply, this.now);
  }

  elect(): void {
    this.#term += 1;
    this.#ledger = new ShareLedger(makeLimits(), new Map(), this.now);
  }

  // Internals.

  get #address(): Address {
    return `10.0.0.${this.#term % 200}:7000` as Address;
  }
}

const step = fc.oneof(
  { weight: 4, arbitrary: fc.tuple(fc.constant('report'), fc.nat(2), fc.nat(20_000)) },
  { weight: 4, arbitrary: fc.tuple(fc.constant('deliver-report'), fc.nat(9), fc.nat(0)) },
  { weight: 4, arbitrary: fc.tuple(fc.constant('deliver-reply'), fc.nat(9), fc.nat(0)) },
  { weight: 2, arbitrary: fc.tuple(fc.constant('wait'), fc.nat(0), fc.nat(3_000)) },
  { weight: 1, arbitrary: fc.tuple(fc.constant('restart'), fc.nat(2), fc.nat(0)) },
  { weight: 1, arbitrary: fc.tuple(fc.constant('elect'), fc.nat(0), fc.nat(0)) },
);

function applyStep(
  mesh: LooseMesh,
  [kind, index, amount]: readonly [string, number, number],
): void {
  if (kind === 'report') mesh.report(index, amount);
  else if (kind === 'deliver-report') mesh.deliverReport(index);
  else if (kind === 'deliver-reply') mesh.deliverReply(index);
  else if (kind === 'wait') mesh.now = addMs(mesh.now, amount);
  else if (kind === 'restart') mesh.proxies[index]?.restart(mesh.now);
  else mesh.elect();
}

test('shares and reserve: never above the whole', (t) => {
  let most = 0;
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 200, size: 'max' }), (steps) => {
      const mesh = new LooseMesh();
      for (const each of steps) {
        applyStep(mesh, each);
        most = Math.max(most, mesh.sum);
        if (mesh.sum > WHOLE) return false;
      }
      return true;
    }),
    { numRuns: 5_000, seed: 1 },
  );
  t.is(most, WHOLE, 'the histories reach the whole');
});

test('late first report of a dead life: does not free the shares of the next one', (t) => {
  const ledger = new ShareLedger(makeLimits(), new Map(), START);
  const [host, to] = ['p0' as HostId, '10.0.0.1:7000' as Address];
  const now = addMs(START, 10_000);
  const proxy = new LooseProxy(0, now);
  const late = proxy.buildReport(to, 0, now);
  proxy.restart(now);
  const report = proxy.buildReport(to, 5_000, now);
  t.true(ledger.addReport(host, report, now));
  const [granted] = ledger.decideGrant(host, report.life, now).shares;
  t.true((granted?.[1] ?? 0) > 0);
  t.true(ledger.addReport(host, late, now));
  t.deepEqual(ledger.decideGrant(host, late.life, now).shares, []);
  t.is(ledger.findAccount(name)?.counted, granted?.[1], 'still counted');
});
