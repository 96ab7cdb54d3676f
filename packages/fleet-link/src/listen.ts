/** Binds a gRPC server to the address at which other daemons reach this one. */

import {type Server, ServerCredentials} from '@grpc/grpc-js';

/** Resolves when the server is listening; rejects if the address cannot be bound. */
export async function listen(server: Server, address: string): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.bindAsync(address, ServerCredentials.createInsecure(), error => {
			if (error) {
				reject(error);
			} else {
				resolve();
			}
		});
	});
}
