/** Tracks how old the list of workers is. The list states the capacity of each worker, which may shrink. */
import * as clocks from '../clock.js';
import * as settings from './settings.js';

/** Whether starts may rely on the list. */
export class ListFreshness {
	/**
	 * Clock time at which the list was last known to be current; undefined: this was never reported, and the list counts as
	 * fresh.
	 */
	private confirmedAt: number | undefined;
	private lastRefreshAt = -Infinity;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly readList: () => void,
	) {}

	/** `readList`: called to have the list read at once. */
	static create(clock: clocks.Clock, readList: () => void): ListFreshness {
		return new ListFreshness(clock, readList);
	}

	/** Notes that the list was current at that clock time. */
	noteConfirmed(confirmedAt: number): void {
		this.confirmedAt = confirmedAt;
	}

	/** Whether the list was known to be current recently. */
	get isFresh(): boolean {
		return (
			this.confirmedAt === undefined || clocks.isFresh(this.clock, this.confirmedAt, settings.maxListAgeMs)
		);
	}

	/** Called periodically. Has the list read if it is too old. */
	refresh(): void {
		const now = this.clock.now();
		if (this.isFresh || now - this.lastRefreshAt < settings.listRetryMs) return;
		this.lastRefreshAt = now;
		this.readList();
	}
}
