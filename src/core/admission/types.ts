/** Decisions on jobs, and the outstanding work that an owner reports to the boxes. */
import type * as jobs from '../jobs/index.js';

/** Outstanding work of one priority and of all that come before it. */
export interface OutstandingWork {
	/** 0 comes first. */
	priority: number;
	/** How long it takes until this work is finished, in milliseconds. */
	waitMs: number;
}

/** Outstanding work by priority, the most urgent first; empty: the fleet keeps up, or that is not known. */
export type Backlog = readonly OutstandingWork[];

/** What a job has to expect by a forecast, in milliseconds from its acceptance or, if that is later, its planned time. */
export interface JobForecast {
	/** Until the last task of its first steps is placed. */
	waitMs: number;
	finishMs: number;
	/** Age of the forecast. */
	ageMs: number;
}

/** Why a job is refused: the outstanding work, its own finish, or its wait. */
export type RefusalReason = 'backlog' | 'too-late' | 'long-wait';

/** Whether a job is accepted. `forecast`: what was decided by; absent: it was not decided by a forecast. */
export type Verdict =
	| { type: 'admit'; forecast?: JobForecast }
	/**
	 * It would start or finish later than it may; nothing of it was stored or run. `limitMs` is a limit of the finish if the
	 * cause is `too-late`, else of the wait. Without a cause it is the outstanding work. `worthlessMs`: when the job is of no
	 * value any more, if the cause is `too-late`; the limit is later, as the forecast may be too high.
	 */
	| {
			type: 'refuse';
			waitMs: number;
			limitMs: number;
			cause?: RefusalReason;
			worthlessMs?: number;
			forecast?: JobForecast;
	  };

/** What a decision depends on. */
export type DecidedJob = Pick<jobs.JobRecord, 'queue' | 'steps' | 'schedule' | 'acceptedAt'>;

/** Decides whether a job is accepted; chosen when the box is created. */
export type AdmissionRule = (record: DecidedJob) => Verdict;
