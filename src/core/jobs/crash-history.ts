/**
 * Crashes of workers under a task's runs. A task may crash every worker that starts it, and other tasks on that worker are
 * lost with it. So each run whose worker crashed is counted, even where the crash is attributed to another task, and once a
 * task has such a run, each further start is stored before it is sent. Runs are kept by number, so that one reported twice
 * counts once.
 */

/** Crashes under a task after which it is abandoned, whatever their cause. */
const maxCrashes = 4;

/** Confirmed crashes from which on a task's starts may be limited. */
const minKnownCrashes = 2;

/**
 * After this many crashes, confirmed or possible, a task has only a few starts left. A start counts even if its run then
 * exits in another way.
 */
const crashesBeforeStartLimit = 3;
const maxStartsUnderLimit = 2;

/** This many possible crashes count as one: the run may have exited before its worker crashed. */
const possibleCrashesPerCrash = 2;

/** Crashes attributed to the task itself after which it is abandoned. */
const maxAttributedCrashes = 2;

/**
 * A run that works for long enough after the time at which earlier runs crashed clears the task: a fault of its own would
 * have recurred. Long enough is twice the time to the latest crash plus a second, at most 5 s; in milliseconds.
 */
const clearFactor = 2;
const clearMarginMs = 1_000;
export const maxTimeToClearMs = 5_000;

/** Stands for the run of an earlier owner whose number is not known. */
const unknownRun = 0;

/** A crash history as stored. */
export interface StoredCrashes {
	/** Runs under which a worker crashed, or may have. */
	crashed: number[];
	/** The runs of `crashed` to which the crash is attributed. */
	blamed: number[];
	/** Runs whose start was stored before it was sent, and whose outcome is not known to be anything but a crash. */
	tries: number[];
	/** Runs that may have exited before their worker crashed; absent: there are none. */
	doubtful?: number[];
	/** The runs of `tries` whose worker ceased to answer just after their start; absent: there are none. */
	suspected?: number[];
	/** Workers of `tries`, by run; absent: an older version stored the history. */
	triedOn?: Record<string, string>;
}

/**
 * Outcome of a run that an earlier owner started and that no worker reports. `crashed`: its worker crashed before it
 * reported to this owner, or it is not known what happened. `in-doubt`: its worker hung before it crashed. `not-started`:
 * its worker is alive and does not know the run.
 */
export type TryOutcome = 'crashed' | 'in-doubt' | 'not-started';

/** The crash history of one task. A task under which no worker crashed has none. */
export class CrashHistory {
	private readonly crashedRuns: Set<number>;
	private readonly attributedRuns: Set<number>;
	/** Runs whose start was stored before it was sent, and the worker of each; empty: the worker is not known. */
	private readonly tries: Map<number, string>;
	/** The runs of `tries` to which a crash of their worker would be attributed. */
	private readonly suspectedRuns: Set<number>;
	private readonly possiblyCrashedRuns: Set<number>;
	/** Longest time from a run's start to its crash, in milliseconds; infinite: it is not known for every crash. */
	private latestCrashMs: number;

	private constructor(stored: StoredCrashes) {
		this.crashedRuns = new Set(stored.crashed);
		this.attributedRuns = new Set(stored.blamed);
		this.tries = new Map(stored.tries.map((run) => [run, stored.triedOn?.[String(run)] ?? '']));
		this.suspectedRuns = new Set(stored.suspected);
		this.possiblyCrashedRuns = new Set(stored.doubtful);
		this.latestCrashMs = stored.crashed.length > 0 ? Infinity : 0;
	}

	static create(stored: StoredCrashes = { crashed: [], blamed: [], tries: [] }): CrashHistory {
		return new CrashHistory(stored);
	}

	/** Number of crashes; possible crashes count in part. */
	get crashed(): number {
		return this.crashedRuns.size + Math.floor(this.possiblyCrashedRuns.size / possibleCrashesPerCrash);
	}

	/**
	 * Number of crashes of workers on which the task is known to have run. Where a worker was lost with whatever an earlier
	 * owner had started there, a crash counts for each task that may have been among it, and few of them were.
	 */
	get observed(): number {
		return this.crashed - Number(this.crashedRuns.has(unknownRun));
	}

	/** Number of crashes, possible ones included. */
	get lost(): number {
		return this.crashedRuns.size + this.possiblyCrashedRuns.size;
	}

	/** Number of crashes attributed to the task itself. */
	get blamed(): number {
		return this.attributedRuns.size;
	}

	/** Whether the history holds no crash and no pending start. */
	get isEmpty(): boolean {
		return this.lost + this.tries.size === 0;
	}

