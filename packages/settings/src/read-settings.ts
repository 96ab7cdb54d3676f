/**
Reads and validates a settings file. Every failure names the file, the key and the expected value.
*/

import {readFile} from 'node:fs/promises';
import {
	err, ok, type Result, type SettingsFailure,
} from '@rattanspring/types';
import type {z} from 'zod';
import {describeExpectedKey, knownKeys} from './known-keys.js';
import {invalidSetting} from './invalid.js';
import {checkCrossKeyRules} from './cross-key-rules.js';
import {settingsSchema, type DaemonSettings} from './schema.js';

/** Reads and validates the settings file at path `file`. */
export async function readSettings(file: string): Promise<Result<DaemonSettings, readonly SettingsFailure[]>> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		return err([unreadableFile(file, error)]);
	}

	return parseSettings(file, text);
}

/** Validates settings given as text; `file` is used only in failure messages. */
export function parseSettings(file: string, text: string): Result<DaemonSettings, readonly SettingsFailure[]> {
	let content: unknown;
	try {
		content = JSON.parse(text);
	} catch (error) {
		return err([unreadableFile(file, error)]);
	}

	const parsed = settingsSchema.safeParse(content);
	if (!parsed.success) {
		return err(parsed.error.issues.flatMap(issue => toFailures(file, issue)));
	}

	const violations = checkCrossKeyRules(file, parsed.data);
	return violations.length === 0 ? ok(parsed.data) : err(violations);
}

function unreadableFile(file: string, error: unknown): SettingsFailure {
	const expected = 'a readable file with one JSON object';
	const message = `${file}: ${String(error)}; expected ${expected}`;
	return {
		type: 'settingsUnreadable', file, key: '', expected, message,
	};
}

function toFailures(file: string, issue: z.core.$ZodIssue): SettingsFailure[] {
	const path = issue.path.map(String);
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => invalidSetting(file, [...path, key].join('.'), describeExpectedKey(key, knownKeys(settingsSchema, path))));
	}

	return [invalidSetting(file, path.join('.'), issue.message)];
}
