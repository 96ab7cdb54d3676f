/**
Role-based access control for gRPC methods, by the roles in the client's certificate. A method that is not listed is
denied to all clients.
*/

import type {PeerCertificate} from 'node:tls';
import {status, ServerInterceptingCall, type ServerInterceptor} from '@grpc/grpc-js';

/** Roles that may call the methods under a path prefix. The longest matching prefix applies. */
export const accessPolicy: Readonly<Record<string, readonly string[]>> = {
	'/rattanspring.v1.Agent/': ['entry'],
	'/rattanspring.v1.Exchange/': ['entry'],
	'/rattanspring.v1.Orders/': ['agent'],
	'/rattanspring.v1.Spread/': ['control', 'relay', 'entry', 'agent'],
	'/rattanspring.v1.Directory/Announce': ['agent', 'entry'],
	'/rattanspring.v1.Directory/Watch': ['relay', 'entry', 'control'],
	'/rattanspring.v1.Control/': ['control', 'relay', 'entry', 'agent', 'operator'],
	'/rattanspring.v1.Peer/': ['control'],
};

/** Whether a client with these certificate roles may call a method. */
export function isCallAllowed(path: string, roles: readonly string[]): boolean {
	const prefixes = Object.keys(accessPolicy).filter(prefix => path.startsWith(prefix));
	const longest = prefixes.toSorted((left, right) => right.length - left.length).at(0);
	return longest !== undefined && accessPolicy[longest].some(role => roles.includes(role));
}

/** Rejects calls that the roles in the client's certificate do not allow. For servers with mutual TLS. */
export const accessInterceptor: ServerInterceptor = (method, call) => new ServerInterceptingCall(call, {
	start(next) {
		const roles = certificateRoles(call.getAuthContext()) ?? [];
		if (isCallAllowed(method.path, roles)) {
			next();
			return;
		}

		const details = `The roles of the certificate (${roles.join(', ')}) may not call ${method.path}.`;
		call.sendStatus({code: status.PERMISSION_DENIED, details});
	},
});

/** Returns the roles in the client's certificate, or undefined on a plaintext connection. */
export function certificateRoles(context: {readonly sslPeerCertificate?: PeerCertificate}): readonly string[] | undefined {
	const certificate = context.sslPeerCertificate;
	if (!certificate) {
		return undefined;
	}

	const organizationalUnits: string | string[] | undefined = certificate.subject.OU;
	return [organizationalUnits ?? []].flat();
}
