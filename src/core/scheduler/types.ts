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
	clockRate: number;
	/** Milliseconds without an answer after which a worker counts as unreachable. */
	unreachableMs: number;
	/** Minimum interval between two appends of a shard, in milliseconds: the shard's part of the platform's write rate. */
	appendGapMs: number;
	/** Milliseconds that a request waits for its entry before it is answered as not stored. */
	requestWaitMs: number;
	/** Number of distinct jobs failing on a worker that puts it in quarantine. */
	quarantineJobs: number;
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
	capacity: placement.Amount;
	leaving: boolean;
}

/** What the owner knows about a worker beside the log. Times are on the owner's monotonic clock unless stated otherwise. */
export interface WorkerView {
	listed: ListedWorker;
	/** Whether the worker is still in the platform's list. */
	present: boolean;
	/** Whether the worker has been logged as unreachable since its last answer. */
	unreachable: boolean;
	/** Whether the worker has answered since the last decisions. */
	fresh: boolean;
	/** Whether the worker has accepted a message of this epoch, which means that it refuses messages of older epochs. */
	fenced: boolean;
	incarnation?: string;
	/** Time at which the newest answer arrived. */
	answeredAt: number;
	/** The worker's own clock in that answer. */
	workerNow: number;
	/** Sequence number of the newest accepted exchange. */
	answeredSeq: number;
	/** Every lease that this owner granted ends by this time; once fenced, earlier owners' leases do too. */
	leaseEndsBy: number;
	reports: Map<string, workers.TaskReport>;
	/** Sequence number of the newest exchange that carried a start, by `task#attempt`. */
	startSeq: Map<string, number>;
	/** Highest measured use, by task. */
	peaks: Map<string, { cores: number; memoryMb: number }>;
	/** Throttle share last sent and accepted, by `task#attempt`. */
	throttled: Map<string, number>;
}

export function attemptKey(task: string, attempt: number): string {
	return `${task}#${attempt}`;
}

/** Creates the view of a worker that has not answered yet. */
export function newView(listed: ListedWorker): WorkerView {
	return {
		listed,
		present: true,
		unreachable: false,
		fresh: false,
		fenced: false,
		answeredAt: -Infinity,
		workerNow: 0,
		answeredSeq: 0,
		leaseEndsBy: -Infinity,
		reports: new Map(),
		startSeq: new Map(),
		peaks: new Map(),
		throttled: new Map(),
	};
}
