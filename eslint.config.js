import js from '@eslint/js';
import * as tseslint from 'typescript-eslint';

export default tseslint.config({ ignores: ['dist/', 'node_modules/', 'target/'] }, js.configs.recommended, {
	files: ['**/*.ts'],
	extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
	languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
	rules: {
		// Numbers in messages are wanted everywhere; the rest of the rule stays.
		'@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
	},
});
