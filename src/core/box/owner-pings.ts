/** Questions to the owner whether it still is, and what it told with its answers. */
import * as ownership from '../owner/index.js';
import * as leaseExpiries from './lease-expiries.js';
import type * as admission from '../admission/index.js';
import type * as contacts from '../platform/contact.js';
import type * as protocol from './peer-protocol.js';
import type * as sharing from './configuration-sharing.js';
import type * as wire from '../wire/frames-only.js';

/**
 * What the owner told of its backlog counts for so long, in milliseconds: it answers twice a second, and a box that has
 * lost it for longer had better take work in than turn it away for a backlog that may be gone.
 */
const backlogMaxAgeMs = 5_000;

/** What the questions need. */
export interface OwnerPingsOptions {
	peers: wire.PeerClient<protocol.BoxReq>;
	contact: contacts.StoreContact;
	box: string;
	/** Cores' worth of processor that this box may use. */
	processor: number;
	/** Clock time. */
	now: () => number;
	/** Version of the configuration in force here; 0: none is known. */
	configuration: () => number;
	/** The owner at an address told of its configuration; `askedAt`: clock time of the question. */
	onConfiguration: (advertised: sharing.AdvertisedConfiguration, sentAt: number, address: string) => void;
}

/** This box's questions to the owner. */
export class OwnerPings {
	/** Whether the store answers the owner, as it last told. */
	storeReachable = false;
	/** The strongest processor among all boxes, as the owner last told. */
	strongest: number | undefined;
	/** What the owner last told of silent workers. */
	readonly leaseExpiries: leaseExpiries.LeaseExpiries;
	private reportedBacklog: { backlog: admission.Backlog; at: number } | undefined;

	private constructor(private readonly opts: OwnerPingsOptions) {
		this.leaseExpiries = leaseExpiries.LeaseExpiries.create(opts.now);
	}

	static create(opts: OwnerPingsOptions): OwnerPings {
		return new OwnerPings(opts);
	}

	/** The work that is owed, as the owner told lately. */
	get backlog(): admission.Backlog {
		const { reportedBacklog } = this;
		const isFresh = reportedBacklog !== undefined && this.opts.now() - reportedBacklog.at < backlogMaxAgeMs;
		return isFresh ? reportedBacklog.backlog : [];
	}

	/** Asks the owner at an address; answered late while it is. */
	async ping(address: string): Promise<ownership.PingOutcome> {
		const { pingHoldMs, pingTimeoutMs } = ownership.settings;
		const req = this.request(pingHoldMs);
		const askedAt = this.opts.now();
		const res = await this.opts.peers.call<protocol.PingReply>(address, req, pingTimeoutMs);
		if (!res.ok) {
			// A connection that broke: whether the process is gone shows when it is opened anew.
			return res.err.cause === 'broken' ? this.pingOnNewConnection(address) : res.err.cause;
		}
		if (!res.value.ok) return 'not-owner';
		const reply = res.value.value;
		this.applyReply(reply);
		if (reply.configuration !== undefined) this.opts.onConfiguration(reply.configuration, askedAt, address);
		return 'alive';
	}

	private applyReply(reply: protocol.PingReply): void {
		this.storeReachable = reply.storeReachable;
		this.strongest = reply.strongest;
		this.reportedBacklog = { backlog: reply.backlog ?? [], at: this.opts.now() };
		this.leaseExpiries.update(reply);
	}

	private async pingOnNewConnection(address: string): Promise<ownership.PingOutcome> {
		const req = this.request(0);
		const { pingTimeoutMs } = ownership.settings;
		const res = await this.opts.peers.call<protocol.PingReply>(address, req, pingTimeoutMs);
		if (res.ok) return res.value.ok ? 'alive' : 'not-owner';
		return res.err.cause === 'refused' ? 'refused' : 'silent';
	}

	private request(waitMs: number): protocol.BoxReq {
		const { box, processor, contact } = this.opts;
		const candidate = { box, processor, storeReachable: contact.reachable };
		return { type: 'owner.ping', waitMs, candidate, configuration: this.opts.configuration() };
	}
}
