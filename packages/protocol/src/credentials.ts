/**
Transport credentials between processes: mutual TLS from key files that are reloaded when they change, or plaintext on
loopback.
*/

import {ChannelCredentials, experimental, ServerCredentials} from '@grpc/grpc-js';

/** PEM files of one process: the certificate of the fleet authority, the process's own certificate chain and its private key. */
export type KeyMaterial = {readonly authorityFile: string; readonly certificateFile: string; readonly privateKeyFile: string};

/** Interval at which the key files are checked for changes. */
const refreshIntervalMs = 2000;

/** Client credentials; plaintext without keys. */
export function clientCredentials(keys: KeyMaterial | undefined): ChannelCredentials {
	if (!keys) {
		return ChannelCredentials.createInsecure();
	}

	const provider = createCertificateProvider(keys);
	return experimental.createCertificateProviderChannelCredentials(provider, provider);
}

/** Server credentials; plaintext without keys. With keys, every client must present a certificate signed by the fleet authority. */
export function serverCredentials(keys: KeyMaterial | undefined): ServerCredentials {
	if (!keys) {
		return ServerCredentials.createInsecure();
	}

	const provider = createCertificateProvider(keys);
	return experimental.createCertificateProviderServerCredentials(provider, provider, true);
}

function createCertificateProvider(keys: KeyMaterial): experimental.FileWatcherCertificateProvider {
	return new experimental.FileWatcherCertificateProvider({
		certificateFile: keys.certificateFile,
		privateKeyFile: keys.privateKeyFile,
		caCertificateFile: keys.authorityFile,
		refreshIntervalMs,
	});
}
