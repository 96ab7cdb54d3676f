/** A gRPC service definition with its handlers. */

import type {ServiceDefinition, UntypedServiceImplementation} from '@grpc/grpc-js';

/** A service that can be added to a gRPC server. */
export type GrpcService = {readonly definition: ServiceDefinition; readonly implementation: UntypedServiceImplementation};
