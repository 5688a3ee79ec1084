/** How old the list of workers is: it tells how much room each has, and rooms shrink. */
import * as clocks from '../clock.js';
import * as settings from './settings.js';

/** Whether starts may go by the list. */
export class ListFreshness {
	/** Clock time at which the list was last known to be what it is; undefined: nobody tells. */
	private confirmedAt: number | undefined;
	private lastRefreshAt = -Infinity;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly readList: () => void,
	) {}

	/** `readList`: has the list read now. */
	static create(clock: clocks.Clock, readList: () => void): ListFreshness {
		return new ListFreshness(clock, readList);
	}

	/** The list is as was told, as of that clock time. */
	noteConfirmed(confirmedAt: number): void {
		this.confirmedAt = confirmedAt;
	}

	/** Whether it was known to hold lately. */
	get isFresh(): boolean {
		return (
			this.confirmedAt === undefined || clocks.isFresh(this.clock, this.confirmedAt, settings.maxListAgeMs)
		);
	}

	/** To be called now and then: has a list read that is too old. */
	refresh(): void {
		const now = this.clock.now();
		if (this.isFresh || now - this.lastRefreshAt < settings.listRetryMs) return;
		this.lastRefreshAt = now;
		this.readList();
	}
}
