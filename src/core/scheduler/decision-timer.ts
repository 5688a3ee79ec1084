/**
 * Determines when an owner decides: soon after a signal, at every tick without one, and within the platform's write rate.
 */
import * as clocks from '../clock.js';

/** Interval at which unreachable workers and placement are checked without a signal, in milliseconds. */
export const tickMs = 200;

/** The decision times of one owner. */
export class DecisionTimer {
	private isSignalled = false;
	private lastAppendAt = -Infinity;
	private wake: () => void = () => undefined;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly minAppendIntervalMs: number,
	) {}

	/** `minAppendIntervalMs`: minimum time between two appends, in milliseconds. */
	static create(clock: clocks.Clock, minAppendIntervalMs: number): DecisionTimer {
		return new DecisionTimer(clock, minAppendIntervalMs);
	}

	/** Requests a decision: at once if the owner is waiting, otherwise after the append in flight. */
	signal(): void {
		this.isSignalled = true;
		this.wake();
	}

	/** Notes that an append begins. */
	noteAppend(): void {
		this.lastAppendAt = this.clock.now();
	}

	/** Waits for a signal or tick, then for the shard's turn at the platform's write rate. */
	async waitForTurn(): Promise<void> {
		await this.signalOrTick();
		this.isSignalled = false;
		const waitMs = this.lastAppendAt + this.minAppendIntervalMs - this.clock.now();
		if (waitMs > 0) await clocks.sleep(this.clock, waitMs);
	}

	private signalOrTick(): Promise<void> {
		return new Promise((resolve) => {
			const timer = this.clock.after(tickMs, resolve);
			this.wake = () => {
				timer.cancel();
				resolve();
			};
			if (this.isSignalled) this.wake();
		});
	}
}
