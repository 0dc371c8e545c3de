/** Troubles of a version soak: of proxies, of their links, of the sources, and of what they carry. */
import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';
import type { Random } from '../src/random.js';
import { LossyConditions } from './link-network.js';
import { killProcess } from './mesh.js';
import type { ProxyHost, RunningMesh, SourceHost } from './mesh-plan.js';
import type { SoakAction } from './soak-actions.js';
import { SoakActions } from './soak-actions.js';
import type { DisturbanceRecord } from './version-lag.js';
import { CORE } from './version-lag.js';
import type { VersionOperator } from './version-operator.js';

/** What the troubles of a version soak act on, beside the processes. */
export interface VersionActionOptions {
  readonly running: RunningMesh;
  readonly random: Random;
  readonly operator: VersionOperator;
  readonly disturbances: DisturbanceRecord;
  /** Only actions whose name contains one of these texts are picked; all if empty. */
  readonly only: readonly string[];
  /** The longest time for which packets wait at links that answers fill, in milliseconds. */
  readonly queueMs: number;
}

/** Picks troubles; one that acts on a proxy or on the sources is recorded as a disturbance of it. */
export class VersionActions extends SoakActions {
  readonly #operator: VersionOperator;
  readonly #disturbances: DisturbanceRecord;
  readonly #only: readonly string[];
  readonly #queueMs: number;
  #areSourcesBusy = false;

  constructor({ running, random, operator, disturbances, only, queueMs }: VersionActionOptions) {
    super(running, random);
    this.#operator = operator;
    this.#disturbances = disturbances;
    this.#only = only;
    this.#queueMs = queueMs;
  }

