import {type FlatXoConfig} from 'xo';

const config: FlatXoConfig = [
  {ignores: ['dist/**', 'docs/**']},
  {
    space: 2,
    rules: {
      // Durations and sizes carry their unit in the name (Ms, Db), which this rule would expand.
      'unicorn/prevent-abbreviations': 'off',
      // Settings and headers are read from JSON and HTTP, whose keys are not camel case.
      '@typescript-eslint/naming-convention': 'off',
      // Missing values in JSON are null; the platform API returns them.
      '@typescript-eslint/ban-types': 'off',
      '@typescript-eslint/no-restricted-types': 'off',
    },
  },
  {
    // Hashes and generators work on the bits of 32-bit integers.
    files: ['src/shared/{hash,random}.ts'],
    rules: {'no-bitwise': 'off'},
  },
  {
    // Clipanion names its factories with capital letters.
    files: ['src/cli/**'],
    rules: {'new-cap': ['error', {capIsNewExceptions: ['Command.Usage', 'Option.Rest']}]},
  },
];

export default config;
