import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['**/dist/**', '**/target/**', '**/node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    settings: { node: { version: '>=20.12.0 <21' } },
    languageOptions: {
      parserOptions: {
        projectService: { allowDefaultProject: ['*.js', 'tools/*.js', 'packages/*/bin/*.js'] },
      },
    },
    rules: {
      // A task per connection or peer is an awaited loop.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      // Modules export by name, so that an import reads like the catalogue entry it uses.
      'import-x/prefer-default-export': 'off',
      // Package exports resolve to compiled files, which do not exist before the first build.
      'import-x/no-unresolved': 'off',
      'import-x/extensions': 'off',
      'import-x/no-rename-default': 'off',
      // Every test lives beside the package it tests; development dependencies are at the root.
      'import-x/no-extraneous-dependencies': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      // The rule expects bin entries under src; they are compiled to dist.
      'n/hashbang': 'off',
      'no-void': ['error', { allowAsStatement: true }],
    },
  },
  {
    files: ['**/test/**/*.ts'],
    rules: {
      // Cucumber calls step functions with the scenario state as `this`.
      'func-names': 'off',
      'prefer-arrow-callback': 'off',
    },
  },
  {
    files: ['tools/**/*.js', '*.js'],
    rules: { 'no-console': 'off', 'n/no-sync': 'off' },
  },
];
