/** Schedules placing rounds: soon after a change, and with most of the processor left for reports. */
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as meters from './load-meter.js';

export interface RoundTimerOptions {
	clock: clocks.Clock;
	meter: meters.LoadMeter;
	/** Runs a round for all steps. */
	runFullRound: () => void;
	/**
	 * Runs a round without preemptible tasks: there may be hundreds of those, and short tasks have no time to wait for them.
	 */
	runQuickRound: () => void;
}

/** Schedules rounds; several requests are merged into one. */
export class RoundTimer {
	private isFullRoundScheduled = false;
	private isQuickRoundScheduled = false;
	/** Delay between a request and the quick round that it schedules, in milliseconds. */
	private quickRoundDelayMs: number = settings.roundIntervalMs;
	/** Clock time before which no full round begins. */
	private nextFullRoundAt = -Infinity;
	private closed = false;

	private constructor(private readonly opts: RoundTimerOptions) {}

	static create(opts: RoundTimerOptions): RoundTimer {
		return new RoundTimer(opts);
	}

	/** Schedules a full and a quick round after a change. */
	scheduleRound(): void {
		if (this.closed) return;
		this.scheduleQuickRound();
		if (this.isFullRoundScheduled) return;
		this.isFullRoundScheduled = true;
		const { clock } = this.opts;
		const runScheduled = (): void => {
			this.isFullRoundScheduled = false;
			if (!this.closed) this.nextFullRoundAt = this.runTimed(this.opts.runFullRound) + clock.now();
		};
		const wait = this.nextFullRoundAt - clock.now();
		if (wait > 0) clock.after(wait, runScheduled);
		else setImmediate(runScheduled);
	}

	/** Runs no more rounds. */
	close(): void {
		this.closed = true;
	}

	private scheduleQuickRound(): void {
		if (this.isQuickRoundScheduled) return;
		this.isQuickRoundScheduled = true;
		this.opts.clock.after(this.quickRoundDelayMs, () => {
			this.isQuickRoundScheduled = false;
			if (!this.closed) this.quickRoundDelayMs = this.runTimed(this.opts.runQuickRound);
		});
	}

	/**
	 * Runs a round; returns the delay until the next one of its kind, in milliseconds. Each round checks all waiting tasks
	 * again, so a slow one is followed by a longer pause.
	 */
	private runTimed(runRound: () => void): number {
		const { clock, meter } = this.opts;
		const startedAt = clock.now();
		runRound();
		const tookMs = clock.now() - startedAt;
		meter.noteRound(tookMs);
		return Math.max(settings.roundIntervalMs, tookMs * settings.roundIntervalFactor);
	}
}
