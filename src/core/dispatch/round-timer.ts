/** When rounds of placing are played: soon after something changed, and leaving most of the processor to reports. */
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as meters from './load-meter.js';

/** What a timer uses. */
export interface RoundTimerOptions {
	clock: clocks.Clock;
	meter: meters.LoadMeter;
	/** Plays a round of everything. */
	playAll: () => void;
	/** Plays one without filling tasks: there may be hundreds of those, and short tasks have no time to wait for them. */
	playQuick: () => void;
}

/** Asks for rounds; many asks come to one. */
export class RoundTimer {
	private roundDue = false;
	private quickRoundDue = false;
	/** How long after a wake a quick round is played, in milliseconds. */
	private quickGapMs: number = settings.roundIntervalMs;
	/** Clock time before which no round of everything begins. */
	private nextRoundAt = -Infinity;
	private closed = false;

	private constructor(private readonly opts: RoundTimerOptions) {}

	static create(opts: RoundTimerOptions): RoundTimer {
		return new RoundTimer(opts);
	}

	/** Something changed. */
	wake(): void {
		if (this.closed) return;
		this.wakeQuick();
		if (this.roundDue) return;
		this.roundDue = true;
		const { clock } = this.opts;
		const run = (): void => {
			this.roundDue = false;
			if (!this.closed) this.nextRoundAt = this.playTimed(this.opts.playAll) + clock.now();
		};
		const wait = this.nextRoundAt - clock.now();
		if (wait > 0) clock.after(wait, run);
		else setImmediate(run);
	}

	/** Plays no more rounds. */
	close(): void {
		this.closed = true;
	}

	private wakeQuick(): void {
		if (this.quickRoundDue) return;
		this.quickRoundDue = true;
		this.opts.clock.after(this.quickGapMs, () => {
			this.quickRoundDue = false;
			if (!this.closed) this.quickGapMs = this.playTimed(this.opts.playQuick);
		});
	}

	/** Plays a round; returns how long to wait until the next of its kind: each looks at all that waits again. */
	private playTimed(play: () => void): number {
		const { clock, meter } = this.opts;
		const startedAt = clock.now();
		play();
		const tookMs = clock.now() - startedAt;
		meter.round(tookMs);
		return Math.max(settings.roundIntervalMs, tookMs * settings.roundIntervalFactor);
	}
}
