/**
 * The order in which a new owner polls the workers of the roster for their first reports.
 *
 * Load pattern: hundreds of workers are polled a few dozen at a time, and some do not answer. A worker that answered the
 * previous owner answers at once and takes new work then, so it comes first. Unresponsive workers come last: first those that
 * the most urgent inherited work waits for, then those whose leases end soonest, as a reason to reach them in time.
 */
import * as jobs from '../jobs/index.js';
import type * as ledger from '../ledger/index.js';

/** What an owner reads at its takeover and the order depends on. */
export type InheritedContents = Pick<ledger.LedgerContents, 'jobs' | 'roster'>;

/** What the order depends on. */
export interface TakeoverOrderOptions {
	contents: InheritedContents;
	/** Priority of a job's queue; 0 is the highest. */
	priorityOf: (record: jobs.JobRecord) => number;
	/** Clock time by which all leases at a worker have expired, by worker, where the previous owner published it. */
	leaseEnds: ReadonlyMap<string, number>;
	/** Workers that the previous owner reported as unresponsive, by id. */
	unresponsiveWorkers: ReadonlySet<string>;
}

/** A roster entry and what it is sorted by. */
interface RankedEntry {
	entry: ledger.RosterEntry;
	isUnresponsive: boolean;
	priority: number;
	leasesEndAt: number;
}

/** The order of one takeover. */
export class TakeoverOrder {
	/** Priority of each unfinished job, by id. */
	private readonly priorities = new Map<string, number>();
	/** Highest priority among unfinished jobs with short tasks, which may be on any worker; `Infinity`: there are none. */
	private shortPriority = Infinity;
	/** Highest priority of the long-running tasks whose stored worker this is, by worker id. */
	private readonly storedPriorities = new Map<string, number>();
	/** Workers whose stored entry was closed: unresponsive, leaving or ended as of the last roster write. */
	private readonly closedWorkers: ReadonlySet<string>;

	private constructor(
		private readonly opts: Omit<TakeoverOrderOptions, 'contents'>,
		contents: InheritedContents,
	) {
		const closed = contents.roster.filter((entry) => entry.tasks !== undefined);
		this.closedWorkers = new Set(closed.map((entry) => entry.id));
		for (const stored of contents.jobs.values()) this.addJob(stored);
	}

	/** Keeps nothing of the contents but priorities: they are megabytes, and the order is kept as long as the owner owns. */
	static create({ contents, ...opts }: TakeoverOrderOptions): TakeoverOrder {
		return new TakeoverOrder(opts, contents);
	}

	/** Whether a worker may not answer, as far as the previous owner reported or stored. */
	mayBeUnresponsive(worker: string): boolean {
		return this.opts.unresponsiveWorkers.has(worker) || this.closedWorkers.has(worker);
	}

	/** Sorts roster entries. Those that are equal in all respects keep their order. */
	sort(roster: readonly ledger.RosterEntry[]): ledger.RosterEntry[] {
		return roster
			.map((entry) => this.rank(entry))
			.sort(compareRanks)
			.map(({ entry }) => entry);
	}

	private rank(entry: ledger.RosterEntry): RankedEntry {
		return {
			entry,
			isUnresponsive: this.mayBeUnresponsive(entry.id),
			priority: this.priorityOn(entry),
			leasesEndAt: this.opts.leaseEnds.get(entry.id) ?? Infinity,
		};
	}

	/** Highest priority of the unfinished tasks that may run on a worker; `Infinity`: none may. */
	private priorityOn({ id, tasks }: ledger.RosterEntry): number {
		const stored = this.storedPriorities.get(id) ?? Infinity;
		if (tasks === undefined) return Math.min(stored, this.shortPriority);
		const named = tasks.map((task) => this.priorities.get(jobs.parseTaskName(task)?.job ?? '') ?? Infinity);
		return Math.min(stored, ...named);
	}

	private addJob({ record, progress, cancelled }: ledger.StoredJob): void {
		if (cancelled || (progress !== undefined && jobs.isFinal(progress.state))) return;
		const priority = this.opts.priorityOf(record);
		this.priorities.set(record.id, priority);
		if (record.steps.some((step) => !step.lasting))
			this.shortPriority = Math.min(this.shortPriority, priority);
		for (const worker of Object.values(progress?.workers ?? {}))
			this.storedPriorities.set(worker, Math.min(priority, this.storedPriorities.get(worker) ?? Infinity));
	}
}

function compareRanks(a: RankedEntry, b: RankedEntry): number {
	if (a.isUnresponsive !== b.isUnresponsive) return a.isUnresponsive ? 1 : -1;
	if (a.priority !== b.priority) return a.priority - b.priority;
	return a.leasesEndAt === b.leasesEndAt ? 0 : a.leasesEndAt - b.leasesEndAt;
}
