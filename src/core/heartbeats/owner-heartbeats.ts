/** Stores the owner's heartbeats, and computes from the newest stored one when leases have to end. */
import * as dispatch from '../dispatch/settings.js';
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as ledger from '../ledger/index.js';
import type * as types from './types.js';

/** Number of heartbeats whose send times are kept: those whose writes may still be answered. */
const maxRemembered = 64;

/** Options of `OwnerHeartbeats`. */
export interface OwnerHeartbeatsOptions {
	clock: clocks.Clock;
	/** The owner's generation. */
	generation: number;
	/** Clock time by which every lease of earlier owners has ended; `-Infinity`: there are none. */
	inheritedLeasesEndAt: number;
	/** Stores a heartbeat. */
	store: (heartbeat: ledger.HeartbeatRecord) => Promise<ledger.HeartbeatOutcome>;
	/** Called when a heartbeat was sent. */
	onSent: () => void;
	/** Called when the store names a newer generation. */
	onFenced: () => void;
}

/** The heartbeats of one owner. */
export class OwnerHeartbeats {
	/** Send times of the latest heartbeats, by number. */
	private readonly sentAt = new Map<number, number>();
	private count = 0;
	/** Send time of the newest heartbeat that is known to be stored; `-Infinity`: none is. */
	private basedOn = -Infinity;
	private timer: clocks.Timer | undefined;
	private closed = false;
	private resolveFirst: () => void = () => undefined;
	/** Resolves when the first heartbeat is known to be stored. */
	readonly firstStored = new Promise<void>((resolve) => {
		this.resolveFirst = resolve;
	});

	private constructor(private readonly opts: OwnerHeartbeatsOptions) {}

	/** Sends the first heartbeat at once. */
	static create(opts: OwnerHeartbeatsOptions): OwnerHeartbeats {
		const heartbeats = new OwnerHeartbeats(opts);
		heartbeats.beat();
		return heartbeats;
	}

	/** Stops sending; no lease may be granted any more. */
	close(): void {
		this.closed = true;
		this.timer?.cancel();
	}

	/**
	 * Clock time by which every lease that is granted now has to end; `-Infinity`: none may be granted. The clock stands still
	 * during a suspension, so heartbeats from before it do not count.
	 */
	get leasesEndBy(): number {
		if (this.closed || this.basedOn <= this.opts.clock.resumedAt()) return -Infinity;
		return this.basedOn + dispatch.leaseSpanMs;
	}

	/** Whether a lease that is granted now lasts long enough to start anything with it. */
	get allowsStarts(): boolean {
		return this.leasesEndBy - this.opts.clock.now() >= dispatch.minStartLeaseMs;
	}

	/** The newest heartbeat. */
	get newest(): types.SentHeartbeat {
		const { count } = this;
		return { count, ageMs: this.opts.clock.now() - (this.sentAt.get(count) ?? Infinity) };
	}

	/** A method, as the compiler assumes that the field can't change during an `await`. */
	private isClosed(): boolean {
		return this.closed;
	}

	/** Sends a heartbeat and schedules the next one, which does not wait for the answer. */
	private beat(): void {
		this.timer = this.opts.clock.after(settings.intervalMs, () => {
			this.beat();
		});
		void this.send();
	}

	private async send(): Promise<void> {
		const { clock, generation, store, onSent, onFenced } = this.opts;
		const now = clock.now();
		this.count += 1;
		this.sentAt.set(this.count, now);
		this.sentAt.delete(this.count - maxRemembered);
		const sending = store({ generation, count: this.count, leasesEndWithinMs: this.statedSpanAt(now) });
		onSent();
		const { outcome, stored } = await sending;
		if (this.isClosed()) return;
		if (outcome === 'superseded') onFenced();
		// After a conflict this is an earlier heartbeat, which was stored without an answer.
		const storedAt = stored?.generation === generation ? this.sentAt.get(stored.count) : undefined;
		if (storedAt === undefined) return;
		this.basedOn = Math.max(this.basedOn, storedAt);
		this.resolveFirst();
	}

	/** The span to store: absent while leases of earlier owners may outlast it. */
	private statedSpanAt(now: number): number | undefined {
		const { leaseSpanMs } = dispatch;
		const endsAt = now + settings.longestSpanMs(leaseSpanMs);
		return this.opts.inheritedLeasesEndAt <= endsAt ? leaseSpanMs : undefined;
	}
}
