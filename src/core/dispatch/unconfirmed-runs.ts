/**
 * Runs on one life of a worker that were taken for lost while their start might still be under way. A start is refused
 * once its lease is over, unless the worker has been given a newer one meanwhile: that would let it begin although its task
 * may run elsewhere by now. So the worker gets no lease before each of these runs is stopped there; a start that comes
 * after its stop is refused.
 */
import type * as types from './types.js';

/** One run in doubt. */
export interface UnconfirmedRun {
	task: string;
	run: number;
}

/** The runs in doubt of one life. */
export class UnconfirmedRuns {
	private runs: UnconfirmedRun[];

	private constructor(inherited: readonly UnconfirmedRun[]) {
		this.runs = [...inherited];
	}

	/** `known`: from an earlier session with the same life. */
	static create(inherited: readonly UnconfirmedRun[]): UnconfirmedRuns {
		return new UnconfirmedRuns(inherited);
	}

	/** Whether there are any. */
	get hasAny(): boolean {
		return this.runs.length > 0;
	}

	/** All of them. */
	all(): readonly UnconfirmedRun[] {
		return this.runs;
	}

	/** Placements are taken for lost: those whose start was neither answered nor stopped are in doubt. */
	add(lost: readonly types.Placement[]): void {
		const unconfirmed = lost.filter((one) => one.confirmedAt === 0 && one.stopConfirmedAt === 0);
		this.runs.push(...unconfirmed.map(({ task, run }) => ({ task: task.name, run })));
	}

	/** Stops them one after the other until one stop isn't answered; `stop` tells whether it was. */
	async stopEach(stop: (run: UnconfirmedRun) => Promise<boolean>): Promise<void> {
		for (const run of [...this.runs]) {
			if (!(await stop(run))) return;
			this.runs = this.runs.filter((one) => one !== run);
		}
	}
}
