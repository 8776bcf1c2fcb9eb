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

/**
 * What replaces modules of libraries whose unused parts would be read at each start. Every process of a
 * fleet starts at the same moment, and the smallest hosts have an eighth of a core.
 */
const REPLACEMENTS = {
  // The index also loads fetch, caches, mocks and WebSocket; hosts use connections and their pool alone.
  undici: `
    const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
    Object.assign(Dispatcher.prototype, { request: require('undici/lib/api/api-request.js') });
    module.exports = {
      Client: require('undici/lib/dispatcher/client.js'),
      Pool: require('undici/lib/dispatcher/pool.js'),
      buildConnector: require('undici/lib/core/connect.js'),
    };
  `,
  // Only for HTTP/2 to targets, which no pool here allows.
  './client-h2.js': 'module.exports = undefined;',
  // Only for rotated log files and for mapped call sites; logs go to standard output.
  mv: 'module.exports = undefined;',
  'source-map-support': 'module.exports = undefined;',
};

const trimmedLibraries = {
  name: 'trimmed-libraries',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^(undici|\.\/client-h2\.js|mv|source-map-support)$/ }, ({ path }) => ({
      path,
      namespace: 'replacement',
    }));
    onLoad({ filter: /.*/, namespace: 'replacement' }, ({ path }) => ({
      contents: REPLACEMENTS[path],
      resolveDir: resolve('.'),
    }));
  },
};

await build({
  entryPoints: PROGRAMS,
  outdir: 'target',
  bundle: true,
  // Shorter sources start faster; names stay readable in stack traces and profiles.
  minifyWhitespace: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outExtension: { '.js': '.cjs' },
  // Optional native parts, which the programs do without.
  external: ['dtrace-provider', 'unix-dgram', 'msgpackr-extract', 'bufferutil', 'utf-8-validate'],
  logLevel: 'warning',
  plugins: [ownPackages, trimmedLibraries],
});
