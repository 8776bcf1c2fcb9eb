/** Bundles each deployed program from its sources into one file in `target/`. */
import { existsSync } from 'node:fs';
import { resolve } from 'node:path';
import { build } from 'esbuild';

const PROGRAMS = { 'jacinthlug-host': 'platform/src/jacinthlug-host.ts' };

/** Resolves imports of the workspace packages to their sources, so that bundling needs no build. */
const workspacePackages = {
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
 * Replacements for library modules whose unused parts would be loaded at each start. All processes of a
 * fleet start at the same time, and the smallest hosts have an eighth of a core.
 */
const MODULE_REPLACEMENTS = {
  // The index also loads fetch, caches, mocks and WebSocket; hosts use only connections and pools.
  undici: `
    const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
    Object.assign(Dispatcher.prototype, { request: require('undici/lib/api/api-request.js') });
    module.exports = {
      Client: require('undici/lib/dispatcher/client.js'),
      Pool: require('undici/lib/dispatcher/pool.js'),
      buildConnector: require('undici/lib/core/connect.js'),
    };
  `,
  // Used only for HTTP/2 connections to targets, which no pool here allows.
  './client-h2.js': 'module.exports = undefined;',
  // bunyan uses these only for rotated log files and source positions; logs go to standard output.
  mv: 'module.exports = undefined;',
  'source-map-support': 'module.exports = undefined;',
};

/** Loads {@link MODULE_REPLACEMENTS} instead of the library modules. */
const trimmedLibraries = {
  name: 'trimmed-libraries',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^(undici|\.\/client-h2\.js|mv|source-map-support)$/ }, ({ path }) => ({
      path,
      namespace: 'replacement',
    }));
    onLoad({ filter: /.*/, namespace: 'replacement' }, ({ path }) => ({
      contents: MODULE_REPLACEMENTS[path],
      resolveDir: resolve('.'),
    }));
  },
};

await build({
  entryPoints: PROGRAMS,
  outdir: 'target',
  bundle: true,
  // Shorter sources load faster. Identifiers stay readable in stack traces and profiles.
  minifyWhitespace: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outExtension: { '.js': '.cjs' },
  // Optional native modules that the programs run without.
  external: ['dtrace-provider', 'unix-dgram', 'msgpackr-extract', 'bufferutil', 'utf-8-validate'],
  logLevel: 'warning',
  plugins: [workspacePackages, trimmedLibraries],
});
