/**
Names of the things the system works with. All are opaque strings chosen by settings or made by the system.
*/

/** One virtual machine, as named in its settings. */
export type VmId = string;

/** Places that fail together: one power feed, one network switch layer. */
export type FailureDomainId = string;

/** A set of failure domains with short network delays between them. */
export type RegionId = string;

/** The customer on whose behalf a request runs. */
export type ClientAccountId = string;

/** One back end that runs requests, such as a model engine or an order service. */
export type TargetId = string;

/** One process of the system. */
export type DaemonId = string;

/** A named service, such as `orders`, or the name of a model. */
export type ServiceId = string;

/** A set of ranks that work in lock-step on one expert map. */
export type GroupId = string;

/** Chosen by an entry for each request; stable over all attempts and resumptions. */
export type RequestId = string;

/** Made anew each time an agent starts. Greater values are later starts of the same agent. */
export type Incarnation = number;

/** Grows with every lease granted; orders with a smaller number than one already seen are dropped. */
export type FencingNumber = number;

/** Number of an accepted fleet configuration; grows by one with each accepted change. */
export type Revision = number;
