// Bundles the program with its packages into one CommonJS file.
import { build } from 'esbuild';

// Optional native addons of ws and msgpackr, which fall back to JavaScript without them.
const OPTIONAL_NATIVE = /^(msgpackr-extract|bufferutil|utf-8-validate)$/;
const leaveOutNative = {
  name: 'leave-out-native',
  setup(bundler) {
    bundler.onResolve({ filter: OPTIONAL_NATIVE }, ({ path }) => ({ path, namespace: 'absent' }));
    bundler.onLoad({ filter: /.*/, namespace: 'absent' }, ({ path }) => ({
      contents: `throw new Error('${path} is left out of the bundle');`,
    }));
  },
};

export async function bundleProgram(entryPoint, outfile) {
  await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    minify: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    legalComments: 'none',
    plugins: [leaveOutNative],
    logLevel: 'warning',
  });
}
