/** The operators' configuration in the form that the box uses. */
import type * as jobs from '../jobs/types.js';

/** Host and path of a queue. */
export interface QueueRoute {
	/** Lower case, without a port. */
	host: string;
	/** Path of the queue. A job's path is this prefix followed by the job's id. */
	prefix: string;
	policy: jobs.QueuePolicy;
}

/** A pool of workers. */
export interface Pool {
	name: string;
	/** Its workers refuse runs that do not fit their free capacity; otherwise they start any run. */
	hasAdmissionCheck: boolean;
	/** Its machines are off until they are moved to another pool. */
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
	/** Why some queues or pools can't be read, one text each. The others are in force. */
	skippedReasons: string[];
}
