/** A control process's access to the group that stores the document, as a member of it or through its leader. */

import type {ReplaceOutcome, StoredDocument} from '@rattanspring/desired-state';
import type {DomainOrder, DomainOrderOutcome, DomainRegister} from '@rattanspring/domain-drain';
import type {JoinReply, JoinRequest} from '@rattanspring/fleet-link';
import type {GrpcService} from '@rattanspring/voter-group';
import type {ConfirmedRead} from './leader-access.js';

export abstract class ControlGroup {
	/** The peer service, to be served at the link address. */
	abstract readonly service: GrpcService;

	/** The newest document held locally; may be older than the newest committed one. */
	abstract get document(): StoredDocument | undefined;

	/** The register of drained failure domains held locally; undefined until a quorum has confirmed it once. */
	abstract get register(): DomainRegister | undefined;

	/** Whether this member believes that it is the leader; another leader may have been elected meanwhile. */
	abstract get isLeader(): boolean;

	/** Whether this process is a voter in its latest known membership. */
	abstract get isVoter(): boolean;

	/** Whether this process is a voter that leads, or hears from the leader. */
	abstract get isSettledVoter(): boolean;

	/** Whether followers learn of new documents here: false where the leader has said that this process is no voter. */
	abstract get servesDocument(): boolean;

	abstract start(): Promise<void>;

	/** Commits a document, forwarding it to the leader if necessary. Returns undefined if the outcome is unknown. */
	abstract replace(document: StoredDocument): Promise<ReplaceOutcome | undefined>;

	/** Commits a document that another process forwarded. Returns undefined if this process is not the leader. */
	abstract submit(document: StoredDocument): Promise<ReplaceOutcome | undefined>;

	/** Linearizable read of the document. */
	abstract read(): Promise<ConfirmedRead>;

	/** Linearizable read of the register; undefined if no quorum confirmed it. */
	abstract readRegister(): Promise<DomainRegister | undefined>;

	/** Commits an order about a failure domain, forwarding it to the leader if necessary. Returns undefined if the outcome is unknown. */
	abstract orderDomain(order: DomainOrder): Promise<DomainOrderOutcome | undefined>;

	/** Handles a join request, or a question for the leader's address. */
	abstract join(request: JoinRequest): Promise<JoinReply>;

	/** Starts a leadership transfer if this process is the leader. */
	abstract transferLeadership(): void;

	abstract stop(): Promise<void>;
}
