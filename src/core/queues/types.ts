/** The operators' configuration as the box needs it. */
import type * as jobs from '../jobs/types.js';

/** Where a queue is reached. */
export interface QueueRoute {
	/** Lower case, without a port. */
	host: string;
	/** Path of the queue; a job's path goes on from it with the job's id. */
	prefix: string;
	policy: jobs.QueuePolicy;
}

/** A pool of workers. */
export interface Pool {
	name: string;
	/** Its workers refuse what does not fit them; otherwise they start whatever they are told. */
	hasAdmissionCheck: boolean;
	/** Its machines are off until somebody moves them elsewhere. */
	headroom: boolean;
}

/** Limits on what callers send. */
export interface CallerLimits {
	maxHeaderBytes: number;
	maxBodyBytes: number;
	headerTimeoutMs: number;
	idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface Configuration {
	version: number;
	routes: QueueRoute[];
	pools: Pool[];
	limits: CallerLimits;
	/** Why queues or pools of it can't be read, one text each; the others are in force. */
	skippedReasons: string[];
}
