/** When an owner decides: soon after something happened, now and then without, and within the platform's write rate. */
import * as clocks from '../clock.js';

/** How often silence and placement are looked at without being asked, in milliseconds. */
export const tickMs = 200;

/** The turns of one owner. */
export class DecisionTimer {
	private isSignalled = false;
	private lastAppendAt = -Infinity;
	private wake: () => void = () => undefined;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly minAppendIntervalMs: number,
	) {}

	/** `appendGapMs`: least milliseconds between two appends. */
	static create(clock: clocks.Clock, minAppendIntervalMs: number): DecisionTimer {
		return new DecisionTimer(clock, minAppendIntervalMs);
	}

	/** Something is to be decided: now if the owner waits, else as soon as the append in flight is settled. */
	signal(): void {
		this.isSignalled = true;
		this.wake();
	}

	/** An append begins. */
	noteAppend(): void {
		this.lastAppendAt = this.clock.now();
	}

	/** Waits for something to do, and then for the shard's turn at the platform's write rate. */
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
