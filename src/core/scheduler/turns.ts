/** When an owner decides: soon after something happened, now and then without, and within the platform's write rate. */
import * as clocks from '../clock.js';

/** How often silence and placement are looked at without being asked, in milliseconds. */
export const tickMs = 200;

/** The turns of one owner. */
export class Turns {
	private dirty = false;
	private lastAppendAt = -Infinity;
	private wake: () => void = () => undefined;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly appendGapMs: number,
	) {}

	/** `appendGapMs`: least milliseconds between two appends. */
	static create(clock: clocks.Clock, appendGapMs: number): Turns {
		return new Turns(clock, appendGapMs);
	}

	/** Something is to be decided: now if the owner waits, else as soon as the append in flight is settled. */
	signal(): void {
		this.dirty = true;
		this.wake();
	}

	/** An append begins. */
	noteAppend(): void {
		this.lastAppendAt = this.clock.now();
	}

	/** Waits for something to do, and then for the shard's turn at the platform's write rate. */
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
