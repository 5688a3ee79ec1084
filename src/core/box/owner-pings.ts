/** Pings that check whether the owner still is the owner, and what it reported in its answers. */
import * as heartbeats from '../heartbeats/index.js';
import * as ownership from '../owner/index.js';
import * as leaseExpiries from './lease-expiries.js';
import * as receivedForecast from './received-forecast.js';
import * as admission from '../admission/index.js';
import type * as events from '../events/index.js';
import type * as ledger from '../ledger/index.js';
import type * as contacts from '../platform/contact.js';
import type * as protocol from './peer-protocol.js';
import type * as sharing from './configuration-sharing.js';
import type * as wire from '../wire/frames-only.js';

/**
 * How long a backlog that the owner reported counts, in milliseconds. The owner answers twice a second. A box that has lost
 * it for longer had better accept work than turn it away for a backlog that may be gone.
 */
const backlogMaxAgeMs = 5_000;

/** Options of `OwnerPings`. */
export interface OwnerPingsOptions {
	peers: Pick<wire.PeerClient<protocol.BoxReq>, 'call'>;
	contact: contacts.StoreContact;
	events: events.EventLog;
	box: string;
	/** Processor that this box may use, in cores. */
	processor: number;
	/** Clock time. */
	now: () => number;
	/** Books refused callers; undefined: they are not booked. */
	returns: admission.ReturnSchedule | undefined;
	/** Version of the configuration in force here; 0: none is known. */
	configuration: () => number;
	/** The owner at an address advertised its configuration; `sentAt`: clock time of the ping. */
	onConfiguration: (advertised: sharing.AdvertisedConfiguration, sentAt: number, address: string) => void;
	/** What this box reports for handovers; without fields where they are not confirmed. */
	handover: () => ReportedForHandover;
	/** Called with each answer of the owner, or of a former owner, at an address. */
	onReply: (reply: ownership.OwnerReply, address: string) => void;
}

/** What a new owner knows of the leases of earlier ones. */
export interface InheritedLeases extends heartbeats.InheritedLeaseEnd {
	/** Clock time by which all leases at a worker have expired, where the previous owner reported it, by worker id. */
	expiries: ReadonlyMap<string, number>;
	/** Workers that it reported as unresponsive, by id. */
	unresponsiveWorkers: ReadonlySet<string>;
}

/** What a box reports to the owner for handovers. */
export interface ReportedForHandover {
	zone?: string;
	/** Whether its planned stop has begun. */
	stopping?: boolean;
	/** The generation that it is prepared to replace. */
	prepared?: number;
}

/** This box's pings of the owner. */
export class OwnerPings {
	/** Whether the store answers the owner, as the owner last reported. */
	storeReachable = false;
	/** The highest processor of all boxes, in cores, as the owner last reported; undefined: not known yet. */
	strongest: number | undefined;
	/** Clock time at which the owner last answered a ping, or this box ceased to be the owner; undefined: neither happened. */
	ownerHeardAt: number | undefined;
	/** Lease expiries at unresponsive workers, as the owner last reported. */
	readonly leaseExpiries: leaseExpiries.LeaseExpiries;
	/** Heartbeats of the owner, as it reported them. */
	readonly heartbeats: heartbeats.ObservedHeartbeats;
	/** The forecast that the owner last reported. */
	readonly forecast: receivedForecast.ReceivedForecast;
	private reportedBacklog: { backlog: admission.Backlog; at: number } | undefined;

	private constructor(private readonly opts: OwnerPingsOptions) {
		this.heartbeats = heartbeats.ObservedHeartbeats.create(opts.now);
		this.leaseExpiries = leaseExpiries.LeaseExpiries.create(opts.now);
		this.forecast = receivedForecast.ReceivedForecast.create(opts.now, opts.events);
	}

	static create(opts: OwnerPingsOptions): OwnerPings {
		return new OwnerPings(opts);
	}

	/** The outstanding work, as the owner lately reported; empty: there is none, or it is not known. */
	get backlog(): admission.Backlog {
		const { reportedBacklog } = this;
		const isFresh = reportedBacklog !== undefined && this.opts.now() - reportedBacklog.at < backlogMaxAgeMs;
		return isFresh ? reportedBacklog.backlog : [];
	}

