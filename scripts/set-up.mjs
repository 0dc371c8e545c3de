// Installs the locked packages when node_modules is absent or older than the lock file.
import { existsSync, statSync } from 'node:fs';
import { execFileSync } from 'node:child_process';
import { join } from 'node:path';

const root = join(import.meta.dirname, '..');
const lock = join(root, 'package-lock.json');
const installed = join(root, 'node_modules', '.package-lock.json');

function needsInstall() {
  if (!existsSync(installed)) return true;
  return statSync(installed).mtimeMs < statSync(lock).mtimeMs;
}

if (needsInstall()) {
  execFileSync('npm', ['ci'], { cwd: root, stdio: 'inherit' });
}
