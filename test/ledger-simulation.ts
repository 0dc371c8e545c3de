/** Callers who claim a few keys at once, through several clients, over a cluster that is disturbed. */
import { addMs, NEVER } from '../src/clock.js';
import type { Address, Digest, IdempotencyKey, Instant, RequestId } from '../src/ids.js';
import type {
  LedgerClientIn,
  LedgerClientOut,
  LedgerOut,
  LedgerState,
} from '../src/ledger/index.js';
import { LedgerClientFilter, LedgerFilter } from '../src/ledger/index.js';
import type { LedgerAnswer, LedgerAsk, LedgerCommand, LedgerReply } from '../src/messages/index.js';
import type { ClusterNode } from './log-cluster.js';
import { LogCluster } from './log-cluster.js';
import { checkRest, takeStep } from './log-fault-injector.js';

const CLIENTS = 3;
const KEYS = 4;
const TIMEOUT_MS = 3_000;

type Packet =
  | { readonly kind: 'ask'; readonly client: number; readonly to: Address; readonly ask: LedgerAsk }
  | {
      readonly kind: 'reply';
      readonly client: number;
      readonly from: Address;
      readonly reply: LedgerReply;
    };

/** One attempt to run a call. */
interface Attempt {
  readonly id: RequestId;
  readonly key: IdempotencyKey;
  readonly client: number;
  stage: 'asked' | 'refused' | 'running' | 'ran' | 'released';
}

/** Runs claims over a cluster, and throws when a key might run twice. */
export class LedgerRun {
  readonly cluster: LogCluster;
  /** How often each kind of answer was given. */
  readonly answers = new Map<LedgerAnswer['kind'], number>();
  readonly #filter = new LedgerFilter();
  readonly #ledgers = new Map<ClusterNode, LedgerState>();
  readonly #clients;
  readonly #attempts = new Map<RequestId, Attempt>();
  #packets: Packet[] = [];

