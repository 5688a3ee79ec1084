/** Questions to the owner whether it still is, and what it told with its answers. */
import * as ownership from '../owner/index.js';
import type * as clocks from '../clock.js';
import type * as contacts from '../platform/contact.js';
import type * as dispatch from '../dispatch/index.js';
import type * as protocol from './peer-protocol.js';
import type * as wire from '../wire/frames-only.js';

/** What the owner has learnt is asked for again after so long, in milliseconds: the next owner starts with it. */
const knowledgeAgeMs = 2_000;

/** What the questions need. */
export interface OwnerPingsOptions {
	peers: wire.PeerClient<protocol.BoxReq>;
	clock: clocks.Clock;
	contact: contacts.StoreContact;
	box: string;
	/** Cores' worth of processor that this box may use. */
	processor: number;
}

/** This box's questions to the owner. */
export class OwnerPings {
	/** Whether the store answers the owner, as it last told. */
	storeReachable = false;
	/** The strongest processor among all boxes, as the owner last told. */
	strongest: number | undefined;
	/** What owners have learnt, as last told. */
	learnt: dispatch.Knowledge | undefined;
	/** Clock time at which it was told. */
	private learntAt = -Infinity;

	private constructor(private readonly opts: OwnerPingsOptions) {}

	static create(opts: OwnerPingsOptions): OwnerPings {
		return new OwnerPings(opts);
	}

	/** Asks the owner at an address; answered late while it is. */
	async ping(address: string): Promise<ownership.PingOutcome> {
		const { pingWaitMs, pingTimeoutMs } = ownership.settings;
		const wantsKnowledge = this.opts.clock.now() - this.learntAt > knowledgeAgeMs;
		const req = this.request(pingWaitMs, wantsKnowledge);
		const res = await this.opts.peers.call<protocol.PingReply>(address, req, pingTimeoutMs);
		if (!res.ok) {
			if (res.err.refused) return 'refused';
			// A connection that broke: whether the process is gone shows when it is opened anew.
			return res.err.reason.startsWith('no reply') ? 'silent' : this.pingAgain(address);
		}
		if (!res.value.ok) return 'not-owner';
		this.take(res.value.value);
		return 'alive';
	}

	private take(reply: protocol.PingReply): void {
		this.storeReachable = reply.storeReachable;
		this.strongest = reply.strongest;
		if (reply.knowledge === undefined) return;
		this.learnt = reply.knowledge;
		this.learntAt = this.opts.clock.now();
	}

	private async pingAgain(address: string): Promise<ownership.PingOutcome> {
		const req = this.request(0, false);
		const { pingTimeoutMs } = ownership.settings;
		const res = await this.opts.peers.call<protocol.PingReply>(address, req, pingTimeoutMs);
		if (res.ok) return res.value.ok ? 'alive' : 'not-owner';
		return res.err.refused ? 'refused' : 'silent';
	}

	private request(waitMs: number, wantsKnowledge: boolean): protocol.BoxReq {
		const { box, processor, contact } = this.opts;
		const candidate = { box, processor, storeReachable: contact.reachable };
		return { type: 'owner.ping', waitMs, wantsKnowledge, candidate };
	}
}
