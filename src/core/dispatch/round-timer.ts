/** When rounds of placing are played: soon after something changed, and leaving most of the processor to reports. */
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as meters from './load-meter.js';

/** What a timer uses. */
export interface RoundTimerOptions {
	clock: clocks.Clock;
	meter: meters.LoadMeter;
	/** Plays a round of everything. */
	runFullRound: () => void;
	/** Plays one without filling tasks: there may be hundreds of those, and short tasks have no time to wait for them. */
	runQuickRound: () => void;
}

/** Asks for rounds; many asks come to one. */
export class RoundTimer {
	private isFullRoundScheduled = false;
	private isQuickRoundScheduled = false;
	/** How long after a wake a quick round is played, in milliseconds. */
	private quickRoundDelayMs: number = settings.roundIntervalMs;
	/** Clock time before which no round of everything begins. */
	private nextFullRoundAt = -Infinity;
	private closed = false;

	private constructor(private readonly opts: RoundTimerOptions) {}

	static create(opts: RoundTimerOptions): RoundTimer {
		return new RoundTimer(opts);
	}

	/** Something changed. */
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

	/** Plays no more rounds. */
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

	/** Plays a round; returns how long to wait until the next of its kind: each looks at all that waits again. */
	private runTimed(runRound: () => void): number {
		const { clock, meter } = this.opts;
		const startedAt = clock.now();
		runRound();
		const tookMs = clock.now() - startedAt;
		meter.noteRound(tookMs);
		return Math.max(settings.roundIntervalMs, tookMs * settings.roundIntervalFactor);
	}
}
