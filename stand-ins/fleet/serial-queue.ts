/** Something that serves one after the other: a link, a processor. */
import type * as clocks from '../../src/core/clock.js';

/** Serves in the order in which it was asked. */
export class SerialQueue {
	private freeAt = 0;

	private constructor(private readonly clock: clocks.Clock) {}

	static create(clock: clocks.Clock): SerialQueue {
		return new SerialQueue(clock);
	}

	/** How long what is asked for now has to wait, in milliseconds. */
	get waitMs(): number {
		return Math.max(0, this.freeAt - this.clock.now());
	}

	/** Takes `ms` behind all that was asked for before; returns how long it is until that is over, in milliseconds. */
	enqueue(ms: number): number {
		const now = this.clock.now();
		this.freeAt = Math.max(this.freeAt, now) + ms;
		return this.freeAt - now;
	}
}
