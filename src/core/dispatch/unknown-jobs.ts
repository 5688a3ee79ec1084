/**
 * Jobs that workers report and the owner does not know. A predecessor may have been told of a job, and started it, just
 * before it was fenced; its record is in the store then, as it was stored before anybody was told. Until the store has
 * answered, a report that names such a job says nothing: its runs are not stopped and its ends are not forgotten.
 */
import * as jobs from '../jobs/index.js';
import type * as fleet from '../fleet/types.js';
import type * as ledger from '../ledger/index.js';
import type * as platform from '../platform/types.js';
import type * as results from '../result.js';

/** Reads all that is kept of a job; undefined: it is not kept (any more). */
export type ReadJob = (
	id: string,
) => Promise<results.Result<ledger.StoredJob | undefined, platform.StoreFailure>>;

/** What looking up uses. */
export interface UnknownJobsOptions {
	readJob: ReadJob;
	isKnown: (job: string) => boolean;
	/** A job was found in the store. */
	onFound: (stored: ledger.StoredJob) => void;
}

/** Looks unknown jobs up, each once. */
export class UnknownJobs {
	private readonly lookupsInFlight = new Set<string>();
	/** Jobs that are not kept, or can't be worked on: what still runs of them is to be stopped. */
	private readonly excludedJobs = new Set<string>();

	private constructor(private readonly opts: UnknownJobsOptions) {}

	static create(opts: UnknownJobsOptions): UnknownJobs {
		return new UnknownJobs(opts);
	}

	/** A job is stored and can't be worked on. */
	exclude(job: string): void {
		this.excludedJobs.add(job);
	}

	/** Whether a report names no job that has to be looked up first; looks up those that it does. */
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
		// Without an answer the next report asks again.
		if (!res.ok) return;
		if (res.value === undefined) this.excludedJobs.add(job);
		else this.opts.onFound(res.value);
	}
}