	/** Why the task must not be started again; undefined: it may be. */
	get abandonReason(): string | undefined {
		if (this.blamed >= maxAttributedCrashes) return 'it brought them down';
		const areKnown = this.crashedRuns.size >= crashesBeforeStartLimit;
		if (this.crashed >= maxCrashes || (areKnown && this.lost >= maxCrashes))
			return 'too many to go on, whatever the cause';
		const areStartsUsedUp = this.isStartLimited && this.tries.size >= maxStartsUnderLimit;
		return areStartsUsedUp ? 'no more starts are left' : undefined;
	}

	/** Whether so many workers may have crashed that each further start counts. */
	private get isStartLimited(): boolean {
		return this.crashedRuns.size >= minKnownCrashes && this.lost >= crashesBeforeStartLimit;
	}

	/** A run that has worked for this many milliseconds clears the task. */
	get clearedAfterMs(): number {
		return Math.min(maxTimeToClearMs, clearFactor * this.latestCrashMs + clearMarginMs);
	}

	/**
	 * Notes that a worker crashed under a run. `isAttributed`: the crash is attributed to this run. `afterMs`: upper bound
	 * of the time since the run's start; infinite: not known.
	 */
	noteCrash(run: number, isAttributed: boolean, afterMs = Infinity): void {
		this.latestCrashMs = Math.max(this.latestCrashMs, afterMs);
		this.removeTry(run);
		this.crashedRuns.add(run);
		if (isAttributed) this.attributedRuns.add(run);
	}

	/** Notes that a worker may have crashed under a run of an earlier owner that was never reported to this one. */
	noteUnreportedCrash(): void {
		this.noteCrash(unknownRun, false);
	}

	/** Notes that a worker crashed after it had become unresponsive: the run may have exited unreported before the crash. */
	notePossibleCrash(run: number): void {
		this.removeTry(run);
		if (!this.crashedRuns.has(run)) this.possiblyCrashedRuns.add(run);
	}

	/** Notes that a run is about to be started on a worker. */
	noteTry(run: number, worker: string): void {
		this.tries.set(run, worker);
	}

	/**
	 * Notes that a worker ceased to answer just after the start of a run: if it turns out to have crashed, the crash is
	 * attributed to this run. Until that is proved, another owner may take over.
	 */
	noteSuspected(run: number, worker: string): void {
		this.noteTry(run, worker);
		this.suspectedRuns.add(run);
	}

	/** Notes that a run was never started. Returns whether it was counted as one that may have been. */
	noteNotStarted(run: number): boolean {
		this.suspectedRuns.delete(run);
		return this.tries.delete(run);
	}

	/** Notes that a run exited and its worker is alive, also if the run was presumed crashed before. */
	noteExit(run: number): void {
		this.crashedRuns.delete(run);
		this.attributedRuns.delete(run);
		this.possiblyCrashedRuns.delete(run);
		this.removeTry(run);
	}

	/** Removes a stored start whose outcome is known. Where starts are limited it stays, and goes on counting. */
	private removeTry(run: number): void {
		this.suspectedRuns.delete(run);
		if (!this.isStartLimited) this.tries.delete(run);
	}

	/**
	 * Resolves the stored starts of runs that no worker reports. `outcomeOf`: outcome of such a run on that worker;
	 * undefined: not known yet.
	 */
	resolveTries(outcomeOf: (worker: string) => TryOutcome | undefined): void {
		for (const [run, worker] of [...this.tries]) {
			// Starts are limited from here on, and each goes on counting.
			if (this.isStartLimited) return;
			const outcome = outcomeOf(worker);
			if (outcome === 'crashed') this.noteCrash(run, this.suspectedRuns.has(run));
			if (outcome === 'in-doubt') this.notePossibleCrash(run);
			if (outcome === 'not-started') this.noteNotStarted(run);
		}
	}

	/** Whether an earlier owner may have started a run on that worker. */
	wasTriedOn(worker: string): boolean {
		return [...this.tries.values()].includes(worker);
	}

	/** A run worked past the time at which the task seemed to crash its workers. */
	clearAttribution(): void {
		this.attributedRuns.clear();
	}

	toStored(): StoredCrashes {
		return {
			crashed: [...this.crashedRuns],
			blamed: [...this.attributedRuns],
			tries: [...this.tries.keys()],
			...(this.tries.size > 0 && { triedOn: Object.fromEntries(this.tries) }),
			...(this.suspectedRuns.size > 0 && { suspected: [...this.suspectedRuns] }),
			...(this.possiblyCrashedRuns.size > 0 && { doubtful: [...this.possiblyCrashedRuns] }),
		};
	}
}
