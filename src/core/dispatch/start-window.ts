/**
 * How many starts may be on their way at once.
 *
 * Load pattern: hundreds of tasks become ready in one moment, as a wide step opens, a burst arrives or an outage ends.
 * Sent all at once they fill the owner's link or processor for seconds. Whatever is sent after them waits as long: the
 * renewal of the owner's lease, so that it is replaced while it works, and urgent tasks, whose place in the order is
 * lost once others have been sent. So only as many starts are sent as are answered within a short time; the rest waits
 * where it can still be put in order.
 */

/** Starts are to be answered within this time, in milliseconds, so that a renewal of the owner's lease behind them is never late. */
export const targetMs = 200;

/** Starts on their way at least. */
export const minLimit = 16;

/** Starts on their way at most; each takes a socket. */
export const maxLimit = 2_000;

/** Starts on their way before any answer has told how long they take. */
const initialLimit = 32;

/** So many answers are judged together: fewer are luck, more are judged late. */
const minSamples = 8;
const maxSamples = 64;

/** The limit grows by this factor while starts are answered in time, and shrinks to no less than this part at once. */
const growthFactor = 1.5;
const minShrinkFactor = 0.5;

/**
 * A start that was overtaken by so many times the starts that were on their way before it does not wait for the owner's
 * link: its worker is silent, and it takes up no room.
 */
const overtakenFactor = 2;

/** What the answers to some starts told. */
export interface AnswerTimes {
	/** Half of them took no longer, in milliseconds. */
	medianMs: number;
	/** The limit held starts back meanwhile. */
	wasFull: boolean;
}

/** The limit after some answers. */
export function nextLimit(limit: number, times: AnswerTimes): number {
	const { medianMs, wasFull } = times;
	if (medianMs > targetMs) return Math.max(minLimit, limit * Math.max(minShrinkFactor, targetMs / medianMs));
	// A limit that nothing has reached is not known to be right.
	return wasFull ? Math.min(maxLimit, limit * growthFactor) : limit;
}

/** One start on its way. */
export interface StartSlot {
	/** Clock time at which it was sent. */
	readonly sentAt: number;
	/** How many starts had been answered by then. */
	readonly answersBefore: number;
	/** How many were on their way then. */
	readonly pendingBefore: number;
}

/** The starts that are on their way. */
export class StartWindow {
	private limit = initialLimit;
	/** The oldest first. */
	private readonly slots = new Set<StartSlot>();
	private answers = 0;
	private samples: number[] = [];
	private wasFull = false;

	private constructor(private readonly now: () => number) {}

	static create(now: () => number): StartWindow {
		return new StartWindow(now);
	}

	/** How many more starts may be sent now. */
	get free(): number {
		this.dropOvertaken();
		const free = Math.floor(this.limit) - this.slots.size;
		if (free <= 0) this.wasFull = true;
		return Math.max(0, free);
	}

	/** How many starts may be on their way, and how many are. */
	get state(): { limit: number; count: number } {
		return { limit: Math.floor(this.limit), count: this.slots.size };
	}

	/** A start is sent, and takes up room from now on. */
	take(): StartSlot {
		const slot = { sentAt: this.now(), answersBefore: this.answers, pendingBefore: this.slots.size };
		this.slots.add(slot);
		return slot;
	}

	/** A start was answered. */
	noteAnswered(slot: StartSlot): void {
		this.answers += 1;
		// The silence of its worker says nothing about the others.
		if (this.slots.delete(slot)) this.addSample(this.now() - slot.sentAt);
	}

	/** A start has no answer, or was not sent after all. */
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
