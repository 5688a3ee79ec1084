/**
 * What became of the workers under a task's runs. A task may bring each worker down that starts it, and what runs beside
 * it goes down too: so runs whose worker crashed are counted, whatever the estimate says of whose fault it was, and a task
 * that has such a run is stored before each further start. Runs are kept by number, so that one told of twice counts once.
 */

/** Workers that may have crashed under a task before it is given up, whoever is to blame. */
const maxCrashes = 4;

/** A task may be given up under which so many workers are known to have crashed. */
const minKnownCrashes = 2;

/** After so many crashes only a few starts are left, also of runs that then end in another way. */
const crashesBeforeStartLimit = 3;
const maxStartsUnderLimit = 2;

/** So many runs of which it is in doubt whether they were there when their worker went down count as one crash. */
const possibleCrashesPerCrash = 2;

/** Crashes that name the task itself, after which it is given up. */
const maxAttributedCrashes = 2;

/**
 * A run that is at work for long after the moment at which earlier ones went down clears the task: a fault of its own would
 * have struck again. Twice that time and a second, and never more than this, in milliseconds.
 */
const clearFactor = 2;
const clearMarginMs = 1_000;
export const maxTimeToClearMs = 5_000;

/** A history as stored. */
export interface StoredCrashes {
	/** Runs under which a worker went down, or may have. */
	crashed: number[];
	/** Those of them that seem to have brought it down. */
	blamed: number[];
	/** Runs that were stored before their start and are not known to have ended otherwise. */
	tries: number[];
	/** Runs that may have ended before their worker went down; absent: there are none. */
	doubtful?: number[];
	/** Workers of the runs that were stored before their start, by run; absent: an older version stored them. */
	triedOn?: Record<string, string>;
}

/**
 * What became of a run that was started by an earlier owner and is nowhere. `crashed`: its worker went down unheard, or
 * that can't be told. `in-doubt`: its worker hung before it did. `not-started`: its worker lives, and does not know it.
 */
export type TryOutcome = 'crashed' | 'in-doubt' | 'not-started';

/** The history of one task; tasks whose workers stay up have none. */
export class CrashHistory {
	private readonly crashedRuns: Set<number>;
	private readonly attributedRuns: Set<number>;
	/** Runs that were stored before their start, and the worker of each; empty: it is not known. */
	private readonly tries: Map<number, string>;
	private readonly possiblyCrashedRuns: Set<number>;
	/** How long after its start the latest of the crashes came, in milliseconds; infinite: not known of each. */
	private latestCrashMs: number;

	private constructor(stored: StoredCrashes) {
		this.crashedRuns = new Set(stored.crashed);
		this.attributedRuns = new Set(stored.blamed);
		this.tries = new Map(stored.tries.map((run) => [run, stored.triedOn?.[String(run)] ?? '']));
		this.possiblyCrashedRuns = new Set(stored.doubtful);
		this.latestCrashMs = stored.crashed.length > 0 ? Infinity : 0;
	}

	static create(stored: StoredCrashes = { crashed: [], blamed: [], tries: [] }): CrashHistory {
		return new CrashHistory(stored);
	}

	/** Workers that went down under the task; those of which that is in doubt count for a part. */
	get crashed(): number {
		return this.crashedRuns.size + Math.floor(this.possiblyCrashedRuns.size / possibleCrashesPerCrash);
	}

	/** Workers that went down under the task, or may have. */
	get lost(): number {
		return this.crashedRuns.size + this.possiblyCrashedRuns.size;
	}

	/** How often the task itself seems to have been the cause. */
	get blamed(): number {
		return this.attributedRuns.size;
	}

	/** Whether nothing is held against the task any more. */
	get isEmpty(): boolean {
		return this.lost + this.tries.size === 0;
	}

	/** Why the task is not to be started again; undefined: it may be. */
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

	/** A run that has been at work for so long clears the task, in milliseconds. */
	get clearedAfterMs(): number {
		return Math.min(maxTimeToClearMs, clearFactor * this.latestCrashMs + clearMarginMs);
	}

	/**
	 * A worker went down under a run; `isBlamed`: the run seems to have brought it down; `afterMs`: so long after its start
	 * at most, infinite if that is not known.
	 */
	noteCrash(run: number, isAttributed: boolean, afterMs = Infinity): void {
		this.latestCrashMs = Math.max(this.latestCrashMs, afterMs);
		this.removeTry(run);
		this.crashedRuns.add(run);
		if (isAttributed) this.attributedRuns.add(run);
	}

	/** A worker went down that had ceased to answer before: the run may have ended unheard by then. */
	notePossibleCrash(run: number): void {
		this.removeTry(run);
		if (!this.crashedRuns.has(run)) this.possiblyCrashedRuns.add(run);
	}

	/** A run is about to be started on a worker. */
	noteTry(run: number, worker: string): void {
		this.tries.set(run, worker);
	}

	/** A run was never started. */
	noteNotStarted(run: number): void {
		this.tries.delete(run);
	}

	/** A run ended and its worker lives, also if it was taken for crashed before. */
	noteExit(run: number): void {
		this.crashedRuns.delete(run);
		this.attributedRuns.delete(run);
		this.possiblyCrashedRuns.delete(run);
		this.removeTry(run);
	}

	/** It is known what became of a stored start; where few starts are left, each of them goes on counting. */
	private removeTry(run: number): void {
		if (!this.isStartLimited) this.tries.delete(run);
	}

	/** Runs that were started by an earlier owner are nowhere; `fateOf`: what became of one on that worker, if that is known. */
	resolveTries(outcomeOf: (worker: string) => TryOutcome | undefined): void {
		for (const [run, worker] of [...this.tries]) {
			// Few starts are left then, and each goes on counting.
			if (this.isStartLimited) return;
			const outcome = outcomeOf(worker);
			if (outcome === 'crashed') this.noteCrash(run, false);
			if (outcome === 'in-doubt') this.notePossibleCrash(run);
			if (outcome === 'not-started') this.noteNotStarted(run);
		}
	}

	/** Whether a run may have been started on that worker by an earlier owner. */
	wasTriedOn(worker: string): boolean {
		return [...this.tries.values()].includes(worker);
	}

	/** The task outlived the moment at which it seemed to crash its workers. */
	clearAttribution(): void {
		this.attributedRuns.clear();
	}

	toStored(): StoredCrashes {
		return {
			crashed: [...this.crashedRuns],
			blamed: [...this.attributedRuns],
			tries: [...this.tries.keys()],
			...(this.tries.size > 0 && { triedOn: Object.fromEntries(this.tries) }),
			...(this.possiblyCrashedRuns.size > 0 && { doubtful: [...this.possiblyCrashedRuns] }),
		};
	}
}
