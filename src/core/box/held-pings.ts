/** Pings of the other boxes that the owner holds, so that each box notices at once when the owner goes away. */
import type * as clocks from '../clock.js';

/** Pings that are not answered yet. */
export class HeldPings {
	private held: (() => void)[] = [];

	private constructor(private readonly clock: clocks.Clock) {}

	static create(clock: clocks.Clock): HeldPings {
		return new HeldPings(clock);
	}

	/** Resolves after `waitMs`, or with the next `release`. */
	hold(waitMs: number): Promise<void> {
		if (waitMs === 0) return Promise.resolve();
		return new Promise((resolve) => {
			const done = (): void => {
				timer.cancel();
				this.held = this.held.filter((one) => one !== done);
				resolve();
			};
			const timer = this.clock.after(waitMs, done);
			this.held.push(done);
		});
	}

	/** Answers all held pings now. */
	release(): void {
		for (const answer of this.held) answer();
	}
}
