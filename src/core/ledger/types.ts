/** Records that the boxes keep in the platform's store, and outcomes of writes to it. */
import type * as jobs from '../jobs/types.js';

/**
 * The epoch record, which counts takeovers. Workers check the generation as fencing token, and run numbers start from it.
 */
export interface EpochRecord {
	generation: number;
	box: string;
	/**
	 * The strongest processor (in cores) among all boxes that the box knew of; absent: an older version stored the record.
	 */
	strongest?: number;
	/**
	 * Every owner of this or a later generation has stored the worker of a long-running task before starting it there.
	 * Absent: the latest owner runs an older version, which does not store it.
	 */
	workersStoredSince?: number;
	/**
	 * Every owner of this or a later generation has granted leases on the basis of its heartbeats only. Absent: the latest
	 * owner runs an older version, which grants leases without.
	 */
	heartbeatsSince?: number;
}

/** The current owner. */
export interface OwnerRecord {
	generation: number;
	box: string;
	/** Address at which its peers connect, `host:port`. */
	peer: string;
}

/** A heartbeat of an owner. An owner that has stored none has granted no lease. */
export interface HeartbeatRecord {
	generation: number;
	/** Number of the heartbeat, from 1 for each owner. */
	count: number;
	/**
	 * Every lease that this owner or an earlier one grants until the next heartbeat is stored ends within this time after this
	 * heartbeat was sent, in milliseconds on the worker's clock; absent: leases of earlier owners may end later.
	 */
	leasesEndWithinMs?: number;
}

/** A worker that may hold runs. */
export interface RosterEntry {
	id: string;
	address: string;
	/**
	 * The only tasks that may run there, by name: the entry is closed. Absent: any task may run there, the entry is open.
	 */
	tasks?: string[];
}

/** All records of one job. */
export interface StoredJob {
	record: jobs.JobRecord;
	progress?: jobs.ProgressRecord;
	/** Version of the stored progress; 0: there is none. */
	progressVersion: number;
	cancelled: boolean;
}

/** A job whose record can't be read. */
export interface UnreadableJob {
	id: string;
	reason: string;
}

/**
 * A failed write. `not-stored`: it did not take effect and never will. `unknown`: it may have taken effect, or may yet do
 * so.
 */
export type WriteFailure = { type: 'not-stored'; reason: string } | { type: 'unknown'; reason: string };

/**
 * Outcome of submitting a job. `known`: the job was stored already. `cancelled`: it was cancelled before it was stored, so it
 * is not stored, and never will be by this request.
 */
export type AcceptOutcome = { type: 'accepted' } | { type: 'known' } | { type: 'cancelled' } | WriteFailure;

/**
 * Outcome of a cancellation. `limited`: nothing was stored, as too many jobs that are not stored were to be cancelled lately.
 */
export type CancelOutcome =
	{ type: 'cancelled' } | { type: 'no-such-job' } | { type: 'limited' } | WriteFailure;
