// Reads a TAP report and KNOWN-RED.txt; prints every failure and exits with 1 if one of them is not listed.
import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

const root = join(import.meta.dirname, '..');
const report = readFileSync(process.argv[2], 'utf8');
const list = join(root, 'KNOWN-RED.txt');
const knownRed = existsSync(list)
  ? readFileSync(list, 'utf8')
      .split('\n')
      .filter((line) => line !== '' && !line.startsWith('#'))
      .map((line) => line.split('|', 1)[0].trim())
  : [];

const results = [...report.matchAll(/^(ok|not ok) \d+ - (.*)$/gm)].map(([, verdict, title]) => ({
  passed: verdict === 'ok',
  title: title.trim(),
}));
const failed = results.filter((result) => !result.passed);
const unexpected = failed.filter(({ title }) => !knownRed.includes(title));
const passedCount = results.length - failed.length;

if (failed.length > 0 || results.length === 0) console.log(report);
for (const { title } of failed) {
  console.log(`${knownRed.includes(title) ? 'known red' : 'FAILED'}: ${title}`);
}
console.log(`${passedCount} passed, ${failed.length} failed`);
process.exitCode = results.length === 0 || unexpected.length > 0 ? 1 : 0;
