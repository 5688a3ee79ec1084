/**
 * Turns for first reports in which unresponsive workers hold up no others.
 *
 * Load pattern: that of `first-report-turns.ts`, with a third or a half of the workers unresponsive, some of them known as
 * such from the previous owner. A known one gets a turn only while no other worker waits, and its turn does not count for
 * the others. The turn of one that was not known ends after a few times the usual answer time. That time is measured, so
 * turns last longer where the owner itself is slow to read answers, and the number of answers at a time stays limited.
 */
import type * as clocks from '../clock.js';
import type * as types from './types.js';

/** Maximum number of workers polled at a time, as in the order of the roster. */
const maxConcurrentTurns = 32;

/** A turn ends after this multiple of the usual answer time, within these bounds in milliseconds. */
const answerTimeFactor = 4;
const minTurnMs = 50;
const maxTurnMs = 100;

/** Answer time assumed before the first answer, in milliseconds: a round trip over the slowest known links. */
const initialAnswerMs = 12;

/** Weight of each new answer in the usual answer time: about the last ten answers count. */
const answerWeight = 0.1;

/** Whether a worker may be unresponsive, by its id. */
export type MayBeUnresponsive = (worker: string) => boolean;

/** Workers that are polled or wait for it. Those that may be unresponsive are kept apart from the others. */
interface Lane {
	/** Number of turns under way. */
	polled: number;
	waiting: (() => void)[];
}

/** The turns of one owner. */
export class PrioritizedTurns implements types.ReportTurns {
	private readonly responsive: Lane = { polled: 0, waiting: [] };
	private readonly unresponsive: Lane = { polled: 0, waiting: [] };
	private answerMs = initialAnswerMs;

	private constructor(
		private readonly clock: clocks.Clock,
		private readonly mayBeUnresponsive: MayBeUnresponsive,
	) {}

	static create(clock: clocks.Clock, mayBeUnresponsive: MayBeUnresponsive): PrioritizedTurns {
		return new PrioritizedTurns(clock, mayBeUnresponsive);
	}

	/** Waits for a worker's turn. Resolves to a function to call once its poll has returned. */
	async acquire(worker: string): Promise<types.EndTurn> {
		const lane = this.mayBeUnresponsive(worker) ? this.unresponsive : this.responsive;
		await new Promise<void>((resolve) => {
			lane.waiting.push(resolve);
			this.grantTurns();
		});
		return this.startTurn(lane);
	}

	private startTurn(lane: Lane): types.EndTurn {
		const startedAt = this.clock.now();
		let isOver = false;
		const end = (): void => {
			if (isOver) return;
			isOver = true;
			lane.polled -= 1;
			this.grantTurns();
		};
		const timer = this.clock.after(this.turnMs, end);
		return (isAnswered) => {
			timer.cancel();
			if (isAnswered) this.noteAnswerTime(this.clock.now() - startedAt);
			end();
		};
	}

	/** Time after which a worker without an answer passes its turn on, in milliseconds. */
	private get turnMs(): number {
		return Math.min(maxTurnMs, Math.max(minTurnMs, this.answerMs * answerTimeFactor));
	}

	private noteAnswerTime(ms: number): void {
		// A worker that answers again after seconds says nothing of the time in which others answer.
		this.answerMs += (Math.min(ms, maxTurnMs) - this.answerMs) * answerWeight;
	}

	private grantTurns(): void {
		const { responsive, unresponsive } = this;
		grantUpTo(responsive, maxConcurrentTurns);
		grantUpTo(unresponsive, maxConcurrentTurns - responsive.polled);
	}
}

/** Grants turns to the workers that wait in a lane, up to this number of turns under way. */
function grantUpTo(lane: Lane, limit: number): void {
	for (const grant of lane.waiting.splice(0, Math.max(0, limit - lane.polled))) {
		lane.polled += 1;
		grant();
	}
}
