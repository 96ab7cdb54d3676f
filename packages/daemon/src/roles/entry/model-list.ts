/** The list of models that callers can request. */

import type {DirectoryState} from '@rattanspring/directory';

/** A model in the format that client libraries of model services expect. */
export type ListedModel = {readonly id: string; readonly object: 'model'; readonly created: 0; readonly owned_by: 'rattanspring'};

/** Lists the models that at least one target serves, sorted by name. */
export function listServedModels(directory: DirectoryState): {readonly object: 'list'; readonly data: readonly ListedModel[]} {
	const names = new Set<string>();
	for (const {announcement} of directory.targets.values()) {
		if (announcement.kind === 'model' && announcement.state === 'serving') {
			for (const service of announcement.services) {
				names.add(service);
			}
		}
	}

	const data = [...names].toSorted().map(id => ({
		id, object: 'model' as const, created: 0 as const, owned_by: 'rattanspring' as const, // eslint-disable-line @typescript-eslint/naming-convention
	}));
	return {object: 'list', data};
}
