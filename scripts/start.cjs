// Starts the bundle beside this file with V8's code cache, which saves parsing and memory.
const { readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { setFlagsFromString } = require('node:v8');
const { Script } = require('node:vm');

/** The modules of Node.js that the bundle loads. */
const BUILT_IN_MODULES = [
  'async_hooks',
  'crypto',
  'dgram',
  'events',
  'fs/promises',
  'http',
  'https',
  'net',
  'os',
  'perf_hooks',
  'stream',
  'tls',
  'url',
  'util',
  'worker_threads',
  'zlib',
];

/**
 * Flags for processes that live for a minute: a small young generation, early optimization and little
 * inlining. On the command line they would invalidate the code cache of the modules of Node.js.
 */
const V8_FLAGS = [
  '--semi-space-growth-factor=1',
  '--interrupt-budget=20000',
  '--minimum-invocations-after-ic-update=200',
  '--max-inlined-bytecode-size-cumulative=150',
  '--max-inlined-bytecode-size=150',
];

const bundle = join(__dirname, 'bilberryswitch.cjs');
const cacheFile = join(__dirname, 'bilberryswitch.cache');
const writesCache = process.env.BILBERRYSWITCH_WRITE_CODE_CACHE === '1';

// The default action of a reload signal would end the process; the settings are read once the program is loaded.
if (process.argv[2] === 'run') process.on('SIGHUP', () => {});

for (const name of BUILT_IN_MODULES) require(`node:${name}`);
for (const flag of V8_FLAGS) setFlagsFromString(flag);
// Keeps the functions of the start in memory until they are written.
if (writesCache) setFlagsFromString('--no-flush-bytecode');

const script = compileBundle();
script.runInThisContext().call(exports, exports, require, module, __filename, __dirname);
// Written after a run, so that it holds the functions that were compiled on the way.
if (writesCache) {
  process.on('exit', () => {
    // The cache is valid only for the flags that are set when it is written.
    setFlagsFromString('--flush-bytecode');
    writeFileSync(cacheFile, script.createCachedData());
  });
}

/** The texts of the bundle and the cache can be collected once this function has returned. */
function compileBundle() {
  const cachedData = writesCache ? undefined : readCache();
  const compiled = new Script(readFileSync(bundle, 'latin1'), { filename: bundle, cachedData });
  if (compiled.cachedDataRejected) print({ event: 'code-cache-rejected' });
  return compiled;
}

function readCache() {
  try {
    return readFileSync(cacheFile);
  } catch (error) {
    print({ event: 'code-cache-missing', message: error.message });
    return undefined;
  }
}

function print(line) {
  console.log(JSON.stringify(line));
}
