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
      // The tasks of connections and peers are loops that await each step.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      // Modules use named exports only, so that an export has the same name in every module.
      'import-x/prefer-default-export': 'off',
      // Package exports resolve to compiled files, which do not exist before the first build.
      'import-x/no-unresolved': 'off',
      'import-x/extensions': 'off',
      'import-x/no-rename-default': 'off',
      // Development dependencies are declared in the root package.json, also those of the tests.
      'import-x/no-extraneous-dependencies': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      // The rule expects bin entries under src, but they are compiled to dist.
      'n/hashbang': 'off',
      'no-void': ['error', { allowAsStatement: true }],
    },
  },
  {
    files: ['**/test/**/*.ts'],
    rules: {
      // Cucumber passes the world of the scenario to step functions as `this`.
      'func-names': 'off',
      'prefer-arrow-callback': 'off',
    },
  },
  {
    files: ['tools/**/*.js', '*.js'],
    rules: { 'no-console': 'off', 'n/no-sync': 'off' },
  },
];
