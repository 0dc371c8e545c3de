/** Starts the processes of a mesh on loopback for tests, benchmarks and the demonstration. */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { addReservation } from './port-reservations.js';

const BUILD_FOLDER = join(import.meta.dirname, '..');
const BACKEND_SERVER_SCRIPT = join(BUILD_FOLDER, 'bench', 'stand-in-server.js');

const CALLERS_SCRIPT = join(BUILD_FOLDER, 'bench', 'version-callers.js');

/** The command that starts the program: the compiled sources, unless the environment names a binary. */
const PROGRAM_COMMAND = process.env.BILBERRYSWITCH_BINARY
  ? [process.env.BILBERRYSWITCH_BINARY]
  : [process.execPath, join(BUILD_FOLDER, 'src', 'program', 'main.js')];

/** A process of the mesh. */
export interface MeshProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Returns what the process has written to its standard output and standard error so far. */
  readonly output: () => string;
}

/**
 * Returns a loopback port that was free when checked and is reserved for this process, and never the same port
 * twice. The ports lie below the system's ephemeral range, so that no outgoing connection takes one before the
 * caller binds it.
 */
export async function findFreePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (addReservation(port) && (await isFree(port))) return port;
  }
}

/** Returns a loopback `ip:port` whose port was free when checked. */
export async function findFreeAddress(): Promise<string> {
  return `127.0.0.1:${await findFreePort()}`;
}

/** Polls `readValue` until it returns a value; throws an error after `timeoutMs`. */
export async function waitFor<T>(
  description: string,
  readValue: () => Promise<T | undefined> | T | undefined,
  timeoutMs = 15_000,
): Promise<T> {
  const deadline = Date.now() + timeoutMs;
  for (;;) {
    const value = await readValue();
    if (value !== undefined) return value;
    if (Date.now() > deadline) throw new Error(`timed out waiting for ${description}`);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

/** Owns the processes and the folder of one mesh. */
export class Mesh {
  /** A temporary folder for settings, tokens and data. */
  readonly folder = mkdtempSync(join(tmpdir(), 'bilberryswitch-'));
  /** The file in which the backend servers record the requests that they run, one JSON line each. */
  readonly runsFile = join(this.folder, 'runs');
  /** The file in which they record that they leave. */
  readonly leavesFile = `${this.runsFile}.left`;
  readonly #processes: MeshProcess[] = [];
  /** Ends the processes of a mesh that was not stopped. */
  readonly #killAll = (): void => {
    for (const { child } of this.#processes) child.kill('SIGKILL');
  };

  constructor() {
    process.once('exit', this.#killAll);
  }

  /** Writes a file in the mesh's folder and returns its path. */
  writeFile(name: string, text: string): string {
    const path = join(this.folder, name);
    writeFileSync(path, text);
    return path;
  }

  /** Creates a subfolder of the mesh's folder and returns its path. */
  createFolder(name: string): string {
    const path = join(this.folder, name);
    mkdirSync(path, { recursive: true });
    return path;
  }

  /** Starts the program with the given settings. */
  startProgram(name: string, settings: string): MeshProcess {
    const path = this.writeFile(`${name}.toml`, settings);
    return this.#startProcess(name, [...PROGRAM_COMMAND, 'run', '--settings', path]);
  }

  /**
   * Starts a test backend server that announces itself to the proxy at `announce` and records the
   * requests that it runs in {@link Mesh.runsFile}. `calls` is the address through which it calls on;
   * `leaveMs` is how long it serves after it has announced that it leaves.
   */
  startServer(
    service: string,
    port: number,
    announce: string,
    calls = '',
    leaveMs = 0,
  ): MeshProcess {
    const options = {
      service,
      port: `${port}`,
      announce,
      calls,
      runs: this.runsFile,
      'leave-ms': `${leaveMs}`,
    };
    const args = Object.entries(options).flatMap(([name, value]) => [`--${name}`, value]);
    return this.#startProcess(`${service}-${port}`, [
      process.execPath,
      BACKEND_SERVER_SCRIPT,
      ...args,
    ]);
  }

  /** Starts a process that sends `rate` calls a second to the proxies for some seconds. */
  startCallers(addresses: readonly string[], rate: number, seconds: number): MeshProcess {
    const args = [`${rate}`, `${seconds}`, ...addresses];
    return this.#startProcess('callers', [process.execPath, CALLERS_SCRIPT, ...args]);
  }

  /** The processes that were started, ended ones included. */
  get processes(): readonly MeshProcess[] {
    return this.#processes;
  }

  /** Runs a command of the program and returns its exit code and output. */
  async runCommand(args: readonly string[]): Promise<{ code: number; out: string; err: string }> {
    const [program = '', ...rest] = PROGRAM_COMMAND;
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
    await Promise.all(this.#processes.map((meshProcess) => stopProcess(meshProcess)));
    process.removeListener('exit', this.#killAll);
    rmSync(this.folder, { recursive: true, force: true });
  }

  // Internals.

  #startProcess(name: string, command: readonly string[]): MeshProcess {
    const [program = '', ...args] = command;
    const child = spawn(program, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
    child.stderr.on('data', (chunk: Buffer) => (output += chunk.toString()));
    const meshProcess = { name, child, output: () => output };
    this.#processes.push(meshProcess);
    return meshProcess;
  }
}

/** Sends SIGTERM and waits for the exit; sends SIGKILL after `timeoutMs`. Does nothing without a process. */
export async function stopProcess(
  process: MeshProcess | undefined,
  timeoutMs = 10_000,
): Promise<void> {
  if (process === undefined) return;
  const { child } = process;
  if (child.exitCode !== null || child.signalCode !== null) return;
  const ended = new Promise((resolve) => child.once('exit', resolve));
  child.kill('SIGTERM');
  const timer = setTimeout(() => child.kill('SIGKILL'), timeoutMs);
  await ended;
  clearTimeout(timer);
}

/** Sends SIGKILL and waits for the exit. Does nothing without a process. */
export async function killProcess(process: MeshProcess | undefined): Promise<void> {
  if (process === undefined) return;
  const { child } = process;
  if (child.exitCode !== null || child.signalCode !== null) return;
  const ended = new Promise((resolve) => child.once('exit', resolve));
  child.kill('SIGKILL');
  await ended;
}

// Internals.

const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

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
