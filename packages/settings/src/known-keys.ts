/**
Looks up which keys the settings schema knows at a path, to say what is expected in place of an unknown key.
*/

import * as z from 'zod';

/** Units a key may end with. */
const unitSuffix = /(?:Ms|Milliseconds|Sec|Secs|Seconds|Minutes|Bytes|Kb|Mb|Kilobytes|Megabytes)$/;

/** The keys an object of the schema may have at a path; empty where the path leads to no object. */
export function knownKeys(schema: z.core.$ZodType, path: readonly string[]): string[] {
	return objectsAt(schema, path).flatMap(object => Object.keys(object.shape));
}

/** What to write in place of an unknown key: the same key with its right unit, or the list of known keys. */
export function expectedInstead(key: string, known: readonly string[]): string {
	const stem = key.replace(unitSuffix, '');
	const sameStem = known.find(candidate => candidate.replace(unitSuffix, '') === stem);
	if (sameStem) {
		return `no such key; expected "${sameStem}", in the unit that its name ends with`;
	}

	return `no such key; expected one of ${known.join(', ')}`;
}

function objectsAt(schema: z.core.$ZodType, path: readonly string[]): z.ZodObject[] {
	if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault) {
		return objectsAt(schema.unwrap(), path);
	}

	if (schema instanceof z.ZodDiscriminatedUnion) {
		return schema.options.flatMap(option => objectsAt(option, path));
	}

	if (schema instanceof z.ZodArray) {
		return objectsAt(schema.element, path.slice(1));
	}

	if (!(schema instanceof z.ZodObject)) {
		return [];
	}

	if (path.length === 0) {
		return [schema];
	}

	const [first, ...rest] = path;
	const child = schema.shape[first] as z.core.$ZodType | undefined;
	return child ? objectsAt(child, rest) : [];
}
