/** Several proxies within the test process, on real sockets, with a stand-in beside each. */
import { findFreeAddress } from '../bench/mesh.js';
import type { CallObserver } from '../src/calls/index.js';
import type { Clock } from '../src/clock.js';
import { SystemClock } from '../src/clock.js';
import type { CallFront, CallNotice } from '../src/edge/index.js';
import { CallTask } from '../src/edge/index.js';
import type {
  Address,
  CallerId,
  DataCentreId,
  HostId,
  IdempotencyKey,
  RegionId,
} from '../src/ids.js';
import type {
  Announcement,
  LedgerAnswer,
  LedgerRequest,
  Member,
  StoredAnswer,
} from '../src/messages/index.js';
import type { Whole } from '../src/notes/index.js';
import { SeededRandom } from '../src/random.js';
import { makeMember, makeServer } from './call-resources.js';
import type { Answer } from './test-server.js';
import { StandIn } from './test-server.js';

/** A ledger in memory; a test can take it out of service. */
export class FakeLedger {
  isOut = false;
  readonly claims = new Map<IdempotencyKey, StoredAnswer | 'in-progress' | 'may-have-run'>();

  answer(request: LedgerRequest): LedgerAnswer {
    const { id, key } = request;
    if (this.isOut) return { kind: 'unavailable', id };
    if (request.kind === 'settle') this.claims.set(key, request.answer);
    if (request.kind === 'release') this.claims.delete(key);
    if (request.kind !== 'claim') return { kind: 'recorded', id };
    const known = this.claims.get(key);
    if (known === undefined) {
      this.claims.set(key, 'in-progress');
      return { kind: 'granted', id };
    }
    if (known === 'may-have-run') return { kind: 'may-have-run', id };
    if (known === 'in-progress') return { kind: 'in-progress', id, until: request.deadline };
    return { kind: 'answered', id, answer: known };
  }
}

/** One proxy, and the stand-in beside it if it has one. */
export interface CallNode {
  readonly task: CallTask;
  readonly calls: Address;
  readonly member: Member;
  readonly server: StandIn | undefined;
}

/** What a mesh is made of. */
export interface CallMeshOptions {
  readonly whole: Whole;
  /** One stand-in per proxy; `undefined` for a proxy with no backend server. */
  readonly answers: readonly (Answer | undefined)[];
  readonly server?: Partial<Announcement>;
  readonly observer?: CallObserver;
  readonly front?: CallFront;
  readonly caller?: CallerId;
  /** Where the proxy takes calls of other proxies as well; for a mesh of one. */
  readonly secondAddress?: Address;
  /** What the link of each host is said to carry. */
  readonly linkBytesPerSecond?: number;
  readonly clock?: Clock;
}

/** Owns the proxies and stand-ins of one test. */
export class CallMesh {
  readonly nodes: CallNode[] = [];
  readonly ledger = new FakeLedger();
  readonly notices: CallNotice[] = [];

  /** Starts every proxy and tells each one of all the others. */
  static async start(options: CallMeshOptions): Promise<CallMesh> {
    const mesh = new CallMesh();
    for (const [index, answer] of options.answers.entries()) {
      await mesh.#add(`host-${index}`, answer, options);
    }
    mesh.announce();
    return mesh;
  }

  /** Tells every proxy of every other one. */
  announce(): void {
    for (const { task } of this.nodes) {
      for (const { member } of this.nodes) task.post({ kind: 'member-up', member });
    }
  }

  /** Stops every proxy and kills every stand-in. */
  async stop(): Promise<void> {
    for (const { server } of this.nodes) server?.kill();
    await Promise.all(this.nodes.map(({ task }) => task.stop()));
  }

  /** The proxy and stand-in at a place of the list. */
  at(index: number): CallNode {
    const node = this.nodes[index];
    if (node === undefined) throw new Error(`the mesh has no proxy ${index}`);
    return node;
  }

  /** The stand-in beside a proxy. */
  serverAt(index: number): StandIn {
    const { server } = this.at(index);
    if (server === undefined) throw new Error(`proxy ${index} has no stand-in`);
    return server;
  }

  // Internals.

  async #add(host: string, answer: Answer | undefined, options: CallMeshOptions): Promise<void> {
    const calls = (await findFreeAddress()) as Address;
    const server = answer && new StandIn(answer);
    const address = await server?.listen();
    const servers = address === undefined ? [] : [makeServer(address, options.server)];
    const member = makeMember(host, servers, { calls });
    const task: CallTask = new CallTask({
      address: calls,
      secondAddress: options.secondAddress,
      place: {
        host: host as HostId,
        dataCentre: 'a' as DataCentreId,
        region: 'hu-central' as RegionId,
      },
      pass: member.pass,
      clock: options.clock ?? new SystemClock(),
      random: new SeededRandom(this.nodes.length),
      reportFailure: (name, error) => {
        throw new Error(`${name} failed`, { cause: error });
      },
      send: (notice) => {
        this.#route(task, notice);
      },
      ...(options.observer && { observer: options.observer }),
      ...(options.front && { front: options.front }),
      caller: options.caller,
      linkBytesPerSecond: options.linkBytesPerSecond,
    });
    await task.start();
    task.post({ kind: 'whole', whole: options.whole });
    this.nodes.push({ task, calls, member, server });
  }

  #route(task: CallTask, notice: CallNotice): void {
    this.notices.push(notice);
    if (notice.kind === 'ledger') {
      const answer = this.ledger.answer(notice.request);
      setImmediate(() => {
        task.post({ kind: 'ledger-answer', answer });
      });
    }
    if (notice.kind !== 'broadcast') return;
    for (const node of this.nodes) {
      if (node.task !== task) node.task.post(notice);
    }
  }
}
