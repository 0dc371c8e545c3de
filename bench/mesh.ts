/** Starts a small mesh of separate processes on loopback, for tests, benchmarks and the demonstration. */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const BUILD = join(import.meta.dirname, '..');
const STAND_IN = join(BUILD, 'bench', 'stand-in-server.js');

/** The command that starts the program: the compiled sources, unless a binary is named. */
const PROGRAM = process.env.BILBERRYSWITCH_BINARY
  ? [process.env.BILBERRYSWITCH_BINARY]
  : [process.execPath, join(BUILD, 'src', 'program', 'main.js')];

/** One process of the mesh, by the name that it was given. */
export interface MeshProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** What the process has written so far. */
  readonly output: () => string;
}

/**
 * Returns a port on loopback that was free a moment ago, each one once. The ports lie below the range
 * from which the system takes ports for outgoing connections, so none is lost to those in between.
 */
export async function findFreePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (usedPorts.has(port)) continue;
    usedPorts.add(port);
    if (await isFree(port)) return port;
  }
}

/** Returns an `ip:port` on loopback that was free a moment ago. */
export async function findFreeAddress(): Promise<string> {
  return `127.0.0.1:${await findFreePort()}`;
}

/** Polls until `check` gives a value, or fails at the deadline. */
export async function waitFor<T>(
  what: string,
  check: () => Promise<T | undefined> | T | undefined,
  timeoutMs = 15_000,
): Promise<T> {
  const deadline = Date.now() + timeoutMs;
  for (;;) {
    const value = await check();
    if (value !== undefined) return value;
    if (Date.now() > deadline) throw new Error(`timed out waiting for ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

/** Owns the processes and the folder of one mesh. */
export class Mesh {
  /** A fresh folder for settings, tokens and data. */
  readonly folder = mkdtempSync(join(tmpdir(), 'bilberryswitch-'));
  /** Where the backend servers record their runs, one JSON line each. */
  readonly runsFile = join(this.folder, 'runs');
  readonly #processes: MeshProcess[] = [];

  /** Writes a file below the mesh's folder and returns its path. */
  writeFile(name: string, text: string): string {
    const path = join(this.folder, name);
    writeFileSync(path, text);
    return path;
  }

  /** Creates a folder below the mesh's folder and returns its path. */
  makeFolder(name: string): string {
    const path = join(this.folder, name);
    mkdirSync(path, { recursive: true });
    return path;
  }

  /** Starts the program with the given settings. */
  startNode(name: string, settings: string): MeshProcess {
    const path = this.writeFile(`${name}.toml`, settings);
    return this.#start(name, [...PROGRAM, 'run', '--settings', path]);
  }

  /**
   * Starts a stand-in backend server beside the proxy that listens at `announce`. It records its runs
   * in {@link Mesh.runsFile}.
   */
  startServer(service: string, port: number, announce: string, calls = ''): MeshProcess {
    const options = {
      service,
      port: `${port}`,
      announce,
      calls,
      runs: this.runsFile,
    };
    const args = Object.entries(options).flatMap(([name, value]) => [`--${name}`, value]);
    return this.#start(`${service}-${port}`, [process.execPath, STAND_IN, ...args]);
  }

  /** Runs a command of the program and returns its exit code and output. */
  async runCommand(args: readonly string[]): Promise<{ code: number; out: string; err: string }> {
    const [program = '', ...rest] = PROGRAM;
    const child = spawn(program, [...rest, ...args]);
    let out = '';
    let err = '';
    child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString()));
    child.stderr.on('data', (chunk: Buffer) => (err += chunk.toString()));
    const code = await new Promise<number>((resolve) => child.once('close', resolve));
    return { code, out, err };
  }

  /** Stops every process, then removes the folder. */
  async stop(): Promise<void> {
    await Promise.all(this.#processes.map((one) => stopProcess(one)));
    rmSync(this.folder, { recursive: true, force: true });
  }

  // Internals.

  #start(name: string, command: readonly string[]): MeshProcess {
    const [program = '', ...args] = command;
    const child = spawn(program, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
    child.stderr.on('data', (chunk: Buffer) => (output += chunk.toString()));
    const started = { name, child, output: () => output };
    this.#processes.push(started);
    return started;
  }
}

/** Sends SIGTERM and waits; kills the process when it does not end in time. */
export async function stopProcess({ child }: MeshProcess, timeoutMs = 10_000): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const ended = new Promise((resolve) => child.once('exit', resolve));
  child.kill('SIGTERM');
  const timer = setTimeout(() => child.kill('SIGKILL'), timeoutMs);
  await ended;
  clearTimeout(timer);
}

/** Sends SIGKILL and waits. */
export async function killProcess({ child }: MeshProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const ended = new Promise((resolve) => child.once('exit', resolve));
  child.kill('SIGKILL');
  await ended;
}

// Internals.

const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;
const usedPorts = new Set<number>();

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
