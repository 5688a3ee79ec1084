/** How late answers usually come: their smoothed delay and its variation, as RFC 6298 has it for round trips. */

/** Weights of a new sample in the delay and in its variation. */
const delayGain = 1 / 8;
const variationGain = 1 / 4;

/** So many variations above the smoothed delay an answer is unusually late. */
const variations = 4;

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
	get usualMs(): number {
		return this.delayMs + variations * this.variationMs;
	}

	/** An answer came so much later than it was due, in milliseconds. */
	add(ms: number): void {
		const offMs = ms - this.delayMs;
		this.delayMs += delayGain * offMs;
		this.variationMs += variationGain * (Math.abs(offMs) - this.variationMs);
	}
}
