/** What an owner does in a second, for the log and for the boxes: starts, reports, rounds of placing and how long they took. */

/** What was done since the meter was last read. */
export interface LoadReading {
	/** Starts that were sent. */
	starts: number;
	/** Starts that were answered. */
	answers: number;
	/** Reports of workers that were taken in. */
	reports: number;
	/** Tasks that finished. */
	finished: number;
	/** Rounds of placing. */
	rounds: number;
	/** Time that the rounds took together, and the longest, in milliseconds. */
	roundMs: number;
	longestRoundMs: number;
}

const nothing: LoadReading = {
	starts: 0,
	answers: 0,
	reports: 0,
	finished: 0,
	rounds: 0,
	roundMs: 0,
	longestRoundMs: 0,
};

/** Counts between two readings. */
export class LoadMeter {
	private counts: LoadReading = { ...nothing };

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): LoadMeter {
		return new LoadMeter();
	}

	/** Something was done once more. */
	count(what: 'starts' | 'answers' | 'reports' | 'finished'): void {
		this.counts[what] += 1;
	}

	/** A round of placing took so long. */
	round(tookMs: number): void {
		this.counts.rounds += 1;
		this.counts.roundMs += tookMs;
		this.counts.longestRoundMs = Math.max(this.counts.longestRoundMs, tookMs);
	}

	/** What was done since the last reading. */
	read(): LoadReading {
		const { counts } = this;
		this.counts = { ...nothing };
		return counts;
	}
}