	/** Pings the owner at an address; a box that is the owner answers late. */
	async ping(address: string): Promise<ownership.PingOutcome> {
		const { pingHoldMs, pingTimeoutMs } = ownership.settings;
		const req = this.request(pingHoldMs);
		const askedAt = this.opts.now();
		const res = await this.opts.peers.call<protocol.PingReply>(address, req, pingTimeoutMs);
		if (!res.ok) {
			// The connection broke: opening a new one shows whether the process is gone.
			return res.err.cause === 'broken' ? this.pingOnNewConnection(address) : res.err.cause;
		}
		if (!res.value.ok) return 'not-owner';
		const reply = res.value.value;
		this.opts.onReply(reply, address);
		if (reply.movedTo !== undefined) return 'not-owner';
		this.applyReply(reply, askedAt);
		if (reply.configuration !== undefined) this.opts.onConfiguration(reply.configuration, askedAt, address);
		return 'alive';
	}

	/** Pings the owner at an address without being held, and passes its answer on. */
	async pingNow(address: string): Promise<void> {
		const { permissionTimeoutMs } = ownership.settings;
		const req = this.request(0);
		const askedAt = this.opts.now();
		const res = await this.opts.peers.call<protocol.PingReply>(address, req, permissionTimeoutMs);
		if (!res.ok || !res.value.ok) return;
		this.opts.onReply(res.value.value, address);
		this.noteReturns(res.value.value, askedAt);
	}

	/**
	 * What this box knows of the leases of earlier owners when it has become the owner. `last`: their last stored heartbeat;
	 * `maxLeaseMs`: the longest lease that workers accept, in milliseconds.
	 */
	inheritedLeases(
		owned: Pick<ledger.OwnerLedger, 'generation' | 'rosterVersion' | 'takenOverAt'>,
		last: ledger.HeartbeatRecord | undefined,
		maxLeaseMs: number,
	): InheritedLeases {
		const { generation, rosterVersion, takenOverAt } = owned;
		// Generations in between, if there are any, stored no heartbeat, so they granted no lease.
		const next = last === undefined ? generation : last.generation + 1;
		return {
			...this.heartbeats.leasesEndAfter({ generation, last, takenOverAt, maxLeaseMs }),
			expiries: this.leaseExpiries.validFor(next, rosterVersion),
			unresponsiveWorkers: this.leaseExpiries.unresponsiveBefore(next),
		};
	}

	private applyReply(reply: protocol.PingReply, askedAt: number): void {
		this.ownerHeardAt = this.opts.now();
		this.storeReachable = reply.storeReachable;
		this.strongest = reply.strongest;
		this.reportedBacklog = { backlog: reply.backlog ?? [], at: this.opts.now() };
		this.forecast.note(reply.forecast);
		this.noteReturns(reply, askedAt);
		this.leaseExpiries.update(reply);
		if (reply.heartbeat !== undefined) this.heartbeats.note(reply.generation, reply.heartbeat);
	}

	/**
	 * Takes in the share of this box, of every answer: the owner counts on the newest one only. Absent: the owner shares nothing,
	 * and the previous share lapses.
	 */
	private noteReturns(reply: protocol.PingReply, askedAt: number): void {
		if (reply.returns === undefined || this.opts.returns === undefined) return;
		const parsed = admission.parseSeconds(reply.returns);
		if (parsed.ok) this.opts.returns.noteShare(parsed.value, askedAt);
		else this.opts.events.emit('returns.rejected', { box: this.opts.box, reason: parsed.err });
	}

	private async pingOnNewConnection(address: string): Promise<ownership.PingOutcome> {
		const req = this.request(0);
		const { pingTimeoutMs } = ownership.settings;
		const askedAt = this.opts.now();
		const res = await this.opts.peers.call<protocol.PingReply>(address, req, pingTimeoutMs);
		if (!res.ok) return res.err.cause === 'refused' ? 'refused' : 'silent';
		if (!res.value.ok || res.value.value.movedTo !== undefined) return 'not-owner';
		this.noteReturns(res.value.value, askedAt);
		return 'alive';
	}

	private request(waitMs: number): protocol.BoxReq {
		const { box, processor, contact } = this.opts;
		const { prepared, ...reported } = this.opts.handover();
		const candidate = { box, processor, storeReachable: contact.reachable, ...reported };
		const booked = this.opts.returns?.booked();
		const refused = this.opts.returns?.takeRefused() ?? [];
		return {
			type: 'owner.ping',
			waitMs,
			candidate,
			prepared,
			configuration: this.opts.configuration(),
			...(refused.length > 0 && { refused }),
			...(booked !== undefined && { booked }),
		};
	}
}
