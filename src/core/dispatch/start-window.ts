/**
 * Limits the number of starts in flight.
 *
 * Load pattern: hundreds of tasks become ready at the same moment, as a wide step opens, a burst arrives or an outage ends.
 * Sent all at once, their starts fill the owner's link or processor for seconds. Whatever is sent after them waits as long.
 * The renewal of the owner's lease comes late, so that the owner is replaced while it works. Urgent tasks lose their place
 * in the order, as others have been sent before them. So only as many starts are sent as are answered within a short time;
 * the rest waits where it can still be reordered.
 */

/**
 * Time within which starts are to be answered, in milliseconds, so that a renewal of the owner's lease behind them is never
 * late.
 */
export const targetMs = 200;

/** Minimum limit of starts in flight. */
export const minLimit = 16;

/** Maximum limit of starts in flight; each takes a socket. */
export const maxLimit = 2_000;

/** Limit of starts in flight before any answer has shown how long starts take. */
const initialLimit = 32;

/** Number of answers evaluated together: the result of fewer is chance, that of more comes late. */
const minSamples = 8;
const maxSamples = 64;

/** Factor by which the limit grows while starts are answered in time, and smallest factor by which it shrinks at once. */
const growthFactor = 1.5;
const minShrinkFactor = 0.5;

/**
 * A start is overtaken once the answers since it was sent exceed this many times the starts in flight before it, plus
 * `minSamples`. It does not wait for the owner's link: its worker is unresponsive, and it takes no slot.
 */
const overtakenFactor = 2;

/** What the answers to some starts showed. */
export interface AnswerTimes {
	/** Median time until the answer, in milliseconds. */
	medianMs: number;
	/** The limit delayed starts meanwhile. */
	wasFull: boolean;
}

/** The limit after some answers. */
export function nextLimit(limit: number, times: AnswerTimes): number {
	const { medianMs, wasFull } = times;
	if (medianMs > targetMs) return Math.max(minLimit, limit * Math.max(minShrinkFactor, targetMs / medianMs));
	// Nothing shows that a limit which was not reached is right, so it does not grow.
	return wasFull ? Math.min(maxLimit, limit * growthFactor) : limit;
}

/** A start in flight. */
export interface StartSlot {
	/** Clock time at which it was sent. */
	readonly sentAt: number;
	/** Number of starts that had been answered by then. */
	readonly answersBefore: number;
	/** Number of starts in flight at that time. */
	readonly pendingBefore: number;
}

/** Tracks the starts in flight and adapts their limit. */
export class StartWindow {
	private limit = initialLimit;
	/** Oldest first. */
	private readonly slots = new Set<StartSlot>();
	private answers = 0;
	private samples: number[] = [];
	private wasFull = false;

	private constructor(private readonly now: () => number) {}

	static create(now: () => number): StartWindow {
		return new StartWindow(now);
	}

	/** Number of further starts that may be sent. */
	get free(): number {
		this.dropOvertaken();
		const free = Math.floor(this.limit) - this.slots.size;
		if (free <= 0) this.wasFull = true;
		return Math.max(0, free);
	}

	/** The limit of starts in flight, and their number. */
	get state(): { limit: number; count: number } {
		return { limit: Math.floor(this.limit), count: this.slots.size };
	}

	/** Takes a slot for a start that is being sent. */
	take(): StartSlot {
		const slot = { sentAt: this.now(), answersBefore: this.answers, pendingBefore: this.slots.size };
		this.slots.add(slot);
		return slot;
	}

	/** Notes the answer to a start, and frees its slot. */
	noteAnswered(slot: StartSlot): void {
		this.answers += 1;
		// Without a slot, the start waited for an unresponsive worker, which shows nothing about the others.
		if (this.slots.delete(slot)) this.addSample(this.now() - slot.sentAt);
	}

	/** Frees the slot of a start that has no answer, or was not sent after all. */
	release(slot: StartSlot): void {
		this.slots.delete(slot);
	}

	private addSample(tookMs: number): void {
		this.samples.push(tookMs);
		const sampleCount = Math.min(maxSamples, Math.max(minSamples, this.limit / 2));
		if (this.samples.length < sampleCount) return;
		this.limit = nextLimit(this.limit, { medianMs: median(this.samples), wasFull: this.wasFull });
		this.samples = [];
		this.wasFull = false;
	}

	private dropOvertaken(): void {
		for (const slot of this.slots) {
			const overtakenBy = this.answers - slot.answersBefore;
			if (overtakenBy <= overtakenFactor * slot.pendingBefore + minSamples) return;
			this.slots.delete(slot);
		}
	}
}

function median(values: readonly number[]): number {
	const sorted = [...values].sort((a, b) => a - b);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
