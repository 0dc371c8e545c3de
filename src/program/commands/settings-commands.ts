/** The commands that read a settings file: `run` and `check`. */
import type { ExitCode as Code } from '../exit-code.js';
import { ExitCode } from '../exit-code.js';
import type { Fronts } from '../fronts.js';
import { runProcess } from '../run-command.js';
import type { Settings } from '../settings.js';
import { loadSettings, SettingsError } from '../settings.js';
import type { CommandInput, CommandOption, Terminal } from './command.js';
import { Command, JSON_OPTION } from './command.js';

const SETTINGS_OPTION: CommandOption = { value: 'FILE', help: 'the settings of this process' };

/** A command that starts from settings; nothing is started when they have faults. */
abstract class SettingsCommand extends Command {
  override readonly options: Readonly<Record<string, CommandOption>> = {
    settings: SETTINGS_OPTION,
  };

  override async run(input: CommandInput, terminal: Terminal): Promise<Code> {
    input.checkNoArgument();
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

  /** Goes on with settings that have no fault. */
  protected abstract runWith(
    settings: Settings,
    input: CommandInput,
    terminal: Terminal,
  ): Promise<Code>;
}

/** Runs a process until it is stopped. */
export class RunCommand extends SettingsCommand {
  override readonly name = 'run';
  override readonly summary =
    'Runs a process with the roles of its settings until SIGTERM or SIGINT.';

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

/** Checks settings without running anything. */
export class CheckCommand extends SettingsCommand {
  override readonly name = 'check';
  override readonly summary = 'Checks a settings file; starts nothing and writes nothing.';
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
