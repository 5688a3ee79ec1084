/** A resource that serves one request at a time, such as a link or a processor. */
import type * as clocks from '../../src/core/clock.js';

/** Serves requests in their order of arrival. */
export class SerialQueue {
	private freeAt = 0;

	private constructor(private readonly clock: clocks.Clock) {}

	static create(clock: clocks.Clock): SerialQueue {
		return new SerialQueue(clock);
	}

	/** Queueing delay of a request that arrives at present, in milliseconds. */
	get waitMs(): number {
		return Math.max(0, this.freeAt - this.clock.now());
	}

	/** Enqueues a request that takes `ms` milliseconds. Returns the time until it is done, in milliseconds. */
	enqueue(ms: number): number {
		const now = this.clock.now();
		this.freeAt = Math.max(this.freeAt, now) + ms;
		return this.freeAt - now;
	}
}
