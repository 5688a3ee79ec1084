/** A box's side of a handover to it: prepares while the owner names it, and notes the owner's permission. */
import * as preparations from './preparation.js';
import type * as clocks from '../clock.js';
import type * as platform from '../platform/types.js';

/** What an owner's answer to a ping says of its successor. */
export interface SuccessionReply {
	/** Generation of the owner that answers. */
	generation: number;
	/** The box that is to take over; undefined: none is named. */
	successor?: string;
	/** The generation that this box may replace; undefined: none. */
	mayReplace?: number;
}

/** Options of `Succession`. */
export interface SuccessionOptions {
	store: platform.RecordStore;
	clock: clocks.Clock;
	box: string;
	/** Duration of the owner's lease, in milliseconds. */
	leaseMs: number;
	/** Pings the owner at an address at once; its answer arrives by `noteReply`. */
	pingNow: (address: string) => Promise<void>;
}

/** This box as a successor. */
export class Succession {
	private preparation: preparations.Preparation | undefined;
	private isPermitted = false;
	private isClosed = false;
	private onPermitted: () => void = () => undefined;

	private constructor(private readonly opts: SuccessionOptions) {}

	static create(opts: SuccessionOptions): Succession {
		return new Succession(opts);
	}

	/** The generation that this box is prepared to replace; undefined: none. */
	get prepared(): number | undefined {
		return this.preparation?.isReady === true ? this.preparation.generation : undefined;
	}

	/** Applies the answer of the owner at an address. */
	noteReply(reply: SuccessionReply, address: string): void {
		if (this.isClosed) return;
		const { generation, successor, mayReplace } = reply;
		if (successor !== this.opts.box) {
			this.abandon();
			return;
		}
		if (this.preparation?.generation !== generation) this.prepare(generation, address);
		// A permission of an earlier generation says nothing of the owner that is in place now.
		if (this.prepared === undefined || mayReplace !== this.prepared) return;
		this.isPermitted = true;
		this.onPermitted();
	}

	/** Resolves once this box may take over. Only the newest promise is resolved. */
	whenPermitted(): Promise<void> {
		if (this.isPermitted) return Promise.resolve();
		return new Promise((resolve) => {
			this.onPermitted = resolve;
		});
	}

	/** What to take over with; undefined: this box may not, or no longer holds the lease for it. */
	take(): preparations.PreparedTakeover | undefined {
		const taken = this.isPermitted ? this.preparation?.take() : undefined;
		this.abandon();
		return taken;
	}

	/** Gives up the preparation, if there is one. */
	abandon(): void {
		this.preparation?.close();
		this.preparation = undefined;
		this.isPermitted = false;
	}

	/** Prepares for nothing any more, as this box stops. */
	close(): void {
		this.isClosed = true;
		this.abandon();
	}

	private prepare(generation: number, address: string): void {
		this.abandon();
		const { store, clock, leaseMs, pingNow } = this.opts;
		const askPermission = (): Promise<void> => pingNow(address);
		this.preparation = preparations.Preparation.create({
			store,
			clock,
			leaseMs,
			generation,
			address,
			askPermission,
		});
	}
}
