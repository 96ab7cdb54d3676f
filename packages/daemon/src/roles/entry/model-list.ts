/** The list of models that callers may name. */

import type {DirectoryState} from '@rattanspring/directory';

/** One model, as client libraries of model services expect it. */
export type ListedModel = {readonly id: string; readonly object: 'model'; readonly created: 0; readonly owned_by: 'rattanspring'};

/** All models that some target serves now, by name. */
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
