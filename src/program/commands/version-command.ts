/** The `version` command. */
import { ExitCode } from '../exit-code.js';
import type { CommandInput, Terminal } from './command.js';
import { Command, JSON_OPTION } from './command.js';

/** Prints the version of the program. */
export class VersionCommand extends Command {
  override readonly name = 'version';
  override readonly summary = 'Prints the version of the program.';
  override readonly options = { json: JSON_OPTION };

  override run(input: CommandInput, terminal: Terminal): Promise<ExitCode> {
    input.checkNoArguments();
    terminal.print(input.isSet('json') ? JSON.stringify({ version: VERSION }) : VERSION);
    return Promise.resolve(ExitCode.done);
  }
}

// Internals.

const VERSION = '0.1.0';
