// Starts the bundle beside this file with V8's code cache, which saves parsing and memory.
const { readFileSync, writeFileSync } = require('node:fs');
const { Module } = require('node:module');
const { join } = require('node:path');
const { Script } = require('node:vm');

const bundle = join(__dirname, 'bilberryswitch.cjs');
const cacheFile = join(__dirname, 'bilberryswitch.cache');
const writesCache = process.env.BILBERRYSWITCH_WRITE_CODE_CACHE === '1';

function readCache() {
  try {
    return readFileSync(cacheFile);
  } catch (error) {
    console.log(JSON.stringify({ event: 'code-cache-missing', message: error.message }));
    return undefined;
  }
}

const cachedData = writesCache ? undefined : readCache();
const script = new Script(Module.wrap(readFileSync(bundle, 'utf8')), {
  filename: bundle,
  cachedData,
});
if (script.cachedDataRejected) console.log(JSON.stringify({ event: 'code-cache-rejected' }));
script.runInThisContext().call(exports, exports, require, module, __filename, __dirname);
// Written after a run, so that it holds the functions that were compiled on the way.
if (writesCache) {
  process.on('exit', () => {
    writeFileSync(cacheFile, script.createCachedData());
  });
}
