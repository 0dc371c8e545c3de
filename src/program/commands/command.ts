/** Base classes and types of the commands. */
import type { ParseArgsConfig } from 'node:util';
import type { ExitCode } from '../exit-code.js';

/** The output of a command: errors go to standard error, everything else to standard output. */
export interface Terminal {
  /** Writes a line to standard output. */
  readonly print: (line: string) => void;
  /** Writes a line to standard error. */
  readonly printError: (line: string) => void;
}

/** One option of a command. */
export interface CommandOption {
  /** Placeholder of the value in the help, for example `FILE`; an option without one is a flag. */
  readonly value?: string;
  readonly help: string;
  readonly multiple?: boolean;
}

/** The arguments of a command, parsed by `util.parseArgs`. */
export class CommandInput {
  readonly #values: Readonly<Record<string, unknown>>;
  readonly #positionals: readonly string[];

  constructor(values: Readonly<Record<string, unknown>>, positionals: readonly string[]) {
    this.#values = values;
    this.#positionals = positionals;
  }

  /** Returns whether a flag is set. */
  isSet(name: string): boolean {
    return this.#values[name] === true;
  }

  /** Returns the value of an option, or undefined if it is absent. */
  find(name: string): string | undefined {
    const value = this.#values[name];
    return typeof value === 'string' ? value : undefined;
  }

  /** Returns the value of a required option. Throws a {@link UsageError} if it is absent. */
  read(name: string): string {
    const value = this.find(name);
    if (value === undefined) throw new UsageError(`option --${name} is required`);
    return value;
  }

  /** Returns all values of a required, repeatable option. Throws a {@link UsageError} if there is none. */
  readAll(name: string): readonly string[] {
    const values = this.#values[name];
    if (Array.isArray(values) && values.length > 0) return values as string[];
    throw new UsageError(`option --${name} is required`);
  }

  /**
   * Returns the whole number of a required option. Throws a {@link UsageError} if it is absent or malformed.
   */
  readNumber(name: string): number {
    return parseWholeNumber(this.read(name), `--${name}`);
  }

  /**
   * Returns the whole number of an option, or undefined if it is absent. Throws a {@link UsageError} if
   * malformed.
   */
  findNumber(name: string): number | undefined {
    const value = this.find(name);
    return value === undefined ? undefined : parseWholeNumber(value, `--${name}`);
  }

  /** Returns the only positional argument. Throws a {@link UsageError} if there is none or more than one. */
  readArgument(label: string): string {
    const [argument, ...others] = this.#positionals;
    if (argument === undefined) throw new UsageError(`${label} is required`);
    if (others.length > 0) throw new UsageError(`"${others.join(' ')}" is an unexpected argument`);
    return argument;
  }

  /** Throws a {@link UsageError} if there is a positional argument. */
  checkNoArguments(): void {
    const [argument] = this.#positionals;
    if (argument !== undefined) throw new UsageError(`"${argument}" is an unexpected argument`);
  }
}

/** Thrown for an invalid command line; the program then refers to the help of the command. */
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
  /** The name on the command line, one or two words. */
  abstract readonly name: string;
  /** A one-line description for the help. */
  abstract readonly summary: string;
  /** Placeholder of the positional argument, for example `FILE`; empty if the command takes none. */
  readonly argument: string = '';
  /** The options, without `--help`. */
  readonly options: Readonly<Record<string, CommandOption>> = {};

  /** Runs the command and resolves with its exit code. */
  abstract run(input: CommandInput, terminal: Terminal): Promise<ExitCode>;

  /** Builds the options for `util.parseArgs`. */
  buildParseOptions(): NonNullable<ParseArgsConfig['options']> {
    const entries = Object.entries(this.options).map(([name, { value, multiple }]) => [
      name,
      { type: value === undefined ? 'boolean' : 'string', multiple: multiple ?? false },
    ]);
    const options = Object.fromEntries(entries) as NonNullable<ParseArgsConfig['options']>;
    return { ...options, help: { type: 'boolean', short: 'h' } };
  }

  /** Formats the help of the command. */
  formatHelp(): string {
    const lines = Object.entries(this.options).map(([name, { value, help }]) => {
      const left = value === undefined ? `--${name}` : `--${name} ${value}`;
      return `  ${left.padEnd(OPTION_COLUMN_WIDTH)}${help}`;
    });
    const usage = ['usage: bilberryswitch', this.name, this.argument].filter((one) => one !== '');
    const options = [...lines, `  ${'--help'.padEnd(OPTION_COLUMN_WIDTH)}shows this help`];
    return `${usage.join(' ')} [options]\n\n${this.summary}\n\n${options.join('\n')}`;
  }
}

/** The `--json` option, shared by the commands that print an answer. */
export const JSON_OPTION: CommandOption = { help: 'prints the complete answer as JSON' };

// Internals.

const OPTION_COLUMN_WIDTH = 24;

function parseWholeNumber(text: string, label: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new UsageError(`${label}: "${text}" is not a whole number`);
}
