/**
 * What became of the workers under a task's runs. A task may bring each worker down that starts it, and what runs beside
 * it goes down too: so runs whose worker crashed are counted, whatever the estimate says of whose fault it was, and a task
 * that has such a run is stored before each further start. Runs are kept by number, so that one told of twice counts once.
 */

/** Workers that may have crashed under a task before it is given up, whoever is to blame. */
const mostCrashes = 4;

/** After so many crashes only a few starts are left, also of runs that then end in another way. */
const crashesBeforeBound = 3;
const startsAfterBound = 2;

/** Crashes that name the task itself, after which it is given up. */
const mostBlamed = 2;

/**
 * A run that is at work for long after the moment at which earlier ones went down clears the task: a fault of its own would
 * have struck again. Twice that time and a second, and never more than this, in milliseconds.
 */
const clearFactor = 2;
const clearMarginMs = 1_000;
export const mostToClearMs = 5_000;

/** A history as stored. */
export interface StoredCrashes {
	/** Runs under which a worker went down, or may have. */
	crashed: number[];
	/** Those of them that seem to have brought it down. */
	blamed: number[];
	/** Runs that were stored before their start and are not known to have ended otherwise. */
	tries: number[];
}

/** The history of one task; tasks whose workers stay up have none. */
export class CrashHistory {
	private readonly crashedRuns: Set<number>;
	private readonly blamedRuns: Set<number>;
	private readonly tries: Set<number>;
	/** How long after its start the latest of the crashes came, in milliseconds; infinite: not known of each. */
	private latestMs: number;

	private constructor(stored: StoredCrashes) {
		this.crashedRuns = new Set(stored.crashed);
		this.blamedRuns = new Set(stored.blamed);
		this.tries = new Set(stored.tries);
		this.latestMs = stored.crashed.length > 0 ? Infinity : 0;
	}

	static create(stored: StoredCrashes = { crashed: [], blamed: [], tries: [] }): CrashHistory {
		return new CrashHistory(stored);
	}

	/** Workers that went down under the task. */
	get crashed(): number {
		return this.crashedRuns.size;
	}

	/** How often the task itself seems to have been the cause. */
	get blamed(): number {
		return this.blamedRuns.size;
	}

	/** Whether nothing is held against the task any more. */
	get empty(): boolean {
		return this.crashedRuns.size + this.tries.size === 0;
	}

	/** Why the task is not to be started again; undefined: it may be. */
	get verdict(): string | undefined {
		if (this.blamed >= mostBlamed) return 'it brought them down';
		if (this.crashed >= mostCrashes) return 'too many to go on, whatever the cause';
		const isSpent = this.crashed >= crashesBeforeBound && this.tries.size >= startsAfterBound;
		return isSpent ? 'no more starts are left' : undefined;
	}

	/** A run that has been at work for so long clears the task, in milliseconds. */
	get clearedAfterMs(): number {
		return Math.min(mostToClearMs, clearFactor * this.latestMs + clearMarginMs);
	}

	/**
	 * A worker went down under a run; `isBlamed`: the run seems to have brought it down; `afterMs`: so long after its start
	 * at most, infinite if that is not known.
	 */
	noteCrash(run: number, isBlamed: boolean, afterMs = Infinity): void {
		this.latestMs = Math.max(this.latestMs, afterMs);
		this.tries.delete(run);
		this.crashedRuns.add(run);
		if (isBlamed) this.blamedRuns.add(run);
	}

	/** A run is about to be started. */
	noteTry(run: number): void {
		this.tries.add(run);
	}

	/** A run was never started. */
	noteNotStarted(run: number): void {
		this.tries.delete(run);
	}

	/** A run ended and its worker lives, also if it was taken for crashed before. */
	noteEnd(run: number): void {
		this.crashedRuns.delete(run);
		this.blamedRuns.delete(run);
		// Few starts are left then, so each of them goes on counting.
		if (this.crashed < crashesBeforeBound) this.tries.delete(run);
	}

	/** A run was started by an earlier owner and is nowhere: its worker went down unseen. */
	settleTries(): void {
		if (this.crashed >= crashesBeforeBound) return;
		for (const run of [...this.tries]) this.noteCrash(run, false);
	}

	/** The task outlived the moment at which it seemed to crash its workers. */
	acquit(): void {
		this.blamedRuns.clear();
	}

	toStored(): StoredCrashes {
		return { crashed: [...this.crashedRuns], blamed: [...this.blamedRuns], tries: [...this.tries] };
	}
}
