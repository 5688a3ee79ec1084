/** What an owner tells the boxes of the work that it owes. */

/** Work of one priority and all that comes before it. */
export interface OutstandingWork {
	/** 0 comes first. */
	priority: number;
	/** How long it takes until what is owed is finished, in milliseconds. */
	waitMs: number;
}

/** The work that is owed, by priority, the first first; empty: the fleet keeps up, or that is not known. */
export type Backlog = readonly OutstandingWork[];

/** Whether a job is taken in. */
export type Verdict =
	| { type: 'admit' }
	/** It would begin later than it may; nothing of it was stored or run. */
	| { type: 'refuse'; waitMs: number; limitMs: number };
