/** TLS for connections of callers. The certificate and key files are reloaded when they change. */

import {readFileSync, unwatchFile, watchFile} from 'node:fs';
import type {Server as TlsServer} from 'node:tls';
import type {EntrySettings} from '@rattanspring/settings';

/** Interval at which the files are checked for changes. */
const pollIntervalMs = 2000;

type TlsFiles = {readonly certificateFile: string; readonly privateKeyFile: string};

/** Reads the certificate and the private key; returns undefined for plain text. Throws if a file cannot be read. */
export function readCallerTls(transport: EntrySettings['transport']): {cert: string; key: string} | undefined {
	return transport.mode === 'tls' ? readTlsFiles(transport) : undefined;
}

/**
Reloads the certificate and the private key of a listening server whenever one of their files changes. A certificate and key that do
not match, as when only one of the two files has been replaced, are ignored until the next change. Returns a function that stops watching.
*/
export function watchCallerTls(transport: EntrySettings['transport'], server: TlsServer): () => void {
	if (transport.mode !== 'tls') {
		return () => {
			// There are no files to watch for plain text.
		};
	}

	const reload = (): void => {
		try {
			server.setSecureContext(readTlsFiles(transport));
		} catch {
			// Only one of the two files has been replaced yet.
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
