// Installs the locked packages if the lock file has changed since the last installation.
import { createHash } from 'node:crypto';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { execFileSync } from 'node:child_process';
import { join } from 'node:path';

const root = join(import.meta.dirname, '..');
const marker = join(root, 'node_modules', '.installed-lock-digest');
const lockDigest = createHash('sha256')
  .update(readFileSync(join(root, 'package-lock.json')))
  .digest('hex');

// CI installs the packages itself and passes `--installed` to write the marker only.
const isInstalled = process.argv.includes('--installed');

if (!existsSync(marker) || readFileSync(marker, 'utf8') !== lockDigest) {
  if (!isInstalled) execFileSync('npm', ['ci'], { cwd: root, stdio: 'inherit' });
  writeFileSync(marker, lockDigest);
}
