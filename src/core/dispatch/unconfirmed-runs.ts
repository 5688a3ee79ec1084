/**
 * Runs on one incarnation of a worker that were presumed lost while their start might still be in flight. The worker refuses
 * a start once the lease that it names has expired, unless it has been granted a newer lease meanwhile. With a newer lease
 * the run could begin although its task may run elsewhere by then. So the worker gets no lease until each of these runs is
 * stopped there; it refuses a start that arrives after its stop.
 */
import type * as types from './types.js';

/** A run that was presumed lost while its start might still be in flight. */
export interface UnconfirmedRun {
	task: string;
	run: number;
}

/** The unconfirmed runs of one incarnation. */
export class UnconfirmedRuns {
	private runs: UnconfirmedRun[];

	private constructor(inherited: readonly UnconfirmedRun[]) {
		this.runs = [...inherited];
	}

	/** `inherited`: those left by an earlier session with the same incarnation. */
	static create(inherited: readonly UnconfirmedRun[]): UnconfirmedRuns {
		return new UnconfirmedRuns(inherited);
	}

	get hasAny(): boolean {
		return this.runs.length > 0;
	}

	all(): readonly UnconfirmedRun[] {
		return this.runs;
	}

	/** Adds those of the lost placements whose start was neither answered nor stopped. */
	add(lost: readonly types.Placement[]): void {
		const unconfirmed = lost.filter((one) => one.confirmedAt === 0 && one.stopConfirmedAt === 0);
		this.runs.push(...unconfirmed.map(({ task, run }) => ({ task: task.name, run })));
	}

	/** Stops the runs one after the other until a stop is not answered. `stop` returns whether it was answered. */
	async stopEach(stop: (run: UnconfirmedRun) => Promise<boolean>): Promise<void> {
		for (const run of [...this.runs]) {
			if (!(await stop(run))) return;
			this.runs = this.runs.filter((one) => one !== run);
		}
	}
}
