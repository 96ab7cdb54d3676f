/**
Builds the failure for an invalid key of a settings file.
*/

import type {SettingsFailure} from '@rattanspring/types';

/** Returns the failure for one key; `expected` describes what the key should hold. */
export function invalidSetting(file: string, key: string, expected: string): SettingsFailure {
	return {
		type: 'settingsInvalid', file, key, expected, message: `${file}: ${key}: ${expected}`,
	};
}
