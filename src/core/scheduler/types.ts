/** What a shard's owner knows beside the committed state, and its settings. */
import type * as placement from '../placement/index.js';
import type * as workers from '../worker/index.js';

/** Settings of an owner; each is a flag of `woodcross-scheduler`. */
export interface OwnerOptions {
	/** Milliseconds between heartbeats to a worker. */
	heartbeatMs: number;
	/** Length of a batch task's lease on its worker, in milliseconds. */
	leaseMs: number;
	/** Renewal horizon: milliseconds after the send of the last committed entry during which leases are renewed. */
	horizonMs: number;
	/** Margin added to every wait that stands in for a proof, in milliseconds. */
	marginMs: number;
	/** Largest difference of two clocks' rates, as a part of one. */
	maxClockDrift: number;
	/** Milliseconds without an answer after which a worker counts as unreachable. */
	unreachableMs: number;
	/** Least milliseconds between two appends of a shard: its part of the platform's write rate. */
	minAppendIntervalMs: number;
	/** Milliseconds a request waits for its entry before it is answered as not stored. */
	requestTimeoutMs: number;
	/** Distinct jobs failing on a worker that put it in quarantine. */
	quarantineAfterJobs: number;
	/** Milliseconds for which ended jobs are kept for `status`. */
	keepEndedMs: number;
	/** Milliseconds for which a claimed Idempotency-Key is kept. */
	keepClaimsMs: number;
}

/** A worker of the platform's list. */
export interface ListedWorker {
	id: string;
	address: string;
	rack: string;
	capacity: placement.Resources;
	leaving: boolean;
}

/** What the owner knows of a worker, beside the log. Times are the owner's monotonic clock unless said otherwise. */
export interface WorkerView {
	listed: ListedWorker;
	/** Whether it is still in the platform's list. */
	isListed: boolean;
	/** Whether it has been told of as unreachable since its last answer. */
	isUnreachableLogged: boolean;
	/** Whether it has answered since the last decisions. */
	hasNewAnswer: boolean;
	/** Whether it has accepted a message of this epoch: older epochs can't reach it any more. */
	fenced: boolean;
	incarnation?: string;
	/** When the newest answer arrived. */
	lastAnswerAt: number;
	/** The worker's own clock in that answer. */
	workerClockAtAnswer: number;
	/** Sequence number of the newest accepted exchange. */
	lastAcceptedSeq: number;
	/** No lease that this owner gave ends later than this. */
	leaseEndsBy: number;
	reports: Map<string, workers.TaskReport>;
	/** Sequence number of the newest exchange that carried a start of `task#attempt`. */
	lastStartSeq: Map<string, number>;
	/** Highest use measured, by task. */
	peakUsage: Map<string, { cores: number; memoryMb: number }>;
	/** Throttle share last asked of the worker, by `task#attempt`. */
	sentShares: Map<string, number>;
}

/** Key of an attempt. */
export function attemptKey(task: string, attempt: number): string {
	return `${task}#${attempt}`;
}

/** A view of a worker that has not answered yet. */
export function newWorkerView(listed: ListedWorker): WorkerView {
	return {
		listed,
		isListed: true,
		isUnreachableLogged: false,
		hasNewAnswer: false,
		fenced: false,
		lastAnswerAt: -Infinity,
		workerClockAtAnswer: 0,
		lastAcceptedSeq: 0,
		leaseEndsBy: -Infinity,
		reports: new Map(),
		lastStartSeq: new Map(),
		peakUsage: new Map(),
		sentShares: new Map(),
	};
}
