/** What happens to the processes of a soak, in series that overlap. */
import { setTimeout as wait } from 'node:timers/promises';
import type { Random } from '../src/random.js';
import { killProcess, stopProcess } from './mesh.js';
import { formExtraRouteNote } from './mesh-notes.js';
import type { ProxyHost, RunningMesh } from './mesh-plan.js';

/** One thing that happens, by name. */
export interface SoakAction {
  readonly name: string;
  readonly run: () => Promise<void>;
}

/**
 * Chooses what happens next.
 *
 * Override {@link SoakActions.list} to vary which things may happen. A process that is already on its way
 * down or up is left alone meanwhile.
 */
export abstract class SoakActions {
  protected readonly running: RunningMesh;
  protected readonly random: Random;
  readonly #busy = new Set<string>();
  #lastNote = 1;

  constructor(running: RunningMesh, random: Random) {
    this.running = running;
    this.random = random;
  }

  /** Picks the next action. */
  pick(): SoakAction {
    return this.random.pick(this.list());
  }

  /** Lists what may happen. */
  protected abstract list(): readonly SoakAction[];

  /** Runs an action on a proxy that no other action has in hand. */
  protected async useProxy(action: (proxy: ProxyHost) => Promise<void>): Promise<void> {
    const free = this.running.proxies.filter(({ name }) => !this.#busy.has(name));
    if (free.length <= this.running.proxies.length / 2) return;
    const proxy = this.random.pick(free);
    this.#busy.add(proxy.name);
    await action(proxy);
    this.#busy.delete(proxy.name);
  }

  /** Stops a proxy as planned; it is killed at the end of the grace time. */
  protected async restartProxy(proxy: ProxyHost): Promise<void> {
    await stopProcess(proxy.process, SOAK_GRACE_MS);
    await this.running.restartProxy(proxy);
  }

  /** Submits a note that adds a route. */
  protected async changeConfiguration(): Promise<void> {
    this.#lastNote += 1;
    const body = formExtraRouteNote(this.#lastNote);
    await this.running.createClient().send({ method: 'POST', path: '/notes', body });
  }
}

/** Planned work alone: stops, restarts, reloads, changes and backend servers that leave. */
export class PlannedActions extends SoakActions {
  protected override list(): readonly SoakAction[] {
    return [
      { name: 'a proxy is stopped', run: () => this.useProxy((one) => this.restartProxy(one)) },
      { name: 'a proxy is stopped twice', run: () => this.useProxy((one) => this.#repeat(one)) },
      { name: 'a backend server leaves', run: () => this.useProxy((one) => this.#release(one)) },
      { name: 'a proxy reloads', run: () => this.useProxy((one) => this.#reload(one)) },
      { name: 'the configuration changes', run: () => this.changeConfiguration() },
    ];
  }

  // Internals.

  async #repeat(proxy: ProxyHost): Promise<void> {
    await this.restartProxy(proxy);
    await this.restartProxy(proxy);
  }

  async #release(proxy: ProxyHost): Promise<void> {
    await stopProcess(proxy.server);
    await this.restartProxy(proxy);
    this.running.restartServer(proxy);
  }

  async #reload({ process }: ProxyHost): Promise<void> {
    process.child.kill('SIGHUP');
    await wait(RELOAD_MS);
  }
}

/** Planned work among kills, freezes and cuts. */
export class MixedActions extends PlannedActions {
  protected override list(): readonly SoakAction[] {
    const { running } = this;
    return [
      ...super.list(),
      { name: 'a proxy is killed', run: () => this.useProxy((one) => this.#kill(one)) },
      { name: 'a proxy freezes', run: () => this.useProxy((one) => this.#freeze(one)) },
      { name: 'a proxy is cut off', run: () => this.useProxy(({ name }) => this.#cut(name)) },
      { name: 'a source is cut off', run: () => this.#cut(this.random.pick(running.sources).name) },
    ];
  }

  // Internals.

  async #kill(proxy: ProxyHost): Promise<void> {
    await killProcess(proxy.process);
    await this.running.restartProxy(proxy);
  }

  async #freeze({ process }: ProxyHost): Promise<void> {
    process.child.kill('SIGSTOP');
    await wait(FREEZE_MS);
    process.child.kill('SIGCONT');
  }

  async #cut(name: string): Promise<void> {
    this.running.cutOff(name);
    await wait(CUT_MS);
    this.running.mend(name);
  }
}

/** The time from a signal to the kill. */
export const SOAK_GRACE_MS = 3_000;

// Internals.

const RELOAD_MS = 200;
const FREEZE_MS = 1_500;
const CUT_MS = 2_000;
