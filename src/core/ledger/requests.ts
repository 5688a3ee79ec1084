/** Reads and writes that any box makes on behalf of its callers, whichever box is the owner. */
import * as keys from './keys.js';
import * as records from './records.js';
import * as results from '../result.js';
import * as wire from '../wire/frame.js';
import type * as jobs from '../jobs/types.js';
import type * as platform from '../platform/types.js';
import type * as types from './types.js';

/**
 * Stores a job unless its id is known, or was cancelled before it was stored. Submitting the same id again changes nothing.
 */
export async function accept(
	store: platform.RecordStore,
	record: jobs.JobRecord,
): Promise<types.AcceptOutcome> {
	const key = keys.jobKey(record.id);
	const tombstoneKey = keys.tombstoneKey(record.id);
	const res = await store.commit({
		// A late repetition must not bring back a job whose record has been deleted.
		expected: [
			{ key, version: 0 },
			{ key: keys.progressKey(record.id), version: 0 },
			// The job's cancellation was acknowledged while an earlier copy of this write may have been on its way.
			{ key: tombstoneKey, version: 0 },
		],
		writes: [{ key, value: wire.encodeValue(record) }],
		removes: [],
	});
	if (!res.ok) return toWriteFailure(res.err);
	if (res.value.type === 'committed') return { type: 'accepted' };
	const present = res.value.type === 'conflict' ? res.value.current.map((item) => item.key) : [];
	const isBuried = present.length > 0 && present.every((one) => one === tombstoneKey);
	return { type: isBuried ? 'cancelled' : 'known' };
}

/** Stores a request to cancel a job that is stored. */
export async function cancel(store: platform.RecordStore, id: string): Promise<types.CancelOutcome> {
	const job = await store.get(keys.jobKey(id));
	// Nothing has been written yet.
	if (!job.ok) return { type: 'not-stored', reason: job.err.reason };
	if (job.value === undefined) return { type: 'no-such-job' };
	const key = keys.cancelKey(id);
	const res = await store.commit({
		expected: [
			{ key, version: 0 },
			// A late repetition must not cancel a later job of this id.
			{ key: job.value.key, version: job.value.version },
		],
		writes: [{ key, value: new Uint8Array(0) }],
		removes: [],
	});
	if (!res.ok) return toWriteFailure(res.err);
	const outcome = res.value;
	if (outcome.type !== 'conflict' || outcome.current.some((item) => item.key === key))
		return { type: 'cancelled' };
	const isDeleted = outcome.current.length === 0;
	return isDeleted ? { type: 'no-such-job' } : { type: 'not-stored', reason: 'the job was replaced' };
}

/** Whether the job's record is stored, that is, the job was accepted before. */
export async function isJobStored(
	store: platform.RecordStore,
	id: string,
): Promise<results.Result<boolean, platform.StoreFailure>> {
	const job = await store.get(keys.jobKey(id));
	return job.ok ? results.ok(job.value !== undefined) : job;
}

/** Reads a job and its progress; undefined: there is no such job. */
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

/** Failure for a job whose stored record exists and can't be read, so that nothing is known of its state. */
function unreadableJob(reason: string): results.Result<never, platform.StoreFailure> {
	return results.fail({ effect: 'none', reason: `the job's record can't be read: ${reason}` });
}

/** State of a job according to the store. */
export function toJobView(job: types.StoredJob): jobs.JobView {
	const { progress, cancelled } = job;
	if (progress === undefined || progress.state === 'pending')
		return { state: cancelled ? 'cancelled' : 'pending' };
	const { state, failure } = progress;
	return { state, ...(failure !== undefined && { failure }) };
}

export function isWriteFailure(outcome: { type: string }): outcome is types.WriteFailure {
	return outcome.type === 'not-stored' || outcome.type === 'unknown';
}

/** Outcome of a failed write: it was not done, or it is not known whether it was. */
export function toWriteFailure(err: platform.StoreFailure): types.WriteFailure {
	const { effect, reason } = err;
	return effect === 'none' ? { type: 'not-stored', reason } : { type: 'unknown', reason };
}
