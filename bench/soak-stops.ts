/** Planned stops in series: of several proxies, beside versions, reloads, paused sources and leaving servers. */
import { setTimeout as wait } from 'node:timers/promises';
import { stopProcess } from './mesh.js';
import type { ProxyHost } from './mesh-plan.js';
import type { StopRecord } from './readiness-watch.js';
import type { SoakAction } from './soak-actions.js';
import { SOAK_GRACE_MS, SoakActions } from './soak-actions.js';

/** Actions around planned stops; a proxy may be told to stop while it starts. */
export class StopActions extends SoakActions {
  /** The processes that were told to stop. */
  readonly stops: StopRecord[] = [];

  protected override list(): readonly SoakAction[] {
    return [
      { name: 'two proxies stop beside versions', run: () => this.#stopTwo() },
      { name: 'the proxies of a data centre stop', run: () => this.#stopDataCentre() },
      {
        name: 'a proxy stops while it starts',
        run: () => this.runOnFreeProxy((proxy) => this.#stopTwice(proxy)),
      },
      {
        name: 'a proxy reloads and stops',
        run: () => this.runOnFreeProxy((proxy) => this.#stopAfterReload(proxy)),
      },
      {
        name: 'a server leaves',
        run: () => this.runOnNextFreeProxy((proxy) => this.#stopServer(proxy)),
      },
      {
        name: 'a server leaves, its proxy restarts',
        run: () =>
          this.runOnFreeProxy(async (proxy) => {
            await Promise.all([this.#stopServer(proxy), this.#stopSoon(proxy)]);
          }),
      },
      { name: 'the sources pause beside versions', run: () => this.#runPause() },
    ];
  }

  // Internals.

  async #stopTwo(): Promise<void> {
    const stop = (): Promise<void> => this.runOnFreeProxy((proxy) => this.#stop(proxy));
    await Promise.all([this.#sendVersions(), stop(), stop()]);
  }

  async #stopDataCentre(): Promise<void> {
    const { length } = this.running.plan.dataCentres;
    const members = this.running.proxies.filter((_proxy, index) => index % length === 0);
    await Promise.all([
      this.#sendVersions(),
      ...members.map((proxy) => this.runOnProxy(proxy, () => this.#stop(proxy))),
    ]);
  }

  async #stopTwice(proxy: ProxyHost): Promise<void> {
    await this.#sendSignal(proxy);
    this.running.startProxyAgain(proxy);
    await wait(this.random.next() * MAX_START_MS);
    await this.#stop(proxy);
  }

  async #stopAfterReload(proxy: ProxyHost): Promise<void> {
    proxy.process.child.kill('SIGHUP');
    await Promise.all([this.#sendVersions(), this.#stop(proxy)]);
  }

  async #stopServer(proxy: ProxyHost): Promise<void> {
    await stopProcess(proxy.server);
    this.running.restartServer(proxy);
  }

  async #stopSoon(proxy: ProxyHost): Promise<void> {
    await wait(this.random.next() * MAX_LEAVE_LEAD_MS);
    await this.#stop(proxy);
  }

  async #runPause(): Promise<void> {
    const change = this.#sendVersions();
    const children = this.running.sources.map(({ process }) => process.child);
    for (const child of children) child.kill('SIGSTOP');
    await wait(PAUSE_MS);
    for (const child of children) child.kill('SIGCONT');
    await change;
  }

  async #sendVersions(): Promise<void> {
    const changes: Promise<void>[] = [];
    for (let count = 0; count < CHANGES; count += 1) {
      changes.push(this.changeConfiguration());
      await wait(CHANGE_GAP_MS);
    }
    await Promise.all(changes);
  }

  async #stop(proxy: ProxyHost): Promise<void> {
    await this.#sendSignal(proxy);
    await this.running.restartProxy(proxy);
  }

  async #sendSignal({ process }: ProxyHost): Promise<void> {
    this.stops.push({ process, signalledAt: Date.now() });
    await stopProcess(process, SOAK_GRACE_MS);
  }
}

// Internals.

const CHANGES = 5;
const CHANGE_GAP_MS = 150;
const MAX_START_MS = 1_000;
const MAX_LEAVE_LEAD_MS = 1_000;
const PAUSE_MS = 1_500;