  protected override list(): readonly SoakAction[] {
    const actions = [
      ...this.#listProxyActions(),
      ...this.#listLinkActions(),
      ...this.#listSourceActions(),
      ...this.#listLoadActions(),
    ];
    if (this.#only.length === 0) return actions;
    return actions.filter(({ name }) => this.#only.some((text) => name.includes(text)));
  }

  // Internals.

  #listProxyActions(): SoakAction[] {
    return [
      this.#makeShareAction('proxies are killed', async (proxy) => {
        await killProcess(proxy.process);
        await this.#waitUpTo(MAX_DOWN_MS);
        await this.running.restartProxy(proxy);
      }),
      this.#makeShareAction('proxies freeze', async ({ process }) => {
        process.child.kill('SIGSTOP');
        await this.#waitUpTo(MAX_FREEZE_MS);
        process.child.kill('SIGCONT');
      }),
    ];
  }

  #listLinkActions(): SoakAction[] {
    const { running, random } = this;
    return [
      this.#makeShareAction('links are cut', async ({ name }) => {
        running.isolate(name);
        await this.#waitUpTo(MAX_CUT_MS);
        running.reconnect(name);
      }),
      this.#makeShareAction('links stall', async ({ name }) => {
        running.findRelay(name).silence();
        await this.#waitUpTo(MAX_STALL_MS);
        running.findRelay(name).release();
      }),
      this.#makeShareAction('connections go silent', async ({ name }) => {
        const share = random.next();
        running.findRelay(name).silence(() => random.next() < share);
        await this.#waitUpTo(MAX_STALL_MS);
      }),
      this.#makeShareAction('links lose packets', async ({ name }) => {
        const link = running.findLink(name);
        const { conditions } = link;
        link.conditions = new LossyConditions(random, MAX_LOSS_SHARE * random.next());
        await this.#waitUpTo(MAX_LOSS_MS);
        link.conditions = conditions;
      }),
      { name: 'answers fill links', run: () => this.#fillLinks() },
    ];
  }

  #listSourceActions(): SoakAction[] {
    return [
      { name: 'the leader is killed', run: () => this.#runOnSources(() => this.#killLeader()) },
      { name: 'all are killed', run: () => this.#runOnSources(() => this.#killAll()) },
    ];
  }

  #listLoadActions(): SoakAction[] {
    return [
      { name: 'a storm of versions', run: () => this.#sendStorm() },
      { name: 'many routes', run: () => this.#sendRoutes() },
      { name: 'callers beyond capacity', run: () => this.#startCallers() },
    ];
  }

  /** Returns an action on a random share of the proxies; those that another action acts on are left out. */
  #makeShareAction(name: string, act: (proxy: ProxyHost) => Promise<void>): SoakAction {
    const run = async (): Promise<void> => {
      const proxies = this.#pickShare();
      await Promise.all(
        proxies.map((proxy) => this.runOnProxy(proxy, () => this.#disturb(proxy, name, act))),
      );
    };
    return { name, run };
  }

  async #disturb(
    proxy: ProxyHost,
    name: string,
    act: (proxy: ProxyHost) => Promise<void>,
  ): Promise<void> {
    const end = this.#disturbances.start(proxy.name, name);
    await act(proxy);
    end();
  }

  #pickShare(): ProxyHost[] {
    const share = MIN_SHARE + (MAX_SHARE - MIN_SHARE) * this.random.next();
    const ranked = this.running.proxies.map((proxy) => ({ proxy, rank: this.random.next() }));
    ranked.sort((left, right) => left.rank - right.rank);
    return ranked.slice(0, Math.ceil(share * ranked.length)).map(({ proxy }) => proxy);
  }

  /** Keeps other traffic queued at links, for less time than counts as a disturbance. */
  async #fillLinks(): Promise<void> {
    const links = this.#pickShare().map(({ name }) => {
      const { up, down } = this.running.findLink(name);
      return { up, down, queueMs: this.#queueMs * this.random.next() };
    });
    const end = this.#disturbances.start('links', 'answers fill links');
    const until = Date.now() + MIN_LOAD_MS + this.random.next() * MAX_LOAD_MS;
    while (Date.now() < until) {
      for (const { up, down, queueMs } of links) {
        up.fill(queueMs, Date.now());
        down.fill(queueMs, Date.now());
      }
      await wait(FILL_INTERVAL_MS);
    }
    end();
  }

  /** Runs an action on the sources, unless another one is running on them. */
  async #runOnSources(act: () => Promise<void>): Promise<void> {
    if (this.#areSourcesBusy) return;
    this.#areSourcesBusy = true;
    await act();
    this.#areSourcesBusy = false;
  }

  async #killLeader(): Promise<void> {
    const leader = await this.#findLeader();
    const end = this.#disturbances.start(CORE, 'the leader is killed');
    await killProcess(leader.process);
    await this.#waitUpTo(MAX_DOWN_MS);
    await this.running.restartSource(leader);
    end();
  }

  /** Kills every process right after an acknowledgement and starts all again, as after a loss of power. */
  async #killAll(): Promise<void> {
    await this.#operator.waitForAcknowledgement();
    await this.#waitUpTo(MAX_KILL_DELAY_MS);
    const { sources } = this.running;
    const endCore = this.#disturbances.start(CORE, 'all are killed');
    const disturb = (proxy: ProxyHost): Promise<void> =>
      this.runOnProxy(proxy, () =>
        this.#disturb(proxy, 'all are killed', async () => {
          await killProcess(proxy.process);
          await this.#waitUpTo(MAX_START_SPREAD_MS);
          await this.running.restartProxy(proxy);
        }),
      );
    const killSource = async (source: SourceHost): Promise<void> => {
      await killProcess(source.process);
      await this.#waitUpTo(MAX_START_SPREAD_MS);
      await this.running.restartSource(source);
    };
    const proxies = Promise.all(this.running.proxies.map(disturb));
    await Promise.all(sources.map(killSource));
    endCore();
    await proxies;
  }

  async #findLeader(): Promise<SourceHost> {
    for (const source of this.running.sources) {
      try {
        const answer = await request(`http://${source.status}/status`);
        const { log } = (await answer.body.json()) as { log?: { role?: string } };
        if (log?.role === 'leader') return source;
      } catch {
        // A source that has just been killed is not the leader.
      }
    }
    return this.random.pick(this.running.sources);
  }

  async #sendStorm(): Promise<void> {
    const end = this.#disturbances.start('versions', 'a storm of versions');
    this.#operator.addStorm(MIN_STORM + this.random.nextInt(MAX_STORM - MIN_STORM));
    await wait(STORM_MS);
    end();
  }

  async #sendRoutes(): Promise<void> {
    const end = this.#disturbances.start('versions', 'many routes');
    this.#operator.addRoutes(ROUTES_AT_ONCE);
    await wait(STORM_MS);
    end();
  }

  async #startCallers(): Promise<void> {
    const share = this.#pickShare().slice(0, MAX_CALLED_PROXIES);
    const end = this.#disturbances.start('callers', 'callers beyond capacity');
    const addresses = share.map(({ calls }) => calls);
    const seconds = 1 + this.random.nextInt(MAX_CALL_SECONDS);
    const callers = this.running.mesh.startCallers(addresses, CALL_RATE, seconds);
    await wait(seconds * MS_PER_SECOND);
    await killProcess(callers);
    end();
  }

  async #waitUpTo(milliseconds: number): Promise<void> {
    await wait(this.random.next() * milliseconds);
  }
}

// Internals.

const MS_PER_SECOND = 1_000;
const MIN_SHARE = 0.1;
const MAX_SHARE = 0.6;
const MAX_DOWN_MS = 1_500;
const MAX_FREEZE_MS = 4_000;
const MAX_CUT_MS = 3_000;
const MAX_STALL_MS = 2_000;
const MAX_LOSS_MS = 4_000;
const MAX_LOSS_SHARE = 0.3;
const FILL_INTERVAL_MS = 20;
const MIN_LOAD_MS = 1_000;
const MAX_LOAD_MS = 4_000;
const MAX_KILL_DELAY_MS = 20;
const MAX_START_SPREAD_MS = 700;
const MIN_STORM = 10;
const MAX_STORM = 60;
const STORM_MS = 1_000;
const ROUTES_AT_ONCE = 1_600;
const MAX_CALLED_PROXIES = 4;
const MAX_CALL_SECONDS = 4;
const CALL_RATE = 4_000;
