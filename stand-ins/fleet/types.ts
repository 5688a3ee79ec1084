/** Runs of the workers in memory, and what a judge sees of them. */
import type * as fleet from '../../src/core/fleet/types.js';

/** How a run goes; `endless` ones end only by a stop or with their lease. */
export interface RunPlan {
	ms: number | 'endless';
	how: 'done' | 'failed';
	/** Tail latency to report, in milliseconds. */
	reading?: number;
	/** Progress to report, in per cent; absent: all. */
	percent?: number;
	/** How much it adds to the readings of others on its worker at full pace, as a part of them; absent: nothing. */
	interference?: number;
	/** It brings its worker down so many milliseconds after its start; absent: it does not. */
	crashAfterMs?: number;
}

/** How a worker goes down. */
export interface Crash {
	/** It is back at its address after so long, in milliseconds. */
	downMs: number;
	/** Its connections go silent; else they break, and new ones are turned away. */
	unresponsive: boolean;
	/** It comes back under the name that it had, and tells when it started; else under a new one. */
	keepsName?: boolean;
}

/** A worker went down. */
export interface CrashRecord {
	at: number;
	worker: string;
	/** What ran there. */
	tasks: string[];
}

/** A start that was carried out, as the judge of a test sees it. */
export interface StartRecord {
	at: number;
	task: string;
	run: number;
	worker: string;
	checkpoint: string;
	epoch: number;
}

/** What a judge is told of workers, as it happens. */
export interface FleetJournal {
	/** A start was carried out. */
	started: (start: StartRecord) => void;
	/** A run ended. */
	ended: (end: fleet.RunExit) => void;
	/** A worker went down with these tasks; absent: nobody asks. */
	crashed?: (tasks: string[]) => void;
	/** An end was forgotten, as the boxes asked. */
	acknowledged: (end: fleet.RunExit) => void;
}
