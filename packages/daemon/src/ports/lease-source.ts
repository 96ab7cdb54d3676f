/** Port to the fleet's leases. The holder of a group's lease coordinates the group, under the lease's fencing number. */

import type {FencingNumber, GroupId} from '@rattanspring/types';

/** A lease. `untilMs` is its expiry on the holder's own monotonic clock. */
export type Lease = {readonly fencing: FencingNumber; readonly untilMs: number};

/** Grants and renews leases. */
export abstract class LeaseSource {
	/** Acquires or renews the lease of a group. Returns undefined while another holder has it. */
	abstract acquire(groupId: GroupId): Promise<Lease | undefined>;
}
