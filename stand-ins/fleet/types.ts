/** Behaviour of simulated runs, and the records of them that checkers read. */
import type * as fleet from '../../src/core/fleet/types.js';

/** How a run proceeds. An `endless` run exits only by a stop or the end of its lease. */
export interface RunPlan {
	ms: number | 'endless';
	how: 'done' | 'failed';
	/**
	 * Reading to report. Of a serving task: its tail latency in milliseconds. Of any other: thousandths of a core in use. A
	 * function gives the reading of the moment, with all interference.
	 */
	reading?: number | (() => number);
	/** Percent of full speed to report; absent: 100. */
	percent?: number;
	/** Interference at full pace: the fraction by which it raises the readings of other runs on its worker; absent: none. */
	interference?: number;
	/** Milliseconds from its start until it crashes its worker; absent: it doesn't. */
	crashAfterMs?: number;
}

/** How a worker crashes. */
export interface Crash {
	/** Milliseconds until it is back at its address. */
	downMs: number;
	/** Its connections stay open without an answer. Otherwise they break, and new ones are refused. */
	unresponsive: boolean;
	/** It comes back under its old name and reports its start time; otherwise under a new name. */
	keepsName?: boolean;
}

/** One crash of a worker. */
export interface CrashRecord {
	at: number;
	worker: string;
	/** Tasks that had a run there. */
	tasks: string[];
}

/** A start that was carried out. */
export interface StartRecord {
	at: number;
	task: string;
	run: number;
	worker: string;
	checkpoint: string;
	epoch: number;
}

/** Callbacks that report events of the workers to a checker. */
export interface FleetJournal {
	/** A start was carried out. */
	started: (start: StartRecord) => void;
	/** A run exited. */
	ended: (end: fleet.RunExit) => void;
	/** A worker crashed while these tasks ran there; absent: crashes are not reported. */
	crashed?: (worker: string, tasks: string[]) => void;
	/** A worker dropped an exit that a box had acknowledged. */
	acknowledged: (end: fleet.RunExit) => void;
}

/** Kinds of calls to workers. */
export type CallName = 'start' | 'stop' | 'pace' | 'report';

/** What becomes of one call. */
export interface CallFate {
	/** Time until the call arrives at the worker, in milliseconds. It may be carried out after its caller has timed out. */
	arrivesAfterMs: number;
	/** Time from the worker's answer until it arrives, in milliseconds; `lost`: it never does. */
	answersAfterMs: number | 'lost';
	/** The worker refuses the call as unhealthy, and does nothing. */
	isRefused: boolean;
}
