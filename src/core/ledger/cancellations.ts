/** Cancellations of jobs by callers, whether or not the job is stored. */
import * as requests from './requests.js';
import * as tombstones from './tombstones.js';
import type * as types from './types.js';

/** Stores the cancellations that one box is asked for. */
export class Cancellations {
	private readonly tombstones: tombstones.Tombstones;

	private constructor(private readonly opts: tombstones.TombstonesOptions) {
		this.tombstones = tombstones.Tombstones.create(opts);
	}

	static create(opts: tombstones.TombstonesOptions): Cancellations {
		return new Cancellations(opts);
	}

	/** Whether cancellations of jobs that are not stored are refused, as there were too many. */
	get isLimited(): boolean {
		return this.tombstones.isLimited;
	}

	/**
	 * Stores a request to cancel a job. `no-such-job`: the job is not stored, and no submission of it that was sent before
	 * takes effect.
	 */
	async cancel(id: string): Promise<types.CancelOutcome> {
		const { store } = this.opts;
		const outcome = await requests.cancel(store, id);
		if (outcome.type !== 'no-such-job') return outcome;
		const buried = await this.tombstones.bury(id);
		if (buried.type === 'stored') return outcome;
		// The store carried out a submission in the meantime.
		if (buried.type === 'job-stored') return requests.cancel(store, id);
		return buried;
	}
}
