/** What every command of the program has in common. */
import type { ParseArgsConfig } from 'node:util';
import type { ExitCode } from '../exit-code.js';

/** Where a command writes. Errors go to standard error, everything else to standard output. */
export interface Terminal {
  /** Writes one line of output. */
  readonly print: (line: string) => void;
  /** Writes one line about what went wrong. */
  readonly printError: (line: string) => void;
}

/** One option of a command, as it is described by `--help`. */
export interface CommandOption {
  /** What stands for the value, for example `FILE`; an option without one is a switch. */
  readonly value?: string;
  readonly help: string;
  readonly multiple?: boolean;
}

/** The arguments of a command, read by `util.parseArgs`. */
export class CommandInput {
  readonly #values: Readonly<Record<string, unknown>>;
  readonly #positionals: readonly string[];

  constructor(values: Readonly<Record<string, unknown>>, positionals: readonly string[]) {
    this.#values = values;
    this.#positionals = positionals;
  }

  /** Tells whether a switch was given. */
  isSet(name: string): boolean {
    return this.#values[name] === true;
  }

  /** Finds the value of an option. */
  find(name: string): string | undefined {
    const value = this.#values[name];
    return typeof value === 'string' ? value : undefined;
  }

  /** Reads the value of an option that must be given. */
  read(name: string): string {
    const value = this.find(name);
    if (value === undefined) throw new UsageError(`the option --${name} is missing`);
    return value;
  }

  /** Reads all values of an option that must be given at least once. */
  readAll(name: string): readonly string[] {
    const values = this.#values[name];
    if (Array.isArray(values) && values.length > 0) return values as string[];
    throw new UsageError(`the option --${name} is missing`);
  }

  /** Reads a whole number. */
  readNumber(name: string): number {
    return parseCount(this.read(name), `--${name}`);
  }

  /** Finds a whole number. */
  findNumber(name: string): number | undefined {
    const value = this.find(name);
    return value === undefined ? undefined : parseCount(value, `--${name}`);
  }

  /** Reads the only argument that is no option. */
  readArgument(what: string): string {
    const [argument, ...others] = this.#positionals;
    if (argument === undefined) throw new UsageError(`${what} is missing`);
    if (others.length > 0) throw new UsageError(`"${others.join(' ')}" is too much`);
    return argument;
  }

  /** Throws when there is an argument that is no option. */
  checkNoArgument(): void {
    const [argument] = this.#positionals;
    if (argument !== undefined) throw new UsageError(`"${argument}" is too much`);
  }
}

/** Thrown when the command line cannot be used; the program shows how the command is written. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
}

/**
 * One command of the program.
 *
 * @example
 * class VersionCommand extends Command {
 *   override readonly name = 'version';
 *   …
 * }
 */
export abstract class Command {
  /** One or two words. */
  abstract readonly name: string;
  /** One line that tells what the command does. */
  abstract readonly summary: string;
  /** The argument that is no option, for example `FILE`; empty when there is none. */
  readonly argument: string = '';
  /** The options besides `--help`. */
  readonly options: Readonly<Record<string, CommandOption>> = {};

  /** Runs the command. */
  abstract run(input: CommandInput, terminal: Terminal): Promise<ExitCode>;

  /** Forms the options as `util.parseArgs` takes them. */
  formParseOptions(): NonNullable<ParseArgsConfig['options']> {
    const entries = Object.entries(this.options).map(([name, { value, multiple }]) => [
      name,
      { type: value === undefined ? 'boolean' : 'string', multiple: multiple ?? false },
    ]);
    const options = Object.fromEntries(entries) as NonNullable<ParseArgsConfig['options']>;
    return { ...options, help: { type: 'boolean', short: 'h' } };
  }

  /** Writes how the command is used. */
  formatHelp(): string {
    const lines = Object.entries(this.options).map(([name, { value, help }]) => {
      const left = value === undefined ? `--${name}` : `--${name} ${value}`;
      return `  ${left.padEnd(HELP_WIDTH)}${help}`;
    });
    const usage = ['usage: bilberryswitch', this.name, this.argument].filter((one) => one !== '');
    const options = [...lines, `  ${'--help'.padEnd(HELP_WIDTH)}shows this text`];
    return `${usage.join(' ')} [options]\n\n${this.summary}\n\n${options.join('\n')}`;
  }
}

/** The option of every command that reads. */
export const JSON_OPTION: CommandOption = { help: 'prints the whole answer as JSON' };

// Internals.

const HELP_WIDTH = 24;

function parseCount(text: string, what: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new UsageError(`${what}: "${text}" is no whole number`);
}
