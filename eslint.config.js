import gts from 'gts';
import tsdoc from 'eslint-plugin-tsdoc';

export default [
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      'measurements/**',
      'journal/**',
      'target/**',
    ],
  },
  ...gts,
  {
    files: ['**/*.js'],
    languageOptions: {
      sourceType: 'module',
      ecmaVersion: 2023,
      globals: {URL: 'readonly', console: 'readonly'},
    },
    rules: {'n/no-process-exit': 'off', 'n/hashbang': 'off'},
  },
  {
    files: ['**/*.ts'],
    plugins: {tsdoc},
    languageOptions: {
      parserOptions: {project: false, projectService: true},
    },
    rules: {
      'tsdoc/syntax': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'TSEnumDeclaration',
          message: 'Use a constant object instead of an enum.',
        },
      ],
      'max-lines': ['error', {max: 450}],
    },
  },
  {
    // Test runner calls return promises that the runner itself awaits.
    files: ['**/test/**/*.ts'],
    rules: {'@typescript-eslint/no-floating-promises': 'off'},
  },
];
