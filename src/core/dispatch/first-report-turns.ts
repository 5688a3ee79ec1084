/**
 * Turns of workers that are asked for their first report.
 *
 * Load pattern: a new owner asks hundreds of workers what they run, each of which lists all ends that nobody has stored.
 * Asked all at once they answer in one moment, and the owner takes answers in for seconds without sending a renewal: its
 * lease runs out, and the next box begins the same. So some are asked at a time, and the next when one has answered.
 */
import type * as clocks from '../clock.js';

/** Workers asked at a time. */
const maxConcurrentTurns = 32;

/** One that has not answered after so long makes way for the next, in milliseconds: it may be silent. */
const turnTimeoutMs = 100;

/** The turns of one owner. */
export class FirstReportTurns {
	private asked = 0;
	private readonly waiting: (() => void)[] = [];

	private constructor(private readonly clock: clocks.Clock) {}

	static create(clock: clocks.Clock): FirstReportTurns {
		return new FirstReportTurns(clock);
	}

	/** Resolves when it is a worker's turn, to what is to be called once it has answered. */
	async acquire(): Promise<() => void> {
		if (this.asked >= maxConcurrentTurns) await new Promise<void>((resolve) => this.waiting.push(resolve));
		else this.asked += 1;
		return this.startTurn();
	}

	private startTurn(): () => void {
		let isOver = false;
		const end = (): void => {
			if (isOver) return;
			isOver = true;
			this.passTurn();
		};
		const timer = this.clock.after(turnTimeoutMs, end);
		return () => {
			timer.cancel();
			end();
		};
	}

	/** Gives a turn that is over to the next in line. */
	private passTurn(): void {
		const next = this.waiting.shift();
		if (next === undefined) this.asked -= 1;
		else next();
	}
}
