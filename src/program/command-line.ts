/** The command line. */
import { parseArgs } from 'node:util';

import { ExitCode } from './exit-code.js';
import { sendNoteRequest } from './note-command.js';
import { runProcess } from './run-command.js';
import { loadSettings, SettingsError } from './settings.js';

/** Runs one command and resolves with its exit code. */
export async function runCommandLine(args: readonly string[]): Promise<number> {
  const { values, positionals } = parseArgs({
    args: [...args],
    allowPositionals: true,
    options: {
      settings: { type: 'string' },
      operator: { type: 'string' },
      'token-file': { type: 'string' },
      json: { type: 'boolean' },
    },
  });
  const [command, action, argument] = positionals;
  switch (command) {
    case 'run':
      return runWithSettings(values.settings);
    case 'note':
      return sendNoteRequest({
        operator: values.operator ?? '',
        tokenFile: values['token-file'] ?? '',
        action: action ?? 'list',
        argument,
      });
    case 'version':
      process.stdout.write(`${VERSION}\n`);
      return ExitCode.done;
    default:
      process.stderr.write(`${USAGE}\n`);
      return ExitCode.usage;
  }
}

// Internals.

const VERSION = '0.1.0';
const USAGE = 'usage: bilberryswitch run|note|version [options]';

async function runWithSettings(path: string | undefined): Promise<number> {
  if (path === undefined) {
    process.stderr.write('run needs --settings FILE\n');
    return ExitCode.usage;
  }
  try {
    return await runProcess(loadSettings(path));
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`${error.message}\n`);
    return ExitCode.usage;
  }
}
