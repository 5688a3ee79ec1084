/** The outstanding work that an owner reports to the boxes. */

/** Outstanding work of one priority and of all that come before it. */
export interface OutstandingWork {
	/** 0 comes first. */
	priority: number;
	/** How long it takes until this work is finished, in milliseconds. */
	waitMs: number;
}

/** Outstanding work by priority, the most urgent first; empty: the fleet keeps up, or that is not known. */
export type Backlog = readonly OutstandingWork[];

/** Whether a job is accepted. */
export type Verdict =
	| { type: 'admit' }
	/** It would start later than it may; nothing of it was stored or run. */
	| { type: 'refuse'; waitMs: number; limitMs: number };
