/** How old the list of workers is: it tells how much room each has, and rooms shrink. */
import * as clocks from '../clock.js';
import * as settings from './settings.js';

/** Whether starts may go by the list. */
export class ListFreshness {
	/** Clock time at which the list was last known to be what it is; undefined: nobody tells. */
	private heldAt: number | undefined;
	private wantedAt = -Infinity;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly readList: () => void,
	) {}

	/** `readList`: has the list read now. */
	static create(clock: clocks.Clock, readList: () => void): ListFreshness {
		return new ListFreshness(clock, readList);
	}

	/** The list is as was told, as of that clock time. */
	note(heldAt: number): void {
		this.heldAt = heldAt;
	}

	/** Whether it was known to hold lately. */
	get isFresh(): boolean {
		return this.heldAt === undefined || clocks.isFresh(this.clock, this.heldAt, settings.listAgeMs);
	}

	/** To be called now and then: has a list read that is too old. */
	refresh(): void {
		const now = this.clock.now();
		if (this.isFresh || now - this.wantedAt < settings.listRetryMs) return;
		this.wantedAt = now;
		this.readList();
	}
}
