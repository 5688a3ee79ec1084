/**
 * Limits how many workers are polled for their first report at a time.
 *
 * Load pattern: a new owner polls hundreds of workers for what they run, and each lists all exits that nobody has stored. If
 * all were polled at once, they would answer at the same moment, and the owner would process answers for seconds without
 * sending a renewal: its lease would expire, and the next box would begin the same. So only some are polled at a time, and
 * the next one when one has answered.
 */
import type * as clocks from '../clock.js';
import type * as types from './types.js';

/** Maximum number of workers polled at a time. */
const maxConcurrentTurns = 32;

/** A worker that has not answered after this time passes its turn on, in milliseconds, as it may be unresponsive. */
const turnTimeoutMs = 100;

/** The turns of one owner, in the order in which they are requested. */
export class FirstReportTurns implements types.ReportTurns {
	private asked = 0;
	private readonly waiting: (() => void)[] = [];

	private constructor(private readonly clock: clocks.Clock) {}

	static create(clock: clocks.Clock): FirstReportTurns {
		return new FirstReportTurns(clock);
	}

	/** Waits for a worker's turn. Resolves to a function to call once the worker has answered. */
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

	/** Passes a turn that has ended to the next worker in line. */
	private passTurn(): void {
		const next = this.waiting.shift();
		if (next === undefined) this.asked -= 1;
		else next();
	}
}
