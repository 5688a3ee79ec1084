/** Schedules placing rounds: soon after a change, and with most of the processor left for reports. */
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as meters from './load-meter.js';

export interface RoundTimerOptions {
	clock: clocks.Clock;
	meter: meters.LoadMeter;
	/** Runs a round for all steps. */
	playAll: () => void;
	/**
	 * Runs a round without preemptible tasks: there may be hundreds of those, and short tasks have no time to wait for them.
	 */
	playQuick: () => void;
}

/** Schedules rounds; several requests are merged into one. */
export class RoundTimer {
	private roundDue = false;
	private quickRoundDue = false;
	/** Delay between a request and the quick round that it schedules, in milliseconds. */
	private quickGapMs: number = settings.roundGapMs;
	/** Clock time before which no full round begins. */
	private nextRoundAt = -Infinity;
	private closed = false;

	private constructor(private readonly opts: RoundTimerOptions) {}

	static create(opts: RoundTimerOptions): RoundTimer {
		return new RoundTimer(opts);
	}

	/** Schedules a full and a quick round after a change. */
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

	/** Runs no more rounds. */
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

	/**
	 * Runs a round; returns the delay until the next one of its kind, in milliseconds. Each round checks all waiting tasks
	 * again, so a slow one is followed by a longer pause.
	 */
	private playTimed(play: () => void): number {
		const { clock, meter } = this.opts;
		const startedAt = clock.now();
		play();
		const tookMs = clock.now() - startedAt;
		meter.round(tookMs);
		return Math.max(settings.roundGapMs, tookMs * settings.roundGapFactor);
	}
}
