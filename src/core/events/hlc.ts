/**
 * Hybrid logical clock (Kulkarni and others, 2014): wall time that never runs backwards and never contradicts the order of
 * messages, so that events of several processes can be merged into one timeline.
 */

/** Wall time in milliseconds, and a counter that orders stamps of the same millisecond. */
export interface Stamp {
	ms: number;
	count: number;
}

/** Compares two stamps: negative if `a` is earlier. */
export function compareStamps(a: Stamp, b: Stamp): number {
	return a.ms - b.ms || a.count - b.count;
}

/** A process's hybrid clock. */
export class HybridClock {
	private last: Stamp = { ms: 0, count: 0 };

	private constructor(private readonly wall: () => number) {}

	static create(wall: () => number): HybridClock {
		return new HybridClock(wall);
	}

	/** Returns a stamp for a local event or an outgoing message. */
	tick(): Stamp {
		const ms = Math.max(this.wall(), this.last.ms);
		const count = ms === this.last.ms ? this.last.count + 1 : 0;
		this.last = { ms, count };
		return this.last;
	}

	/** Advances the clock to the stamp of a received message, so that later stamps are greater. */
	observe(remote: Stamp): void {
		if (compareStamps(remote, this.last) > 0) this.last = remote;
	}
}
