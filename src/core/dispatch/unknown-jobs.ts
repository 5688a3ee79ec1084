/**
 * Jobs that workers report and the owner does not know. A previous owner may have been notified of a job, and started it,
 * just before it was fenced. The record of such a job is in the store, as it is stored before any owner is notified. Until
 * the store has answered, a report that names an unknown job proves nothing: its runs are not stopped and its exits are not
 * acknowledged.
 */
import * as jobs from '../jobs/index.js';
import type * as fleet from '../fleet/types.js';
import type * as ledger from '../ledger/index.js';
import type * as platform from '../platform/types.js';
import type * as results from '../result.js';

/** Reads everything that is stored of a job; undefined: nothing is stored, or not any more. */
export type ReadJob = (
	id: string,
) => Promise<results.Result<ledger.StoredJob | undefined, platform.StoreFailure>>;

export interface UnknownJobsOptions {
	readJob: ReadJob;
	isKnown: (job: string) => boolean;
	/** Called with a job that was found in the store. */
	onFound: (stored: ledger.StoredJob) => void;
}

/** Looks up unknown jobs, each once. */
export class UnknownJobs {
	private readonly lookupsInFlight = new Set<string>();
	/** Jobs that are not stored, or cannot be worked on: their remaining runs are to be stopped. */
	private readonly excludedJobs = new Set<string>();

	private constructor(private readonly opts: UnknownJobsOptions) {}

	static create(opts: UnknownJobsOptions): UnknownJobs {
		return new UnknownJobs(opts);
	}

	/** Excludes a job that is stored and cannot be worked on. */
	exclude(job: string): void {
		this.excludedJobs.add(job);
	}

	/**
	 * Returns whether a report names no job that has to be looked up first; starts the lookup of those that it does name.
	 */
	checkJobsKnown(report: fleet.WorkerReport): boolean {
		let areJobsKnown = true;
		for (const { task } of [...report.running, ...report.ended]) {
			const job = jobs.parseTaskName(task)?.job;
			if (job === undefined || this.opts.isKnown(job) || this.excludedJobs.has(job)) continue;
			areJobsKnown = false;
			if (!this.lookupsInFlight.has(job)) void this.lookUp(job);
		}
		return areJobsKnown;
	}

	private async lookUp(job: string): Promise<void> {
		this.lookupsInFlight.add(job);
		const res = await this.opts.readJob(job);
		this.lookupsInFlight.delete(job);
		// If the store fails, the next report triggers another lookup.
		if (!res.ok) return;
		if (res.value === undefined) this.excludedJobs.add(job);
		else this.opts.onFound(res.value);
	}
}
