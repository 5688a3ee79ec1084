/** How late answers usually come: their smoothed delay and its variation, as RFC 6298 has it for round trips. */

/** Weights of a new sample in the delay and in its variation. */
const delayGain = 1 / 8;
const variationGain = 1 / 4;

/** So many variations above the smoothed delay an answer is unusually late. */
const unusualVariations = 4;

/** The delays of one owner's answers. */
export class AnswerDelays {
	private delayMs = 0;
	private variationMs = 0;

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): AnswerDelays {
		return new AnswerDelays();
	}

	/** Answers later than this are unusual, in milliseconds. */
	get usualDelayMs(): number {
		return this.delayMs + unusualVariations * this.variationMs;
	}

	/** An answer came so much later than it was due, in milliseconds. */
	addSample(ms: number): void {
		const deviationMs = ms - this.delayMs;
		this.delayMs += delayGain * deviationMs;
		this.variationMs += variationGain * (Math.abs(deviationMs) - this.variationMs);
	}
}
