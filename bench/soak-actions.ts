/** Actions on the processes of a soak run; several run at the same time. */
import { setTimeout as wait } from 'node:timers/promises';
import type { Random } from '../src/random.js';
import { killProcess, stopProcess, waitFor } from './mesh.js';
import { buildExtraRouteNote } from './mesh-notes.js';
import type { ProxyHost, RunningMesh } from './mesh-plan.js';

/** A named action. */
export interface SoakAction {
  readonly name: string;
  readonly run: () => Promise<void>;
}

/**
 * Picks the actions of a soak run.
 *
 * Override {@link SoakActions.list} to define the possible actions. A proxy that is the target of a running
 * action is not picked again until that action ends.
 */
export abstract class SoakActions {
  protected readonly running: RunningMesh;
  protected readonly random: Random;
  readonly #busyProxies = new Set<string>();
  #lastNoteNumber = 1;

  constructor(running: RunningMesh, random: Random) {
    this.running = running;
    this.random = random;
  }

  /** Picks the next action; `random` is used for nothing else, so that a seed always picks the same actions. */
  pick(random: Random): SoakAction {
    return random.pick(this.list());
  }

  /** Lists the possible actions. */
  protected abstract list(): readonly SoakAction[];

  /**
   * Runs an action on a random proxy without a running action; does nothing if at least half of the
   * proxies have one.
   */
  protected async runOnFreeProxy(action: (proxy: ProxyHost) => Promise<void>): Promise<void> {
    const free = this.#listFree();
    if (free.length === 0) return;
    const proxy = this.random.pick(free);
    await this.runOnProxy(proxy, () => action(proxy));
  }

  /** Runs an action on a random free proxy, as soon as more than half of the proxies are free. */
  protected async runOnNextFreeProxy(action: (proxy: ProxyHost) => Promise<void>): Promise<void> {
    const hasFree = () => this.#listFree().length > 0 || undefined;
    await waitFor('more than half of the proxies to be free', hasFree, FREE_TIMEOUT_MS);
    await this.runOnFreeProxy(action);
  }

  /** Runs an action on a proxy, unless another one is running on it. */
  protected async runOnProxy({ name }: ProxyHost, action: () => Promise<void>): Promise<void> {
    if (this.#busyProxies.has(name)) return;
    this.#busyProxies.add(name);
    await action();
    this.#busyProxies.delete(name);
  }

  /** Restarts a proxy by a planned stop; kills it if it has not ended after {@link SOAK_GRACE_MS}. */
  protected async restartProxy(proxy: ProxyHost): Promise<void> {
    await stopProcess(proxy.process, SOAK_GRACE_MS);
    await this.running.restartProxy(proxy);
  }

  /** Submits a note that adds a route. */
  protected async changeConfiguration(): Promise<void> {
    this.#lastNoteNumber += 1;
    const body = buildExtraRouteNote(this.#lastNoteNumber);
    await this.running.createClient().send({ method: 'POST', path: '/notes', body });
  }

  // Internals.

  /** Lists the proxies on which an action may run; none while half of all are taken. */
  #listFree(): readonly ProxyHost[] {
    const { proxies } = this.running;
    const free = proxies.filter(({ name }) => !this.#busyProxies.has(name));
    return free.length <= proxies.length / 2 ? [] : free;
  }
}

/** Planned actions only: restarts, reloads, configuration changes and departures of backend servers. */
export class PlannedActions extends SoakActions {
  protected override list(): readonly SoakAction[] {
    return [
      {
        name: 'a proxy is stopped',
        run: () => this.runOnFreeProxy((proxy) => this.restartProxy(proxy)),
      },
      {
        name: 'a proxy is stopped twice',
        run: () => this.runOnFreeProxy((proxy) => this.#restartTwice(proxy)),
      },
      {
        name: 'a backend server leaves',
        run: () => this.runOnFreeProxy((proxy) => this.#restartWithServer(proxy)),
      },
      { name: 'a proxy reloads', run: () => this.runOnFreeProxy((proxy) => this.#reload(proxy)) },
      { name: 'the configuration changes', run: () => this.changeConfiguration() },
    ];
  }

  // Internals.

  async #restartTwice(proxy: ProxyHost): Promise<void> {
    await this.restartProxy(proxy);
    await this.restartProxy(proxy);
  }

  async #restartWithServer(proxy: ProxyHost): Promise<void> {
    await stopProcess(proxy.server);
    await this.restartProxy(proxy);
    this.running.restartServer(proxy);
  }

  async #reload({ process }: ProxyHost): Promise<void> {
    process.child.kill('SIGHUP');
    await wait(RELOAD_MS);
  }
}

/** Planned actions mixed with faults: kills, freezes and network partitions. */
export class MixedActions extends PlannedActions {
  protected override list(): readonly SoakAction[] {
    const { running } = this;
    return [
      ...super.list(),
      { name: 'a proxy is killed', run: () => this.runOnFreeProxy((proxy) => this.#kill(proxy)) },
      { name: 'a proxy freezes', run: () => this.runOnFreeProxy((proxy) => this.#freeze(proxy)) },
      {
        name: 'a proxy is cut off',
        run: () => this.runOnFreeProxy(({ name }) => this.#isolate(name)),
      },
      {
        name: 'a source is cut off',
        run: () => this.#isolate(this.random.pick(running.sources).name),
      },
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

  async #isolate(name: string): Promise<void> {
    this.running.isolate(name);
    await wait(PARTITION_MS);
    this.running.reconnect(name);
  }
}

/** The time from SIGTERM to SIGKILL. */
export const SOAK_GRACE_MS = 3_000;

// Internals.

const RELOAD_MS = 200;
const FREE_TIMEOUT_MS = 30_000;
const FREEZE_MS = 1_500;
const PARTITION_MS = 2_000;
