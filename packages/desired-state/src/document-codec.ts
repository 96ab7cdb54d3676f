/** Port for the serialized format of a desired state, which is defined by the platform. */

import type {Result} from '@rattanspring/types';
import type {DesiredState} from './desired-state.js';

/** Why a document could not be decoded. */
export type DocumentFailure = {readonly type: 'documentUnreadable' | 'documentInvalid'; readonly message: string};

/** Decodes documents. */
export abstract class DocumentCodec {
	/** Decodes a complete document; missing fields and fields of the wrong type are failures. */
	abstract decode(text: string): Result<DesiredState, DocumentFailure>;
}
