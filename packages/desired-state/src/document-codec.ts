/** Port for the written form of a desired state, which is the platform's own. */

import type {Result} from '@rattanspring/types';
import type {DesiredState} from './desired-state.js';

/** Why a document was not accepted. */
export type DocumentFailure = {readonly type: 'documentUnreadable' | 'documentInvalid'; readonly message: string};

/** Reads documents. */
export abstract class DocumentCodec {
	/** Reads a whole document; anything missing or of another type is a failure. */
	abstract decode(text: string): Result<DesiredState, DocumentFailure>;
}
