// Runs one case: writes its record, ends what it started, and sets the exit code.
import { writeFileSync, appendFileSync } from 'node:fs';
import { join } from 'node:path';

/** Exit codes of a case. */
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
const LIMIT_MS = 115_000;

/**
 * Runs `body({ record, hasTrouble })`, which resolves with a list of breaks of the rule. `record` writes one line to
 * `record.txt` in `folder`.
 */
export async function runCase(folder, mesh, body) {
  const path = join(folder, 'record.txt');
  const startedAt = Date.now();
  writeFileSync(path, '');
  const record = (kind, value = {}) => {
    const at = ((Date.now() - startedAt) / 1_000).toFixed(3);
    appendFileSync(path, `${at} ${kind} ${JSON.stringify(value)}\n`);
  };
  const hasTrouble = process.env.TROUBLE !== '0';
  let code = NOT_RUN;
  const limit = setTimeout(() => {
    record('time-limit');
    void mesh.stop().then(() => process.exit(NOT_RUN));
  }, LIMIT_MS);
  try {
    record('start', { hasTrouble });
    const breaks = await body({ record, hasTrouble });
    for (const one of breaks.slice(0, 20)) record('broken', one);
    record('result', { breaks: breaks.length });
    console.log(
      breaks.length === 0 ? 'the rule held' : `the rule was broken ${breaks.length} times`,
    );
    code = breaks.length === 0 ? HELD : BROKEN;
  } catch (error) {
    record('error', { message: error.stack });
    console.log(`the case could not run: ${error.message}`);
  }
  clearTimeout(limit);
  await mesh.stop();
  process.exit(code);
}
