/** A shard's committed state, and the changes that its log consists of. */
import type * as tasks from '../task/index.js';

/** A failed attempt of a task. */
export interface FailedAttempt {
	attempt: number;
	worker: string;
	incarnation: string;
	reason: string;
}

/** A placement that an earlier attempt of a service replica may still hold on an unreachable worker. */
export interface HeldPlacement {
	worker: string;
	incarnation: string;
	attempt: number;
}

export interface TaskRecord {
	id: string;
	job: string;
	state: tasks.TaskState;
	/** Number of the newest attempt; 0 before the first attempt. */
	attempt: number;
	/** Worker of the newest attempt; absent before the first attempt and once the attempt has ended. */
	worker?: string;
	/** Incarnation of that worker. */
	incarnation?: string;
	/** Checkpoint from which the next attempt continues. */
	checkpoint?: string;
	/** Reason for the newest placement. */
	why?: string;
	/** How the last attempt ended. */
	ended?: string;
	failures: FailedAttempt[];
	held: HeldPlacement[];
}

/** State of a job, derived from its tasks, also after they have ended. */
export type JobState = 'active' | 'cancelling' | 'finished' | 'failed' | 'cancelled';

export interface JobRecord {
	part: tasks.JobPart;
	/** Wall-clock time in milliseconds, shown to operators. */
	submittedAt: number;
	cancelled: boolean;
	/** Wall-clock time in milliseconds at which the last task ended; absent while tasks are unfinished. */
	endedAt?: number;
}

/** Why a worker gets no new tasks: several jobs failed on this incarnation of it. */
export interface Quarantine {
	incarnation: string;
	/** The jobs that failed on the worker. */
	evidence: string[];
}

/** Outcome of a claimed request. */
export type ClaimOutcome = 'running' | 'done' | 'not-run' | 'may-have-run';

/** A claim of a caller's Idempotency-Key. */
export interface ClaimRecord {
	key: string;
	bodyHash: string;
	holder: string;
	outcome: ClaimOutcome;
	/** Wall-clock time of the last change, in milliseconds. */
	at: number;
}

/** A committed change. */
export type Change =
	| { type: 'shard.taken'; owner: string; epoch: number }
	| { type: 'shard.released' }
	| { type: 'beat' }
	| { type: 'job.submitted'; part: tasks.JobPart }
	| { type: 'job.forwarded'; job: string; to: string }
	| { type: 'job.cancelled'; job: string }
	| { type: 'job.dropped'; job: string }
	| { type: 'task.placed'; task: string; attempt: number; worker: string; incarnation: string; why: string }
	| { type: 'task.finished'; task: string; attempt: number }
	| { type: 'task.failed'; task: string; attempt: number; reason: string; final: boolean }
	| { type: 'task.evicted'; task: string; attempt: number; checkpoint?: string; reason: string }
	| { type: 'task.lost'; task: string; attempt: number; checkpoint?: string; proof: string; holds: boolean }
	| { type: 'task.stopped'; task: string; attempt: number }
	| { type: 'place.cleared'; task: string; attempt: number; worker: string }
	| { type: 'worker.quarantined'; worker: string; incarnation: string; evidence: string[] }
	| { type: 'worker.released'; worker: string }
	| { type: 'claim.begun'; key: string; bodyHash: string; holder: string }
	| { type: 'claim.ended'; key: string; holder: string; outcome: ClaimOutcome }
	| { type: 'claims.expired'; before: number };

/** An entry of the log: all decisions made while the previous entry was being stored. */
export interface LogEntry {
	n: number;
	epoch: number;
	owner: string;
	/** Tells an owner whether a stored entry is its own after an answer was lost. */
	nonce: string;
	/** Wall-clock time in milliseconds, for operators and retention. */
	at: number;
	changes: Change[];
}

/** A shard's state after entry `n`. */
export interface ShardState {
	n: number;
	epoch: number;
	owner: string;
	/** Whether the last owner has declared that it sends nothing more under its epoch. */
	released: boolean;
	jobs: Map<string, JobRecord>;
	/** Jobs that were forwarded, with the shard that each was forwarded to. */
	forwarded: Map<string, string>;
	tasks: Map<string, TaskRecord>;
	quarantined: Map<string, Quarantine>;
	claims: Map<string, ClaimRecord>;
}
