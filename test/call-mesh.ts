/** Several proxies in the test process, over real sockets, each with an optional fake backend server. */
import { findFreeAddress } from '../bench/mesh.js';
import type { CallObserver, HedgingOptions } from '../src/calls/index.js';
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
import type { Configuration } from '../src/notes/index.js';
import { SeededRandom } from '../src/random.js';
import { makeMember, makeServer } from './call-resources.js';
import type { RequestHandler } from './test-server.js';
import { TestServer } from './test-server.js';

/** An in-memory ledger; `isUnavailable` makes it unavailable. */
export class FakeLedger {
  isUnavailable = false;
  readonly claims = new Map<IdempotencyKey, StoredAnswer | 'in-progress' | 'may-have-run'>();

  answer(request: LedgerRequest): LedgerAnswer {
    const { id, key } = request;
    if (this.isUnavailable) return { kind: 'unavailable', id };
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

/** A proxy and its fake backend server, if any. */
export interface CallNode {
  readonly task: CallTask;
  readonly calls: Address;
  readonly member: Member;
  readonly server: TestServer | undefined;
}

/** Options of {@link CallMesh}. */
export interface CallMeshOptions {
  readonly configuration: Configuration;
  /** The answer of the backend server of each proxy; undefined for a proxy without one. */
  readonly answers: readonly (RequestHandler | undefined)[];
  readonly server?: Partial<Announcement>;
  readonly observer?: CallObserver;
  readonly front?: CallFront;
  readonly caller?: CallerId;
  /** An additional listen address for calls of other proxies; for a mesh of one proxy. */
  readonly secondAddress?: Address;
  /** The configured bandwidth of the link of each host. */
  readonly linkBytesPerSecond?: number;
  readonly hedging?: HedgingOptions;
  readonly clock?: Clock;
}

/** Owns the proxies and fake backend servers of a test. */
export class CallMesh {
  readonly nodes: CallNode[] = [];
  readonly ledger = new FakeLedger();
  readonly notices: CallNotice[] = [];

  /** Starts all proxies and announces the members to each. */
  static async start(options: CallMeshOptions): Promise<CallMesh> {
    const mesh = new CallMesh();
    for (const [index, answer] of options.answers.entries()) {
      await mesh.#add(`host-${index}`, answer, options);
    }
    mesh.announce();
    return mesh;
  }

  /** Announces all members to every proxy. */
  announce(): void {
    for (const { task } of this.nodes) {
      for (const { member } of this.nodes) task.post({ kind: 'member-up', member });
    }
  }

  /** Kills all backend servers and stops all proxies. */
  async stop(): Promise<void> {
    for (const { server } of this.nodes) server?.kill();
    await Promise.all(this.nodes.map(({ task }) => task.stop()));
  }

  /** Returns the proxy and backend server at an index. */
  at(index: number): CallNode {
    const node = this.nodes[index];
    if (node === undefined) throw new Error(`the mesh has no proxy ${index}`);
    return node;
  }

  /** Returns the backend server of the proxy at an index. */
  serverAt(index: number): TestServer {
    const { server } = this.at(index);
    if (server === undefined) throw new Error(`proxy ${index} has no backend server`);
    return server;
  }

  // Internals.

  async #add(
    host: string,
    answer: RequestHandler | undefined,
    options: CallMeshOptions,
  ): Promise<void> {
    const calls = (await findFreeAddress()) as Address;
    const server = answer && new TestServer(answer);
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
      hedging: options.hedging,
    });
    await task.start();
    task.post({ kind: 'whole', configuration: options.configuration });
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
