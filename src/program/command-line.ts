/** The command line: selects the command, parses its options and prints help. */
import { parseArgs } from 'node:util';
import type { Command, Terminal } from './commands/index.js';
import { CommandInput, createCommands, UsageError } from './commands/index.js';
import type { ExitCode as Code } from './exit-code.js';
import { ExitCode } from './exit-code.js';
import type { Fronts } from './fronts.js';
import { DefaultFronts } from './fronts.js';

/** Runs the command that `args` names and resolves with its exit code. Unexpected errors reject the promise. */
export async function runCommandLine(
  args: readonly string[],
  terminal: Terminal = STANDARD_TERMINAL,
  fronts: Fronts = new DefaultFronts(),
): Promise<Code> {
  const commands = createCommands(fronts);
  const [first] = args;
  if (first === 'help' || first === '--help' || first === '-h') {
    terminal.print(formatOverview(commands));
    return ExitCode.done;
  }
  const command = findCommand(commands, args);
  if (command !== undefined) return runCommand(command, args, terminal);
  if (first !== undefined) terminal.printError(`"${args.slice(0, 2).join(' ')}" is not a command`);
  terminal.printError(formatOverview(commands));
  return ExitCode.usage;
}

// Internals.

const STANDARD_TERMINAL: Terminal = {
  print: (line) => {
    process.stdout.write(`${line}\n`);
  },
  printError: (line) => {
    process.stderr.write(`${line}\n`);
  },
};

function findCommand(commands: readonly Command[], args: readonly string[]): Command | undefined {
  return commands.find(({ name }) => name.split(' ').every((word, index) => word === args[index]));
}

async function runCommand(
  command: Command,
  args: readonly string[],
  terminal: Terminal,
): Promise<Code> {
  try {
    const input = readInput(command, args);
    if (!input.isSet('help')) return await command.run(input, terminal);
    terminal.print(command.formatHelp());
    return ExitCode.done;
  } catch (error) {
    if (!(error instanceof UsageError)) throw error;
    terminal.printError(`${command.name}: ${error.message}`);
    terminal.printError(`"bilberryswitch ${command.name} --help" shows the usage`);
    return ExitCode.usage;
  }
}

function readInput(command: Command, args: readonly string[]): CommandInput {
  const wordCount = command.name.split(' ').length;
  try {
    const { values, positionals } = parseArgs({
      args: args.slice(wordCount),
      allowPositionals: true,
      options: command.buildParseOptions(),
    });
    return new CommandInput(values, positionals);
  } catch (error) {
    throw new UsageError((error as Error).message);
  }
}

function formatOverview(commands: readonly Command[]): string {
  const lines = commands.map(({ name, argument, summary }) => {
    return `  ${`${name} ${argument}`.padEnd(COMMAND_COLUMN_WIDTH)}${summary}`;
  });
  return `usage: bilberryswitch COMMAND [options]\n\n${lines.join('\n')}\n\nrun "bilberryswitch COMMAND --help" for the options of a command`;
}

const COMMAND_COLUMN_WIDTH = 24;
