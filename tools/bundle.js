/** Bundles the deployed programs into one file each under `target/`, straight from their sources. */
import { existsSync } from 'node:fs';
import { resolve } from 'node:path';
import { build } from 'esbuild';

const PROGRAMS = { 'jacinthlug-host': 'platform/src/jacinthlug-host.ts' };

/** Resolves imports of our own packages to their sources, so that no compile step is needed first. */
const ownPackages = {
  name: 'own-packages',
  setup({ onResolve }) {
    onResolve({ filter: /^@jacinthlug\// }, ({ path }) => {
      const [, name, ...rest] = path.split('/');
      const source = resolve('packages', name, 'src', `${rest.join('/')}.ts`);
      return existsSync(source) ? { path: source } : undefined;
    });
  },
};

await build({
  entryPoints: PROGRAMS,
  outdir: 'target',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outExtension: { '.js': '.cjs' },
  // Optional native parts, which the programs do without.
  external: ['dtrace-provider', 'unix-dgram', 'msgpackr-extract', 'bufferutil', 'utf-8-validate'],
  logLevel: 'warning',
  plugins: [ownPackages],
});