  constructor(seed: number, snapshotEvery: number) {
    this.cluster = new LogCluster({
      seed,
      replicas: 3,
      snapshotEvery,
      maxClockOffsetMs: 200,
      notify: (node, notice) => {
        if (notice.kind === 'committed' && !notice.command.startsWith('{')) return;
        const parsed =
          notice.kind === 'committed'
            ? { ...notice, command: JSON.parse(notice.command) as LedgerCommand }
            : notice;
        this.#tellLedger(node, { kind: 'log', notice: parsed });
      },
      restore: (node, commands) => {
        this.#restore(node, commands);
      },
    });
    const hosts = this.cluster.nodes.map(({ address }) => address);
    this.#clients = Array.from({ length: CLIENTS }, () => {
      const filter = new LedgerClientFilter(hosts);
      return { filter, state: filter.createState(), wakeAt: NEVER };
    });
  }

  /** Takes random steps, then brings everything to rest and asks for each key once more. */
  run(steps = 1_500): void {
    this.cluster.settle(() => this.cluster.leader !== undefined);
    for (let step = 0; step < steps; step += 1) this.#takeStep();
    checkRest(this.cluster);
    for (let key = 0; key < KEYS; key += 1) this.#claim(0, key);
    this.cluster.settle(() => {
      this.#deliver(this.#packets.length);
      this.#wakeClients();
      return [...this.#attempts.values()].every(({ stage }) => stage !== 'asked');
    });
  }

  // Internals.

  #takeStep(): void {
    const { random } = this.cluster;
    const choice = random.next();
    if (choice < 0.6) takeStep(this.cluster);
    else if (choice < 0.65) this.#claim(random.nextInt(CLIENTS), random.nextInt(KEYS));
    else if (choice < 0.7) this.#endAttempt();
    else this.#deliver(1 + random.nextInt(4), 0.05, 0.1);
    this.#wakeClients();
  }

  #claim(client: number, number: number): void {
    const id = `attempt-${this.#attempts.size}` as RequestId;
    const key = `key-${number}` as IdempotencyKey;
    this.#attempts.set(id, { id, key, client, stage: 'asked' });
    const digest = 'digest' as Digest;
    const deadline = addMs(this.cluster.now, TIMEOUT_MS);
    const forgetAt = addMs(this.cluster.now, 1e9);
    const request = { kind: 'claim', id, key, digest, deadline, forgetAt } as const;
    this.#tellClient(client, { kind: 'request', request });
  }

  /** Ends a running attempt: settled, given back, or forgotten by a proxy that died. */
  #endAttempt(): void {
    const running = [...this.#attempts.values()].filter(({ stage }) => stage === 'running');
    if (running.length === 0) return;
    const attempt = this.cluster.random.pick(running);
    const { id, key, client } = attempt;
    const choice = this.cluster.random.next();
    attempt.stage = choice < 0.5 ? 'released' : 'ran';
    if (choice < 0.5)
      this.#tellClient(client, { kind: 'request', request: { kind: 'release', id, key } });
    else if (choice < 0.8) {
      const answer = { status: 200, headers: [id], body: new Uint8Array() };
      this.#tellClient(client, { kind: 'request', request: { kind: 'settle', id, key, answer } });
    }
  }

  #handleAnswer(client: number, answer: LedgerAnswer): void {
    this.answers.set(answer.kind, (this.answers.get(answer.kind) ?? 0) + 1);
    const attempt = this.#attempts.get(answer.id);
    if (attempt === undefined || answer.kind === 'recorded') return;
    if (answer.kind === 'answered') this.#checkStored(attempt, answer.answer.headers[0]);
    if (attempt.stage !== 'asked') {
      if (answer.kind !== 'unavailable')
        throw new Error(`${answer.kind} for ${answer.id} came late`);
      return;
    }
    attempt.stage = answer.kind === 'granted' ? 'running' : 'refused';
    if (answer.kind === 'granted') this.#checkGrant(attempt);
    if (client !== attempt.client) throw new Error('an answer reached another client');
  }

  #checkGrant(granted: Attempt): void {
    for (const { id, key, stage } of this.#attempts.values()) {
      if (id === granted.id || key !== granted.key) continue;
      if (stage === 'running' || stage === 'ran')
        throw new Error(`${id} and ${granted.id} both run`);
    }
  }

  #checkStored({ key }: Attempt, from: string | undefined): void {
    const source = this.#attempts.get((from ?? '') as RequestId);
    if (source?.key !== key || source.stage !== 'ran')
      throw new Error('a foreign answer was stored');
  }

  #tellLedger(node: ClusterNode, message: Parameters<LedgerFilter['decide']>[1]): void {
    const state = this.#ledgers.get(node) ?? this.#filter.createState();
    const now = addMs(this.cluster.now, node.clockOffset);
    const step = this.#filter.decide(state, message, now);
    this.#ledgers.set(node, step.state);
    for (const output of step.outputs) this.#obeyLedger(node, output);
  }

  #obeyLedger(node: ClusterNode, output: LedgerOut): void {
    if (output.kind === 'reply') {
      const client = Number(output.to.split(':')[1]);
      this.#packets.push({ kind: 'reply', client, from: node.address, reply: output.reply });
    } else if (output.kind === 'propose' && output.request.kind === 'propose') {
      const { id, command } = output.request;
      this.cluster.propose(node, JSON.stringify(command), id);
    }
  }

  #restore(node: ClusterNode, commands: readonly string[]): void {
    const state = this.#filter.createState();
    for (const command of commands) {
      if (command.startsWith('{')) state.table.apply(JSON.parse(command) as LedgerCommand);
    }
    const former = this.#ledgers.get(node);
    this.#ledgers.set(node, { ...state, proposed: (former?.proposed ?? 0) + 1_000 });
  }

  #tellClient(number: number, message: LedgerClientIn): void {
    const client = this.#clients[number];
    if (client === undefined) return;
    const step = client.filter.decide(client.state, message, this.cluster.now);
    client.state = step.state;
    for (const output of step.outputs) this.#obeyClient(number, output);
  }

  #obeyClient(number: number, output: LedgerClientOut): void {
    const client = this.#clients[number];
    if (output.kind === 'answer') this.#handleAnswer(number, output.answer);
    else if (output.kind === 'ask') this.#packets.push({ ...output, client: number });
    else if (client !== undefined) client.wakeAt = Math.min(client.wakeAt, output.at) as Instant;
  }

  #wakeClients(): void {
    this.#clients.forEach((client, number) => {
      if (client.wakeAt > this.cluster.now) return;
      client.wakeAt = NEVER;
      this.#tellClient(number, { kind: 'tick' });
    });
  }

  #deliver(count: number, loss = 0, duplication = 0): void {
    const { random } = this.cluster;
    for (let left = count; left > 0; left -= 1) {
      const packet = this.#packets[random.nextInt(this.#packets.length)];
      if (packet === undefined) return;
      if (random.next() >= duplication) {
        this.#packets = this.#packets.filter((one) => one !== packet);
      }
      if (random.next() >= loss) this.#handlePacket(packet);
    }
  }

  #handlePacket(packet: Packet): void {
    if (packet.kind === 'reply') {
      this.#tellClient(packet.client, { ...packet, kind: 'reply' });
      return;
    }
    const node = this.cluster.nodes.find(({ address }) => address === packet.to);
    if (node?.running !== true || node.frozen) return;
    const from = `10.0.1.1:${packet.client}` as Address;
    this.#tellLedger(node, { kind: 'ask', from, ask: packet.ask });
  }
}
