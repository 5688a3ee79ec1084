/** What the boxes keep in the platform's store, and what a write to it comes to. */
import type * as jobs from '../jobs/types.js';

/** The count of takeovers. The generation is the epoch that workers check, and it starts the run numbers. */
export interface EpochRecord {
	generation: number;
	/** The box that took over. */
	box: string;
	/** The strongest processor (cores) among all boxes, as that box knew it; absent: stored by an older version. */
	strongest?: number;
	/**
	 * Generation from which on every owner has stored the worker of a lasting task before starting it there; absent: the
	 * newest owner is of an older version, which does not.
	 */
	workersStoredSince?: number;
}

/** Who owns the dispatching now. */
export interface OwnerRecord {
	generation: number;
	box: string;
	/** Where its peers connect, `host:port`. */
	peer: string;
}

/** A worker that may hold work. */
export interface RosterEntry {
	id: string;
	address: string;
	/** The only tasks that may run there, by name: the entry is closed. Absent: any task may, the entry is open. */
	tasks?: string[];
}

/** All that is kept of one job. */
export interface StoredJob {
	record: jobs.JobRecord;
	progress?: jobs.ProgressRecord;
	/** Version of the stored progress; 0: there is none. */
	progressVersion: number;
	cancelled: boolean;
}

/** A job whose record can't be worked on. */
export interface UnreadableJob {
	id: string;
	reason: string;
}

/** A write that failed. `not-stored`: it is not kept and never will be. `unknown`: it may be kept now, or a little later. */
export type WriteFailure = { type: 'not-stored'; reason: string } | { type: 'unknown'; reason: string };

/** What a hand-in came to. `known`: the job was there already. */
export type AcceptOutcome = { type: 'accepted' } | { type: 'known' } | WriteFailure;

/** What a cancellation came to. */
export type CancelOutcome = { type: 'cancelled' } | { type: 'no-such-job' } | WriteFailure;
