/** A gRPC service and its handlers, to be added to a listener. */

import type {ServiceDefinition, UntypedServiceImplementation} from '@grpc/grpc-js';

/** A service and its handlers. */
export type GrpcService = {readonly definition: ServiceDefinition; readonly implementation: UntypedServiceImplementation};
