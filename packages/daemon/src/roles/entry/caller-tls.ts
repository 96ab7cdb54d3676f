/** TLS towards callers, from key files that are read again when they change. */

import {readFileSync, unwatchFile, watchFile} from 'node:fs';
import type {Server as TlsServer} from 'node:tls';
import type {EntrySettings} from '@rattanspring/settings';

/** How often key files are looked at for changes. */
const pollIntervalMs = 2000;

type TlsFiles = {readonly certificateFile: string; readonly privateKeyFile: string};

/** Certificate and key for a server; undefined for plain text. Throws what reading a file throws. */
export function readCallerTls(transport: EntrySettings['transport']): {cert: string; key: string} | undefined {
	return transport.mode === 'tls' ? readTlsFiles(transport) : undefined;
}

/**
Gives a listening server its certificate and key again whenever their files change. A pair that does not fit together, as
between the writing of its two files, is left alone until the next change. Returns how to stop.
*/
export function watchCallerTls(transport: EntrySettings['transport'], server: TlsServer): () => void {
	if (transport.mode !== 'tls') {
		return () => {
			// Plain text has no files to follow.
		};
	}

	const reload = (): void => {
		try {
			server.setSecureContext(readTlsFiles(transport));
		} catch {
			// The other file of the pair is still the old one.
		}
	};

	const files = [transport.certificateFile, transport.privateKeyFile];
	for (const file of files) {
		watchFile(file, {interval: pollIntervalMs, persistent: false}, reload);
	}

	return () => {
		for (const file of files) {
			unwatchFile(file, reload);
		}
	};
}

function readTlsFiles(files: TlsFiles): {cert: string; key: string} {
	return {cert: readFileSync(files.certificateFile, 'utf8'), key: readFileSync(files.privateKeyFile, 'utf8')};
}
