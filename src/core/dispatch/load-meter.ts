/** Counts what an owner does, for the log and for the boxes: starts, reports, and placement rounds with their durations. */

/** What was done since the previous reading. */
export interface LoadReading {
	/** Starts sent. */
	starts: number;
	/** Starts answered. */
	answers: number;
	/** Report requests, stops and pace commands sent. */
	holds: number;
	stops: number;
	paces: number;
	/** Unanswered calls that were sent again. */
	repeats: number;
	/** Reports processed, and the total time that this took, in milliseconds. */
	reports: number;
	reportMs: number;
	/** Tasks that finished. */
	finished: number;
	/** Runs that exited and neither finished nor failed: stopped, expired, or ended together with their gang. */
	abandoned: number;
	/** Placement rounds. */
	rounds: number;
	/** Total duration of the rounds, and the longest, in milliseconds. */
	roundMs: number;
	longestRoundMs: number;
}

const zeroReading: LoadReading = {
	starts: 0,
	answers: 0,
	holds: 0,
	stops: 0,
	paces: 0,
	repeats: 0,
	reports: 0,
	reportMs: 0,
	finished: 0,
	abandoned: 0,
	rounds: 0,
	roundMs: 0,
	longestRoundMs: 0,
};

/** What `count` can count. */
export type CounterName =
	'starts' | 'answers' | 'holds' | 'stops' | 'paces' | 'repeats' | 'finished' | 'abandoned';

/** Counts what is done between two readings. */
export class LoadMeter {
	private counts: LoadReading = { ...zeroReading };

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): LoadMeter {
		return new LoadMeter();
	}

	/** Counts one more. */
	count(counter: CounterName): void {
		this.counts[counter] += 1;
	}

	/** Counts a processed report. */
	noteReport(tookMs: number): void {
		this.counts.reports += 1;
		this.counts.reportMs += tookMs;
	}

	/** Counts a placement round. */
	noteRound(tookMs: number): void {
		this.counts.rounds += 1;
		this.counts.roundMs += tookMs;
		this.counts.longestRoundMs = Math.max(this.counts.longestRoundMs, tookMs);
	}

	/** Returns what was done since the previous reading, and resets the counts. */
	read(): LoadReading {
		const { counts } = this;
		this.counts = { ...zeroReading };
		return counts;
	}
}
