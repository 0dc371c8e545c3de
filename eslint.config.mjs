import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['node_modules', 'build', 'dist', 'target'] },
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'test/**/*.ts', 'bench/**/*.ts'],
    extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      'no-restricted-exports': ['error', { restrictDefaultExports: { direct: true } }],
    },
  },
);
