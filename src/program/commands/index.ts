/** The commands of the program. */
import type { Fronts } from '../fronts.js';
import type { Command } from './command.js';
import { ExplainCommand } from './explain-command.js';
import { DrainCommand, StatusCommand } from './local-commands.js';
import {
  ConfigurationReplaceCommand,
  ConfigurationShowCommand,
  NoteAmendCommand,
  NoteListCommand,
  NoteShowCommand,
  NoteSubmitCommand,
  NoteWaitCommand,
  NoteWithdrawCommand,
} from './note-commands.js';
import { CheckCommand, RunCommand } from './settings-commands.js';
import { VersionCommand } from './version-command.js';

export { Command, CommandInput, UsageError } from './command.js';
export type { Terminal } from './command.js';

/** Creates all commands, in the order of the help. */
export function createCommands(fronts: Fronts): readonly Command[] {
  return [
    new RunCommand(fronts),
    new CheckCommand(),
    new NoteSubmitCommand(),
    new NoteAmendCommand(),
    new NoteWithdrawCommand(),
    new NoteShowCommand(),
    new NoteListCommand(),
    new NoteWaitCommand(),
    new ConfigurationReplaceCommand(),
    new ConfigurationShowCommand(),
    new StatusCommand(),
    new ExplainCommand(),
    new DrainCommand(),
    new VersionCommand(),
  ];
}
