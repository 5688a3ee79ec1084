/** What an owner does in a second, for the log and for the boxes: starts, reports, rounds of placing and how long they took. */

/** What was done since the meter was last read. */
export interface LoadReading {
	/** Starts that were sent. */
	starts: number;
	/** Starts that were answered. */
	answers: number;
	/** Questions for reports, stops, and orders on pace that were sent. */
	holds: number;
	stops: number;
	paces: number;
	/** Calls without an answer that were sent once more. */
	repeats: number;
	/** Reports of workers that were taken in, and the time that this took together, in milliseconds. */
	reports: number;
	reportMs: number;
	/** Tasks that finished. */
	finished: number;
	/** Runs that ended and neither finished nor failed: stopped, lapsed, or broken off with others. */
	abandoned: number;
	/** Rounds of placing. */
	rounds: number;
	/** Time that the rounds took together, and the longest, in milliseconds. */
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

/** What is counted one by one. */
export type CounterName =
	'starts' | 'answers' | 'holds' | 'stops' | 'paces' | 'repeats' | 'finished' | 'abandoned';

/** Counts between two readings. */
export class LoadMeter {
	private counts: LoadReading = { ...zeroReading };

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): LoadMeter {
		return new LoadMeter();
	}

	/** Something was done once more. */
	count(counter: CounterName): void {
		this.counts[counter] += 1;
	}

	/** Taking in a report took so long. */
	noteReport(tookMs: number): void {
		this.counts.reports += 1;
		this.counts.reportMs += tookMs;
	}

	/** A round of placing took so long. */
	noteRound(tookMs: number): void {
		this.counts.rounds += 1;
		this.counts.roundMs += tookMs;
		this.counts.longestRoundMs = Math.max(this.counts.longestRoundMs, tookMs);
	}

	/** What was done since the last reading. */
	read(): LoadReading {
		const { counts } = this;
		this.counts = { ...zeroReading };
		return counts;
	}
}
