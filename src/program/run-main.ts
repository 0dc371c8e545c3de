/** Runs the command line of the current process and sets its exit code. */
import { runCommandLine } from './command-line.js';
import type { Fronts } from './fronts.js';

/** Runs the command given by the process arguments, with the given fronts. */
export function runMain(fronts: Fronts): void {
  runCommandLine(process.argv.slice(2), undefined, fronts).then(
    (code) => {
      process.exitCode = code;
    },
    (error: unknown) => {
      process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
      process.exitCode = EXIT_USAGE;
    },
  );
}

// Internals.

const EXIT_USAGE = 2;
