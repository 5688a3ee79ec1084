/** Estimates how late answers usually arrive: their smoothed delay and its variation, as in RFC 6298 for round trips. */

/** Weights of a new sample in the smoothed delay and in its variation. */
const delayGain = 1 / 8;
const variationGain = 1 / 4;

/** An answer is unusually late if it is this number of variations above the smoothed delay. */
const unusualVariations = 4;

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
	get usualDelayMs(): number {
		return this.delayMs + unusualVariations * this.variationMs;
	}

	/** Adds the delay of an answer after it was due, in milliseconds. */
	addSample(ms: number): void {
		const deviationMs = ms - this.delayMs;
		this.delayMs += delayGain * deviationMs;
		this.variationMs += variationGain * (Math.abs(deviationMs) - this.variationMs);
	}
}
