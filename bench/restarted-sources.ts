/** Five source hosts as real processes that are killed, lose their disks, and start with any seeds. */
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import type { Address } from '../src/ids.js';
import { OperatorClient } from '../src/program/commands/operator-client.js';
import type { MeshProcess } from './mesh.js';
import { findFreeAddress, killProcess, Mesh, waitFor } from './mesh.js';
import { buildExtraRouteNote, buildKindsNote, NAPERNYO_KINDS } from './mesh-notes.js';

/** A source host. */
export interface RestartedSource {
  readonly name: string;
  readonly control: string;
  readonly operator: string;
  readonly status: string;
  process: MeshProcess | undefined;
}

/** Starts and stops the sources of one mesh. */
export class RestartedSources {
  readonly mesh = new Mesh();
  readonly sources: RestartedSource[] = [];
  /** The number of the newest acknowledged note, and of its version. */
  acknowledged = 0;

  /** Starts all sources for the first time, and waits for the first note to be accepted. */
  static async start(): Promise<RestartedSources> {
    const running = new RestartedSources();
    for (let index = 0; index < SOURCES; index += 1) {
      const addresses = [await findFreeAddress(), await findFreeAddress(), await findFreeAddress()];
      const [control = '', operator = '', status = ''] = addresses;
      const name = `source-${index}`;
      running.sources.push({ name, control, operator, status, process: undefined });
    }
    running.mesh.writeFile('token', TOKEN);
    const seeds = running.sources.slice(0, FIRST_SEEDS);
    for (const source of running.sources) running.startSource(source, seeds, true);
    await waitFor('the first note', () => running.post());
    return running;
  }

  /** Starts a source that is down. */
  startSource(source: RestartedSource, seeds: readonly RestartedSource[], founds: boolean): void {
    const { name, control, operator, status } = source;
    const settings = `host = "${name}"
region = "hu-central"
data_centre = "hu-a"
roles = ["source"]
control = "${control}"
bind = "${control}"
status = "${status}"
data_folder = "${name}-data"

[source]
operator = "${operator}"
token_file = "token"

[source.growth]
seeds = ${JSON.stringify(seeds.map((seed) => seed.control))}
founds = ${founds}
tolerated_losses = 2
catch_up_seconds = ${CATCH_UP_SECONDS}
`;
    this.mesh.createFolder(`${name}-data`);
    source.process = this.mesh.startProgram(name, settings);
  }

  /** Kills sources at one moment and empties their disks. */
  async loseDisks(sources: readonly RestartedSource[]): Promise<void> {
    await Promise.all(sources.map(({ process }) => killProcess(process)));
    for (const { name } of sources) {
      rmSync(join(this.mesh.folder, `${name}-data`), { recursive: true });
    }
  }

  /** Posts the next note; returns its number once it is acknowledged. */
  async post(): Promise<number | undefined> {
    const number = this.acknowledged + 1;
    const body =
      number === 1 ? buildKindsNote(1, 'old', NAPERNYO_KINDS) : buildExtraRouteNote(number);
    const reply = await this.#createClient().send({ method: 'POST', path: '/notes', body });
    if (reply.kind !== 'answered' || reply.status >= 300) return undefined;
    this.acknowledged = number;
    return number;
  }

  /** Reads the newest version; undefined if no leader answers. */
  async readNewest(): Promise<number | undefined> {
    const reply = await this.#createClient().send({ method: 'GET', path: '/notes?limit=1000' });
    if (reply.kind !== 'answered' || reply.status !== 200) return undefined;
    const { notes } = reply.body as { notes: readonly { receipt: { version: number } }[] };
    return Math.max(0, ...notes.map(({ receipt }) => receipt.version));
  }

  /** Finds the source that logged last that it leads. */
  findLeader(): RestartedSource | undefined {
    return this.sources.find(({ process }) => {
      const lines = process?.output().match(/"log-status".*/g) ?? [];
      return lines.at(-1)?.includes('"role":"leader"') === true;
    });
  }

  // Internals.

  #createClient(): OperatorClient {
    const operators = this.sources.map(({ operator }) => operator as Address);
    return new OperatorClient(operators, TOKEN, REQUEST_MS);
  }
}

// Internals.

/** How long a host counts as lost after its start. */
const CATCH_UP_SECONDS = 4;
const SOURCES = 5;
const FIRST_SEEDS = 3;
const TOKEN = 'mesh-token';
const REQUEST_MS = 1_000;
