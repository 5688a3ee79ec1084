/** A shard's committed state and the changes that its log is made of. */
import type * as tasks from '../task/index.js';

/** A failed attempt, kept as evidence. */
export interface FailedAttempt {
	attempt: number;
	worker: string;
	incarnation: string;
	reason: string;
}

/** A place that an earlier attempt of a service replica may still hold on a worker that can't be reached. */
export interface HeldPlacement {
	worker: string;
	incarnation: string;
	attempt: number;
}

/** One task. */
export interface TaskRecord {
	id: string;
	job: string;
	state: tasks.TaskState;
	/** Number of the newest attempt; 0 before the first. */
	attempt: number;
	/** Where the newest attempt is placed, while it is. */
	worker?: string;
	/** Boot of that worker. */
	incarnation?: string;
	/** Where the next attempt goes on. */
	checkpoint?: string;
	/** Why the newest attempt is, or was, where it is. */
	why?: string;
	/** Why the last attempt ended. */
	ended?: string;
	failures: FailedAttempt[];
	held: HeldPlacement[];
}

/** How a job stands: derived from its tasks, kept for those that ended. */
export type JobState = 'active' | 'cancelling' | 'finished' | 'failed' | 'cancelled';

/** One job part. */
export interface JobRecord {
	part: tasks.JobPart;
	/** Wall milliseconds, for people. */
	submittedAt: number;
	cancelled: boolean;
	/** Wall milliseconds at which its last task ended. */
	endedAt?: number;
}

/** Why a worker gets no new work. */
export interface Quarantine {
	incarnation: string;
	/** The jobs that failed there. */
	evidence: string[];
}

/** What became of a claimed request. */
export type ClaimOutcome = 'running' | 'done' | 'not-run' | 'may-have-run';

/** A caller's Idempotency-Key. */
export interface ClaimRecord {
	key: string;
	bodyHash: string;
	holder: string;
	outcome: ClaimOutcome;
	/** Wall milliseconds of the last change. */
	at: number;
}

/** One committed decision. */
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

/** One entry of the log: all that was decided while the entry before it was being stored. */
export interface LogEntry {
	n: number;
	epoch: number;
	owner: string;
	/** Tells the owner its own entry from another's when an answer was lost. */
	nonce: string;
	/** Wall milliseconds, for people and retention. */
	at: number;
	changes: Change[];
}

/** A shard's state after entry `n`. */
export interface ShardState {
	n: number;
	epoch: number;
	owner: string;
	/** The last owner said that it sends nothing more under its epoch. */
	released: boolean;
	jobs: Map<string, JobRecord>;
	/** Jobs that another shard takes care of. */
	forwarded: Map<string, string>;
	tasks: Map<string, TaskRecord>;
	quarantined: Map<string, Quarantine>;
	claims: Map<string, ClaimRecord>;
}
