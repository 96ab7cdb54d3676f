/** Collects the parts of the service-level report from all entries. */

import Wreck from '@hapi/wreck';
import type {ServiceLevelSnapshot} from '@rattanspring/service-level';
import {err, ok, type Result} from '@rattanspring/types';

/** Why an entry gave no parts. */
export type CollectFailure = {readonly type: 'entryUnreachable' | 'forbidden'; readonly message: string; readonly url: string};

/** Parts of all entries that answered, and the failures of the others. */
export type Collected = {readonly parts: readonly ServiceLevelSnapshot[]; readonly failures: readonly CollectFailure[]};

const timeoutMs = 5000;
const unauthorized = 401;

/** Asks each entry; an entry that does not answer is named, not left out silently. */
export async function collectParts(urls: readonly string[], secret: string): Promise<Collected> {
	const results = await Promise.all(urls.map(async url => partsOf(url, secret)));
	return {
		parts: results.flatMap(result => result.ok ? result.value : []),
		failures: results.flatMap(result => result.ok ? [] : [result.failure]),
	};
}

async function partsOf(url: string, secret: string): Promise<Result<readonly ServiceLevelSnapshot[], CollectFailure>> {
	try {
		const {payload} = await Wreck.get<{parts: readonly ServiceLevelSnapshot[]}>(`${url}/v1/service-level`, {
			headers: {authorization: `Bearer ${secret}`}, json: true, timeout: timeoutMs,
		});
		return ok(payload.parts);
	} catch (error) {
		const isForbidden = error instanceof Error && 'output' in error && (error as {output: {statusCode: number}}).output.statusCode === unauthorized;
		return err(isForbidden
			? {type: 'forbidden', message: `${url}: the key is not valid there; set RATTANSPRING_OPERATOR_KEY or RATTANSPRING_CALLER_KEY.`, url}
			: {type: 'entryUnreachable', message: `${url}: ${String(error)}`, url});
	}
}
