/**
 * Determines when an owner decides: soon after a signal, at every tick without one, and within the platform's write rate.
 */
import * as clocks from '../clock.js';

/** Interval at which unreachable workers and placement are checked without a signal, in milliseconds. */
export const tickMs = 200;

/** The decision times of one owner. */
export class Turns {
	private dirty = false;
	private lastAppendAt = -Infinity;
	private wake: () => void = () => undefined;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly appendGapMs: number,
	) {}

	/** `minAppendIntervalMs`: minimum time between two appends, in milliseconds. */
	static create(clock: clocks.Clock, appendGapMs: number): Turns {
		return new Turns(clock, appendGapMs);
	}

	/** Requests a decision: at once if the owner is waiting, otherwise after the append in flight. */
	signal(): void {
		this.dirty = true;
		this.wake();
	}

	/** Notes that an append begins. */
	noteAppend(): void {
		this.lastAppendAt = this.clock.now();
	}

	/** Waits for a signal or tick, then for the shard's turn at the platform's write rate. */
	async next(): Promise<void> {
		await this.signalOrTick();
		this.dirty = false;
		const wait = this.lastAppendAt + this.appendGapMs - this.clock.now();
		if (wait > 0) await clocks.sleep(this.clock, wait);
	}

	private signalOrTick(): Promise<void> {
		return new Promise((resolve) => {
			const timer = this.clock.after(tickMs, resolve);
			this.wake = () => {
				timer.cancel();
				resolve();
			};
			if (this.dirty) this.wake();
		});
	}
}
