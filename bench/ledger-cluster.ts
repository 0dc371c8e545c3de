/** Ledger hosts as processes, and a client of them in this process, for measurements. */
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

/** One ledger host. */
export interface LedgerHost {
  readonly name: string;
  readonly settings: string;
  process: MeshProcess;
}

/** Processor time and memory of a process. */
export interface ProcessUse {
  readonly cpuMs: number;
  readonly residentMb: number;
}

/** A ledger of 1, 3 or 5 hosts, and a client. All claims go to one group, so to one log. */
export class LedgerCluster {
  readonly mesh = new Mesh();
  readonly hosts: LedgerHost[] = [];
  readonly #clock = new SystemClock();
  readonly #waiting = new Map<RequestId, (answer: LedgerAnswer) => void>();
  readonly #links: LinkTask;
  readonly #client: LedgerClientTask;
  #claims = 0;

  private constructor(control: string, ledgers: readonly string[]) {
    this.#links = new LinkTask({
      host: 'bench' as HostId,
      control: control as Address,
      bind: control as Address,
      clock: this.#clock,
      random: new SeededRandom(1),
      reportFailure: fail,
      notify: (event) => {
        const reply = readLedgerReply(event, (from) => {
          throw new Error(`${from} sent what is no message of a ledger`);
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
      reportFailure: fail,
      postLink: (command) => {
        this.#links.post(command);
      },
      answer: (answer) => {
        this.#waiting.get(answer.id)?.(answer);
        this.#waiting.delete(answer.id);
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

  /** Claims a fresh key. */
  async claim(): Promise<LedgerAnswer['kind']> {
    const { id, key } = this.#formKey();
    const now = this.#clock.read();
    const answer = new Promise<LedgerAnswer>((resolve) => this.#waiting.set(id, resolve));
    const digest = key as string as Digest;
    const [deadline, forgetAt] = [addMs(now, 10_000), addMs(now, 86_400_000)];
    const request = { kind: 'claim', id, key, digest, deadline, forgetAt } as const;
    this.#client.post({ kind: 'request', request });
    return (await answer).kind;
  }

  /** Starts a killed host again. */
  restart(host: LedgerHost): void {
    host.process = this.mesh.startNode(host.name, host.settings);
  }

  /** Finds the host that leads the measured group. */
  findLeader(): LedgerHost | undefined {
    return this.hosts.find(({ process }) => {
      const lines = process.output().split('\n');
      const last = lines.findLast((line) => line.includes('"group":"ledger-0"'));
      return process.child.signalCode === null && last?.includes('"role":"leader"');
    });
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    await this.#client.stop();
    await this.#links.stop();
    await this.mesh.stop();
  }

  // Internals.

  #startHost(index: number, control: string, controls: readonly string[]): void {
    const name = `ledger-${index}`;
    this.mesh.makeFolder(`${name}-data`);
    const settings = `host = "${name}"
region = "hu-central"
data_centre = "a"
roles = ["ledger"]
control = "${control}"
data_folder = "${name}-data"

[ledger]
replicas = ${JSON.stringify(controls)}
`;
    this.hosts.push({ name, settings, process: this.mesh.startNode(name, settings) });
  }

  #formKey(): { id: RequestId; key: IdempotencyKey } {
    for (;;) {
      this.#claims += 1;
      const key = `${this.#claims}`.padStart(KEY_LENGTH, 'k') as IdempotencyKey;
      if (findGroup(key) === 0) return { id: `claim-${this.#claims}` as RequestId, key };
    }
  }
}

/** Reads what a process has used so far. */
export function readUse({ process }: LedgerHost): ProcessUse {
  const pid = process.child.pid ?? 0;
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  const ticks = Number(stat[USER_TICKS] ?? 0) + Number(stat[SYSTEM_TICKS] ?? 0);
  return { cpuMs: ticks * TICK_MS, residentMb: residentKb / 1_024 };
}

// Internals.

const KEY_LENGTH = 64;
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;
const TICK_MS = 10;

function fail(task: string, error: unknown): void {
  throw new Error(`${task} failed`, { cause: error });
}
