/** Writes and reads that any box makes for its callers, whoever the owner is. */
import * as keys from './keys.js';
import * as records from './records.js';
import * as results from '../result.js';
import * as wire from '../wire/frame.js';
import type * as jobs from '../jobs/types.js';
import type * as platform from '../platform/types.js';
import type * as types from './types.js';

/** Keeps a job unless its id is known; a repeated hand-in with the same id changes nothing. */
export async function accept(
	store: platform.RecordStore,
	record: jobs.JobRecord,
): Promise<types.AcceptOutcome> {
	const key = keys.jobKey(record.id);
	const res = await store.commit({
		// A late repetition must not bring back a job whose record has been cleared away.
		expected: [
			{ key, version: 0 },
			{ key: keys.progressKey(record.id), version: 0 },
		],
		writes: [{ key, value: wire.encodeValue(record) }],
		removes: [],
	});
	if (res.ok) return { type: res.value.type === 'committed' ? 'accepted' : 'known' };
	return toWriteFailure(res.err);
}

/** Keeps the wish that a job be cancelled. */
export async function cancel(store: platform.RecordStore, id: string): Promise<types.CancelOutcome> {
	const job = await store.get(keys.jobKey(id));
	// Only read so far.
	if (!job.ok) return { type: 'not-stored', reason: job.err.reason };
	if (job.value === undefined) return { type: 'no-such-job' };
	const key = keys.cancelKey(id);
	const res = await store.commit({
		expected: [{ key, version: 0 }],
		writes: [{ key, value: new Uint8Array(0) }],
		removes: [],
	});
	return res.ok ? { type: 'cancelled' } : toWriteFailure(res.err);
}

/** Whether anything is kept of a job, so that it was taken in before. */
export async function isJobStored(
	store: platform.RecordStore,
	id: string,
): Promise<results.Result<boolean, platform.StoreFailure>> {
	const job = await store.get(keys.jobKey(id));
	return job.ok ? results.ok(job.value !== undefined) : job;
}

/** Reads how a job stands; undefined: there is no such job. */
export async function readJob(
	store: platform.RecordStore,
	id: string,
): Promise<results.Result<types.StoredJob | undefined, platform.StoreFailure>> {
	const [job, progress, cancelled] = await Promise.all([
		store.get(keys.jobKey(id)),
		store.get(keys.progressKey(id)),
		store.get(keys.cancelKey(id)),
	]);
	if (!job.ok) return job;
	if (!progress.ok) return progress;
	if (!cancelled.ok) return cancelled;
	if (job.value === undefined) return results.ok(undefined);
	const record = records.decodeJob(job.value.value);
	const decodedProgress = progress.value && records.decodeProgress(progress.value.value);
	if (!record.ok) return unreadableJob(record.err);
	if (decodedProgress?.ok === false) return unreadableJob(decodedProgress.err);
	return results.ok({
		record: record.value,
		progress: decodedProgress?.value,
		progressVersion: progress.value?.version ?? 0,
		cancelled: cancelled.value !== undefined,
	});
}

/** What is kept of a job can't be read: it is there, and nothing can be said of it. */
function unreadableJob(reason: string): results.Result<never, platform.StoreFailure> {
	return results.fail({ effect: 'none', reason: `the job's record can't be read: ${reason}` });
}

/** State of a job as far as the store tells. */
export function toJobView(job: types.StoredJob): jobs.JobView {
	const { progress, cancelled } = job;
	if (progress === undefined || progress.state === 'pending')
		return { state: cancelled ? 'cancelled' : 'pending' };
	const { state, failure } = progress;
	return { state, ...(failure !== undefined && { failure }) };
}

/** Whether a write failed. */
export function isWriteFailure(outcome: { type: string }): outcome is types.WriteFailure {
	return outcome.type === 'not-stored' || outcome.type === 'unknown';
}

/** What a failed write says: it was not done, or nobody knows. */
function toWriteFailure(err: platform.StoreFailure): types.WriteFailure {
	const { effect, reason } = err;
	return effect === 'none' ? { type: 'not-stored', reason } : { type: 'unknown', reason };
}
