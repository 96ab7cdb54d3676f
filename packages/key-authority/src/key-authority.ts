/**
The fleet authority: a self-signed certificate, and the certificates that it signs for VMs and operators.

A certificate's common name is the VM or the operator, its organizational units are the roles it may act in, and its
subject alternative names are the addresses it may serve at.
*/

import {webcrypto} from 'node:crypto';
import 'reflect-metadata'; // eslint-disable-line import-x/no-unassigned-import -- the certificate library needs its side effect
import * as x509 from '@peculiar/x509';

/** What a certificate may be used for. */
export type CertificateRole = 'control' | 'relay' | 'entry' | 'agent' | 'operator';

/** PEM texts of a certificate and its private key. */
export type CertificatePair = {readonly certificatePem: string; readonly privateKeyPem: string};

/** Options of an authority. */
export type AuthorityOptions = {readonly fleet: string; readonly validFrom: Date; readonly validDays?: number};

/** Options of a certificate. */
export type CertificateOptions = {
	readonly authority: CertificatePair;
	/** Name of the VM or operator. */
	readonly name: string;
	readonly roles: readonly CertificateRole[];
	/** IP addresses the VM serves at; none for operators. */
	readonly ipAddresses: readonly string[];
	readonly validFrom: Date;
	readonly validDays?: number;
};

const keyAlgorithm = {name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256'};
const authorityValidDays = 3650;
const certificateValidDays = 397;
const dayMs = 86_400_000;
const {subtle} = webcrypto;

/** Makes a fleet authority. */
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

/** Makes a certificate signed by the authority. */
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
