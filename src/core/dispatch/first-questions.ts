/**
 * Turns of workers that are asked for their first report.
 *
 * Load pattern: a new owner asks hundreds of workers what they run, each of which lists all ends that nobody has stored.
 * Asked all at once they answer in one moment, and the owner takes answers in for seconds without sending a renewal: its
 * lease runs out, and the next box begins the same. So some are asked at a time, and the next when one has answered.
 */
import type * as clocks from '../clock.js';

/** Workers asked at a time. */
const mostAtOnce = 32;

/** One that has not answered after so long makes way for the next, in milliseconds: it may be silent. */
const makesWayMs = 100;

/** The turns of one owner. */
export class FirstQuestions {
	private asked = 0;
	private readonly waiting: (() => void)[] = [];

	private constructor(private readonly clock: clocks.Clock) {}

	static create(clock: clocks.Clock): FirstQuestions {
		return new FirstQuestions(clock);
	}

	/** Resolves when it is a worker's turn, to what is to be called once it has answered. */
	async turn(): Promise<() => void> {
		if (this.asked >= mostAtOnce) await new Promise<void>((resolve) => this.waiting.push(resolve));
		else this.asked += 1;
		return this.begin();
	}

	private begin(): () => void {
		let isOver = false;
		const end = (): void => {
			if (isOver) return;
			isOver = true;
			this.pass();
		};
		const timer = this.clock.after(makesWayMs, end);
		return () => {
			timer.cancel();
			end();
		};
	}

	/** Gives a turn that is over to the next in line. */
	private pass(): void {
		const next = this.waiting.shift();
		if (next === undefined) this.asked -= 1;
		else next();
	}
}
