/** The faults of a run under failure, one after the other, each one healed before the next. */
import { rmSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import type { Random } from '../src/random.js';
import type { MeshProcess } from './mesh.js';
import { killProcess, stopProcess } from './mesh.js';
import type { RunningMesh } from './mesh-plan.js';

/** One fault, by name. */
export interface GateFault {
  readonly name: string;
  readonly run: () => Promise<void>;
}

const DOWN_MS = 700;
const FREEZE_MS = 2_500;
const CUT_MS = 3_000;

/** Lists the faults that are put upon a mesh; the random numbers choose who is hit. */
export function listFaults(running: RunningMesh, random: Random): GateFault[] {
  const { sources, proxies } = running;
  return [
    {
      name: 'a source is killed',
      run: async () => {
        const source = random.pick(sources);
        await killProcess(source.process);
        await wait(DOWN_MS);
        await running.restartSource(source);
      },
    },
    {
      name: 'a proxy and its backend server are killed',
      run: async () => {
        const proxy = random.pick(proxies);
        await Promise.all([killProcess(proxy.process), killProcess(proxy.server)]);
        await wait(DOWN_MS);
        await running.restartProxy(proxy);
        running.restartServer(proxy);
      },
    },
    {
      name: 'a source freezes',
      run: () => freezeProcess(random.pick(sources).process),
    },
    {
      name: 'a proxy freezes',
      run: () => freezeProcess(random.pick(proxies).process),
    },
    {
      name: 'a source is cut off',
      run: () => cutOff(running, random.pick(sources).name),
    },
    {
      name: 'a proxy is cut off',
      run: () => cutOff(running, random.pick(proxies).name),
    },
    {
      name: 'a source loses its disk, and a second one dies once the first is back',
      run: async () => {
        const first = random.pick(sources);
        const second = random.pick(sources.filter((source) => source !== first));
        await killProcess(first.process);
        rmSync(first.folder, { recursive: true });
        running.mesh.makeFolder(`${first.name}-data`);
        await running.restartSource(first);
        await wait(CUT_MS);
        await killProcess(second.process);
        await wait(DOWN_MS);
        await running.restartSource(second);
      },
    },
    {
      name: 'a backend server and its proxy are stopped as planned',
      run: async () => {
        const proxy = random.pick(proxies);
        await stopProcess(proxy.server);
        await stopProcess(proxy.process);
        await running.restartProxy(proxy);
        running.restartServer(proxy);
      },
    },
    {
      name: 'every proxy is killed at once',
      run: async () => {
        await Promise.all(proxies.map(({ process }) => killProcess(process)));
        await Promise.all(proxies.map((proxy) => running.restartProxy(proxy)));
      },
    },
  ];
}

// Internals.

async function freezeProcess({ child }: MeshProcess): Promise<void> {
  child.kill('SIGSTOP');
  await wait(FREEZE_MS);
  child.kill('SIGCONT');
}

async function cutOff(running: RunningMesh, name: string): Promise<void> {
  running.cutOff(name);
  await wait(CUT_MS);
  running.mend(name);
}
