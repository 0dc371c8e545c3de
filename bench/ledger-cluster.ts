/** Runs ledger hosts as processes with a client in this process, for benchmarks. */
import { readFileSync } from 'node:fs';
import { SystemClock } from '../src/clock.js';
import { addMs } from '../src/clock.js';
import { LinkTask } from '../src/edge/index.js';
import type { Address, Digest, HostId, IdempotencyKey, RequestId } from '../src/ids.js';
import { findGroup } from '../src/ledger/index.js';
import type { LedgerAnswer } from '../src/messages/index.js';
import type { LedgerClientTask } from '../src/program/ledger-client.js';
import { createLedgerClient, readLedgerReply } from '../src/program/ledger-client.js';
import { SeededRandom } from '../src/random.js';
import type { MeshProcess } from './mesh.js';
import { findFreeAddress, Mesh, waitFor } from './mesh.js';

/** A ledger host. */
export interface LedgerHost {
  readonly name: string;
  readonly settings: string;
  process: MeshProcess;
}

/** Processor time and resident memory of a process. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentMb: number;
}

/**
 * A ledger of 1, 3 or 5 hosts, and a client. All claims use keys of one group, so they go to one
 * replicated log.
 */
export class LedgerCluster {
  readonly mesh = new Mesh();
  readonly hosts: LedgerHost[] = [];
  readonly #clock = new SystemClock();
  readonly #pendingClaims = new Map<RequestId, (answer: LedgerAnswer) => void>();
  readonly #links: LinkTask;
  readonly #client: LedgerClientTask;
  #claimCount = 0;

  private constructor(control: string, ledgers: readonly string[]) {
    this.#links = new LinkTask({
      host: 'bench' as HostId,
      control: control as Address,
      bind: control as Address,
      clock: this.#clock,
      random: new SeededRandom(1),
      reportFailure: throwFailure,
      notify: (event) => {
        const reply = readLedgerReply(event, (from) => {
          throw new Error(`${from} sent a message that is not a ledger reply`);
        });
        if (reply !== undefined) this.#client.post(reply);
      },
      notifyRejected: (_, reason) => {
        throw new Error(reason);
      },
    });
    this.#client = createLedgerClient({
      ledgers: ledgers as readonly Address[],
      clock: this.#clock,
      reportFailure: throwFailure,
      postLink: (command) => {
        this.#links.post(command);
      },
      answer: (answer) => {
        this.#pendingClaims.get(answer.id)?.(answer);
        this.#pendingClaims.delete(answer.id);
      },
    });
  }

  /** Starts the hosts and waits until a claim is granted. */
  static async start(replicas: number): Promise<LedgerCluster> {
    const controls: string[] = [];
    for (let index = 0; index < replicas; index += 1) controls.push(await findFreeAddress());
    const cluster = new LedgerCluster(await findFreeAddress(), controls);
    for (const [index, control] of controls.entries()) cluster.#startHost(index, control, controls);
    await cluster.#links.start();
    await cluster.#client.start();
    await waitFor(
      'the first grant',
      async () => (await cluster.claim()) === 'granted' || undefined,
    );
    return cluster;
  }

  /** Claims an unused key and returns the kind of the answer. */
  async claim(): Promise<LedgerAnswer['kind']> {
    const { id, key } = this.#buildKey();
    const now = this.#clock.read();
    const answer = new Promise<LedgerAnswer>((resolve) => this.#pendingClaims.set(id, resolve));
    const digest = key as string as Digest;
    const [deadline, forgetAt] = [addMs(now, 10_000), addMs(now, 86_400_000)];
    const request = { kind: 'claim', id, key, digest, deadline, forgetAt } as const;
    this.#client.post({ kind: 'request', request });
    return (await answer).kind;
  }

  /** Restarts a killed host. */
  restart(host: LedgerHost): void {
    host.process = this.mesh.startProgram(host.name, host.settings);
  }

  /** Finds the running host that, by its log, leads the measured group. */
  findLeader(): LedgerHost | undefined {
    return this.hosts.find(({ process }) => {
      const lines = process.output().split('\n');
      const last = lines.findLast((line) => line.includes('"group":"ledger-0"'));
      return process.child.signalCode === null && last?.includes('"role":"leader"');
    });
  }

  /** Stops the client and every process. */
  async stop(): Promise<void> {
    await this.#client.stop();
    await this.#links.stop();
    await this.mesh.stop();
  }

  // Internals.

  #startHost(index: number, control: string, controls: readonly string[]): void {
    const name = `ledger-${index}`;
    this.mesh.createFolder(`${name}-data`);
    const settings = `host = "${name}"
region = "hu-central"
data_centre = "a"
roles = ["ledger"]
control = "${control}"
data_folder = "${name}-data"

[ledger]
replicas = ${JSON.stringify(controls)}
`;
    this.hosts.push({ name, settings, process: this.mesh.startProgram(name, settings) });
  }

  #buildKey(): { id: RequestId; key: IdempotencyKey } {
    for (;;) {
      this.#claimCount += 1;
      const key = `${this.#claimCount}`.padStart(KEY_LENGTH, 'k') as IdempotencyKey;
      if (findGroup(key) === 0) return { id: `claim-${this.#claimCount}` as RequestId, key };
    }
  }
}

/** Reads the processor time and memory of a process from `/proc`. */
export function readUsage({ process }: LedgerHost): ProcessUsage {
  const pid = process.child.pid ?? 0;
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  const ticks = Number(stat[USER_TICKS_FIELD] ?? 0) + Number(stat[SYSTEM_TICKS_FIELD] ?? 0);
  return { cpuMs: ticks * CLOCK_TICK_MS, residentMb: residentKb / 1_024 };
}

// Internals.

const KEY_LENGTH = 64;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const CLOCK_TICK_MS = 10;

function throwFailure(task: string, error: unknown): void {
  throw new Error(`${task} failed`, { cause: error });
}
