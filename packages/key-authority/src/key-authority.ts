/**
The fleet's certificate authority: a self-signed root certificate, and the certificates that it signs for VMs and operators.

The common name of a certificate is the name of the VM or operator, its organizational units are the permitted roles,
and its subject alternative names are the name and the IP addresses at which the VM may serve.
*/

import {webcrypto} from 'node:crypto';
import 'reflect-metadata'; // eslint-disable-line import-x/no-unassigned-import -- the certificate library needs its side effect
import * as x509 from '@peculiar/x509';

/** A role that a certificate permits. */
export type CertificateRole = 'control' | 'relay' | 'entry' | 'agent' | 'operator';

/** A certificate and its private key, both PEM-encoded. */
export type CertificatePair = {readonly certificatePem: string; readonly privateKeyPem: string};

/** Options of `createAuthority`. */
export type AuthorityOptions = {readonly fleet: string; readonly validFrom: Date; readonly validDays?: number};

/** Options of `createCertificate`. */
export type CertificateOptions = {
	readonly authority: CertificatePair;
	/** Name of the VM or operator. */
	readonly name: string;
	readonly roles: readonly CertificateRole[];
	/** IP addresses at which the VM serves; empty for operators. */
	readonly ipAddresses: readonly string[];
	readonly validFrom: Date;
	readonly validDays?: number;
};

const keyAlgorithm = {name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256'};
const authorityValidDays = 3650;
const certificateValidDays = 397;
const dayMs = 86_400_000;
const {subtle} = webcrypto;

/** Creates a self-signed fleet authority. */
export async function createAuthority(options: AuthorityOptions): Promise<CertificatePair> {
	const keys = await subtle.generateKey(keyAlgorithm, true, ['sign', 'verify']);
	const certificate = await x509.X509CertificateGenerator.createSelfSigned({
		name: [{CN: [`${options.fleet} authority`]}], // eslint-disable-line @typescript-eslint/naming-convention -- X.500 attribute
		keys,
		notBefore: options.validFrom,
		notAfter: daysAfter(options.validFrom, options.validDays ?? authorityValidDays),
		signingAlgorithm: keyAlgorithm,
		extensions: [
			new x509.BasicConstraintsExtension(true, 0, true),
			new x509.KeyUsagesExtension(x509.KeyUsageFlags.keyCertSign | x509.KeyUsageFlags.cRLSign, true), // eslint-disable-line no-bitwise -- flags
		],
	});
	return {certificatePem: certificate.toString('pem'), privateKeyPem: await privateKeyPem(keys.privateKey)};
}

/** Creates a certificate signed by the authority. */
export async function createCertificate(options: CertificateOptions): Promise<CertificatePair> {
	const {authority, name, roles, ipAddresses, validFrom} = options;
	const issuer = new x509.X509Certificate(authority.certificatePem);
	const signingKey = await importPrivateKey(authority.privateKeyPem);
	const keys = await subtle.generateKey(keyAlgorithm, true, ['sign', 'verify']);
	const certificate = await x509.X509CertificateGenerator.create({
		subject: [{CN: [name]}, ...roles.map(role => ({OU: [role]}))], // eslint-disable-line @typescript-eslint/naming-convention -- X.500 attributes
		issuer: issuer.subject,
		publicKey: keys.publicKey,
		signingKey,
		notBefore: validFrom,
		notAfter: daysAfter(validFrom, options.validDays ?? certificateValidDays),
		signingAlgorithm: keyAlgorithm,
		extensions: [
			new x509.BasicConstraintsExtension(false, undefined, true),
			new x509.KeyUsagesExtension(x509.KeyUsageFlags.digitalSignature, true),
			new x509.ExtendedKeyUsageExtension([x509.ExtendedKeyUsage.serverAuth, x509.ExtendedKeyUsage.clientAuth]),
			new x509.SubjectAlternativeNameExtension([{type: 'dns', value: name}, ...ipAddresses.map(value => ({type: 'ip' as const, value}))]),
		],
	});
	return {certificatePem: certificate.toString('pem'), privateKeyPem: await privateKeyPem(keys.privateKey)};
}

function daysAfter(date: Date, days: number): Date {
	return new Date(date.getTime() + (days * dayMs));
}

async function privateKeyPem(key: webcrypto.CryptoKey): Promise<string> {
	const encoded = await subtle.exportKey('pkcs8', key);
	return x509.PemConverter.encode(encoded, 'PRIVATE KEY');
}

async function importPrivateKey(pem: string): Promise<webcrypto.CryptoKey> {
	return subtle.importKey('pkcs8', x509.PemConverter.decodeFirst(pem), keyAlgorithm, false, ['sign']);
}
