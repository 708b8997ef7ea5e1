import eslint from '@eslint/js'
import tseslint from 'typescript-eslint'

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**'] },
  eslint.configs.recommended,
  ...tseslint.configs.recommended,
  {
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        { argsIgnorePattern: '^_', ignoreRestSiblings: true },
      ],
      eqeqeq: 'error',
      'no-console': 'error',
      'prefer-const': 'error',
    },
  },
  {
    files: [
      'packages/proof/src/node/**',
      'packages/ctl/src/**',
      'packages/stand-ins/src/node/**',
      'packages/soak/src/node/**',
      'packages/box/src/node/main.ts',
      'platform/src/main.ts',
    ],
    rules: { 'no-console': 'off' },
  },
  {
    files: ['**/bin/*.js'],
    languageOptions: { globals: { process: 'readonly' } },
  },
  {
    files: ['platform/bundle/*.js'],
    languageOptions: { globals: { URL: 'readonly' } },
  },
  {
    // Read by Node.js as they stand: a module of the other kind takes longer to load.
    files: ['platform/bundle/*.cjs', '.ci/*.cjs', 'packages/soak/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: {
        __dirname: 'readonly',
        console: 'readonly',
        exports: 'writable',
        module: 'readonly',
        performance: 'readonly',
        process: 'readonly',
        require: 'readonly',
        setInterval: 'readonly',
        setTimeout: 'readonly',
      },
    },
    rules: { '@typescript-eslint/no-require-imports': 'off', 'no-console': 'off' },
  },
  {
    files: ['**/test/**'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off' },
  },
)
