/** The highest use of cores in the last seconds, by pool. */

/**
 * How long a use counts, in milliseconds: about one run of the usual preemptible tasks, so that a gap between runs that end
 * and those that start does not count as lost capacity.
 */
const countsForMs = 3_000;

interface NotedUse {
	at: number;
	cores: ReadonlyMap<string, number>;
}

/** Recently used cores of one kind of work. */
export class RecentUse {
	private noted: NotedUse[] = [];

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): RecentUse {
		return new RecentUse();
	}

	/** Notes the cores in use, by pool. */
	note(cores: ReadonlyMap<string, number>, now: number): void {
		this.noted = this.noted.filter((one) => now - one.at < countsForMs);
		this.noted.push({ at: now, cores });
	}

	/** Most cores that were in use in a pool; 0: none were. */
	highest(pool: string, now: number): number {
		const recent = this.noted.filter((one) => now - one.at < countsForMs);
		return recent.reduce((most, one) => Math.max(most, one.cores.get(pool) ?? 0), 0);
	}
}
