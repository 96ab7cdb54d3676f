/**
Looks up the keys that the settings schema defines at a path, to suggest a valid key in place of an unknown one.
*/

import * as z from 'zod';

/** Unit suffixes of setting keys, correct and mistaken ones. */
const unitSuffix = /(?:Ms|Milliseconds|Sec|Secs|Seconds|Minutes|Bytes|Kb|Mb|Kilobytes|Megabytes)$/;

/** Returns the keys that the schema allows at a path; empty if there is no object at that path. */
export function knownKeys(schema: z.core.$ZodType, path: readonly string[]): string[] {
	return objectSchemasAt(schema, path).flatMap(object => Object.keys(object.shape));
}

/** Describes what to use in place of an unknown key: the key that differs only in its unit suffix, otherwise the list of known keys. */
export function describeExpectedKey(key: string, known: readonly string[]): string {
	const stem = key.replace(unitSuffix, '');
	const sameStem = known.find(candidate => candidate.replace(unitSuffix, '') === stem);
	if (sameStem) {
		return `no such key; expected "${sameStem}", in the unit that its name ends with`;
	}

	return `no such key; expected one of ${known.join(', ')}`;
}

function objectSchemasAt(schema: z.core.$ZodType, path: readonly string[]): z.ZodObject[] {
	if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault) {
		return objectSchemasAt(schema.unwrap(), path);
	}

	if (schema instanceof z.ZodDiscriminatedUnion) {
		return schema.options.flatMap(option => objectSchemasAt(option, path));
	}

	if (schema instanceof z.ZodArray) {
		return objectSchemasAt(schema.element, path.slice(1));
	}

	if (!(schema instanceof z.ZodObject)) {
		return [];
	}

	if (path.length === 0) {
		return [schema];
	}

	const [first, ...rest] = path;
	const child = schema.shape[first] as z.core.$ZodType | undefined;
	return child ? objectSchemasAt(child, rest) : [];
}
