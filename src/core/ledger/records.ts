/** Decodes what is stored; a record of ours that does not decode breaks an invariant, as only the boxes write there. */
import * as results from '../result.js';
import * as wire from '../wire/frame.js';
import type * as jobs from '../jobs/types.js';
import type * as types from './types.js';

/** An accepted job. */
export function decodeJob(bytes: Uint8Array): jobs.JobRecord {
	return decode(bytes) as jobs.JobRecord;
}

/** A job's progress. */
export function decodeProgress(bytes: Uint8Array): jobs.ProgressRecord {
	return decode(bytes) as jobs.ProgressRecord;
}

/** The count of takeovers. */
export function decodeEpoch(bytes: Uint8Array): types.EpochRecord {
	return decode(bytes) as types.EpochRecord;
}

/** Who owns the dispatching. */
export function decodeOwner(bytes: Uint8Array): types.OwnerRecord {
	return decode(bytes) as types.OwnerRecord;
}

/** The workers that may hold work. */
export function decodeRoster(bytes: Uint8Array): types.RosterEntry[] {
	return decode(bytes) as types.RosterEntry[];
}

/** Any record of ours. */
export function decode(bytes: Uint8Array): unknown {
	const value = wire.decodeValue(bytes);
	results.invariant(value.ok, 'a stored record decodes');
	return value.value;
}
