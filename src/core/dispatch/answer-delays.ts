/** Estimates how late answers usually arrive: their smoothed delay and its variation, as in RFC 6298 for round trips. */

/** Weights of a new sample in the smoothed delay and in its variation. */
const delayGain = 1 / 8;
const variationGain = 1 / 4;

/** An answer is unusually late if it is this number of variations above the smoothed delay. */
const variations = 4;

/** The delays of the answers to one owner. */
export class AnswerDelays {
	private delayMs = 0;
	private variationMs = 0;

	private constructor() {
		// Instances are created by `create`.
	}

	static create(): AnswerDelays {
		return new AnswerDelays();
	}

	/** The longest usual delay, in milliseconds; 0 before the first sample. */
	get usualMs(): number {
		return this.delayMs + variations * this.variationMs;
	}

	/** Adds the delay of an answer after it was due, in milliseconds. */
	add(ms: number): void {
		const offMs = ms - this.delayMs;
		this.delayMs += delayGain * offMs;
		this.variationMs += variationGain * (Math.abs(offMs) - this.variationMs);
	}
}
