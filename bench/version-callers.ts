/** Callers of a version soak, as a process of their own: `version-callers.js RATE SECONDS ADDRESS...`. */
import { SeededRandom } from '../src/random.js';
import { runLoad } from './call-load.js';

const CALL_TIMEOUT_MS = 4_000;

const [rate = 0, seconds = 0] = process.argv.slice(2, 4).map(Number);
const paths = process.argv.slice(4).map((address) => ({ name: address, address }));
const kinds = ['/catalogue', '/orders'].map((path) => {
  return { path, share: 0.5, worth: 1, timeoutMs: CALL_TIMEOUT_MS };
});

await runLoad({ paths, kinds, rate, seconds, random: new SeededRandom(process.pid) });
