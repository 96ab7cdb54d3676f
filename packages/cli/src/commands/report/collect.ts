/** Fetches the parts of the service-level report from all entries. */

import Wreck from '@hapi/wreck';
import type {ServiceLevelSnapshot} from '@rattanspring/service-level';
import {err, ok, type Result} from '@rattanspring/types';

/** Why no parts could be fetched from an entry. */
export type CollectFailure = {readonly type: 'entryUnreachable' | 'forbidden'; readonly message: string; readonly url: string};

/** The parts from all entries that responded, and the failures of the others. */
export type CollectedParts = {readonly parts: readonly ServiceLevelSnapshot[]; readonly failures: readonly CollectFailure[]};

const timeoutMs = 5000;
const unauthorized = 401;

/** Queries every entry. An entry that does not respond is returned as a failure, so that the report is not silently incomplete. */
export async function collectParts(urls: readonly string[], secret: string): Promise<CollectedParts> {
	const results = await Promise.all(urls.map(async url => fetchParts(url, secret)));
	return {
		parts: results.flatMap(result => result.ok ? result.value : []),
		failures: results.flatMap(result => result.ok ? [] : [result.failure]),
	};
}

async function fetchParts(url: string, secret: string): Promise<Result<readonly ServiceLevelSnapshot[], CollectFailure>> {
	try {
		const {payload} = await Wreck.get<{parts: readonly ServiceLevelSnapshot[]}>(`${url}/v1/service-level`, {
			headers: {authorization: `Bearer ${secret}`}, json: true, timeout: timeoutMs,
		});
		return ok(payload.parts);
	} catch (error) {
		const isForbidden = error instanceof Error && 'output' in error && (error as {output: {statusCode: number}}).output.statusCode === unauthorized;
		return err(isForbidden
			? {type: 'forbidden', message: `${url}: the key is not valid at this entry; set RATTANSPRING_OPERATOR_KEY or RATTANSPRING_CALLER_KEY.`, url}
			: {type: 'entryUnreachable', message: `${url}: ${String(error)}`, url});
	}
}
