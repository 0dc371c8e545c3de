/** The commands that take a settings file: `run` and `check`. */
import type { ExitCode as Code } from '../exit-code.js';
import { ExitCode } from '../exit-code.js';
import type { Fronts } from '../fronts.js';
import { runProcess } from '../run-command.js';
import type { Settings } from '../settings.js';
import { loadSettings, SettingsError } from '../settings.js';
import type { CommandInput, CommandOption, Terminal } from './command.js';
import { Command, JSON_OPTION } from './command.js';

const SETTINGS_OPTION: CommandOption = { value: 'FILE', help: 'settings file of the process' };

/** A command that loads settings first. If they have faults, prints them and does nothing else. */
abstract class SettingsCommand extends Command {
  override readonly options: Readonly<Record<string, CommandOption>> = {
    settings: SETTINGS_OPTION,
  };

  override async run(input: CommandInput, terminal: Terminal): Promise<Code> {
    input.checkNoArguments();
    const path = input.read('settings');
    try {
      return await this.runWith(loadSettings(path), input, terminal);
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      terminal.printError(error.message);
      if (input.isSet('json')) {
        terminal.print(JSON.stringify({ file: error.file, faults: error.faults }));
      }
      return ExitCode.usage;
    }
  }

  /** Runs the command with valid settings. */
  protected abstract runWith(
    settings: Settings,
    input: CommandInput,
    terminal: Terminal,
  ): Promise<Code>;
}

/** Runs a process until it receives a stop signal. */
export class RunCommand extends SettingsCommand {
  override readonly name = 'run';
  override readonly summary = 'Runs a process with the configured roles until SIGTERM or SIGINT.';

  readonly #fronts: Fronts;

  constructor(fronts: Fronts) {
    super();
    this.#fronts = fronts;
  }

  protected override async runWith(settings: Settings, input: CommandInput): Promise<Code> {
    const code = await runProcess(settings, this.#fronts, input.read('settings'));
    return code as Code;
  }
}

/** Validates settings without starting anything. */
export class CheckCommand extends SettingsCommand {
  override readonly name = 'check';
  override readonly summary = 'Validates a settings file; starts nothing and writes nothing.';
  override readonly options = { settings: SETTINGS_OPTION, json: JSON_OPTION };

  protected override runWith(
    settings: Settings,
    input: CommandInput,
    terminal: Terminal,
  ): Promise<Code> {
    const { host, roles, control } = settings;
    if (input.isSet('json')) terminal.print(JSON.stringify({ host, roles, control, faults: [] }));
    else terminal.print(`${host}: no fault found; roles ${roles.join(', ')}, control ${control}`);
    return Promise.resolve(ExitCode.done);
  }
}
