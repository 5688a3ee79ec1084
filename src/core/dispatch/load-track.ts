/**
 * The load of a lasting step over time. Its tasks share their users, so at one moment their busy parts differ only by
 * what disturbs each: a low quantile over the tasks is the load, whatever is believed of the neighbours.
 */

/** A report counts for so long, in milliseconds. */
const freshMs = 1_300;

/** The quantile taken for the undisturbed load. */
const undisturbed = 0.35;

/** Estimates follow the quantile within about this, in milliseconds; loads swing over ten seconds and more. */
const followMs = 400;

/** Reports closer together than this count as so far apart, in milliseconds: each moves the estimate a little. */
const leastStepMs = 30;

/** Fewer tasks than this can't tell a load from a disturbance. */
const leastTasks = 3;

/** One step's load. */
export class LoadTrack {
	private readonly reports = new Map<number, { busy: number; at: number }>();
	private load: number | undefined;
	/** When the load was last moved. */
	private at = 0;
	/** How many tasks reported lately. */
	private compared = 0;

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): LoadTrack {
		return new LoadTrack();
	}

	/** Takes in a task's busy part. */
	note(task: number, busy: number, now: number): void {
		this.reports.set(task, { busy, at: now });
		const fresh = [...this.reports.values()].filter((one) => now - one.at < freshMs);
		this.compared = fresh.length;
		const sorted = fresh.map((one) => one.busy).sort((a, b) => a - b);
		this.follow(sorted[Math.floor((sorted.length - 1) * undisturbed)] ?? busy, now);
	}

	/** The load now, if there are enough tasks to tell it from a disturbance. */
	get comparable(): number | undefined {
		return this.compared < leastTasks ? undefined : this.load;
	}

	/** Moves the load towards the quantile, the further the longer it was not moved. */
	private follow(quantile: number, now: number): void {
		if (this.load === undefined) {
			this.load = quantile;
			this.at = now;
			return;
		}
		const elapsed = Math.max(leastStepMs, now - this.at);
		const part = 1 - Math.exp(-elapsed / followMs);
		this.load += (quantile - this.load) * part;
		this.at = now;
	}
}
