/** What a shard's owner knows beside the committed state, and its options. */
import type * as placement from '../placement/index.js';
import type * as workers from '../worker/index.js';

/** Options of an owner; most come from flags of `woodcross-scheduler`. */
export interface OwnerOptions {
	/** Milliseconds between heartbeats to a worker. */
	heartbeatMs: number;
	/** Length of a batch task's lease on its worker, in milliseconds. */
	leaseMs: number;
	/** Renewal horizon: milliseconds after the send of the last committed entry during which leases are renewed. */
	horizonMs: number;
	/** Margin added to every wait that stands in for a proof, in milliseconds. */
	marginMs: number;
	/** Largest difference between the rates of two clocks, as a fraction. */
	maxClockDrift: number;
	/** Milliseconds without an answer after which a worker counts as unreachable. */
	unreachableMs: number;
	/** Minimum interval between two appends of a shard, in milliseconds: the shard's part of the platform's write rate. */
	minAppendIntervalMs: number;
	/** Milliseconds that a request waits for its entry before it is answered as not stored. */
	requestTimeoutMs: number;
	/** Number of distinct jobs failing on a worker that puts it in quarantine. */
	quarantineAfterJobs: number;
	/** Milliseconds for which ended jobs are kept for `status`. */
	keepEndedMs: number;
	/** Milliseconds for which a claimed Idempotency-Key is kept. */
	keepClaimsMs: number;
}

/** A worker in the platform's list. */
export interface ListedWorker {
	id: string;
	address: string;
	rack: string;
	capacity: placement.Resources;
	leaving: boolean;
}

/** What the owner knows about a worker beside the log. Times are on the owner's monotonic clock unless stated otherwise. */
export interface WorkerView {
	listed: ListedWorker;
	/** Whether the worker is still in the platform's list. */
	isListed: boolean;
	/** Whether the worker has been logged as unreachable since its last answer. */
	isUnreachableLogged: boolean;
	/** Whether the worker has answered since the last decisions. */
	hasNewAnswer: boolean;
	/** Whether the worker has accepted a message of this epoch, which means that it refuses messages of older epochs. */
	fenced: boolean;
	incarnation?: string;
	/** Time at which the newest answer arrived. */
	lastAnswerAt: number;
	/** The worker's own clock in that answer. */
	workerClockAtAnswer: number;
	/** Sequence number of the newest accepted exchange. */
	lastAcceptedSeq: number;
	/** Every lease that this owner granted ends by this time; once fenced, earlier owners' leases do too. */
	leaseEndsBy: number;
	reports: Map<string, workers.TaskReport>;
	/** Sequence number of the newest exchange that carried a start, by `task#attempt`. */
	lastStartSeq: Map<string, number>;
	/** Highest measured use, by task. */
	peakUsage: Map<string, { cores: number; memoryMb: number }>;
	/** Throttle share last sent and accepted, by `task#attempt`. */
	sentShares: Map<string, number>;
}

export function attemptKey(task: string, attempt: number): string {
	return `${task}#${attempt}`;
}

/** Creates the view of a worker that has not answered yet. */
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
