/** What a dispatcher is made with, and what it tells of its load. */
import type * as fleet from '../fleet/types.js';
import type * as ledger from '../ledger/index.js';
import type * as meters from './load-meter.js';
import type * as queues from '../queues/index.js';
import type * as saver from './progress-saver.js';
import type * as unknownJobs from './unknown-jobs.js';
import type * as types from './types.js';

/** What a dispatcher needs beyond its calls to workers. */
export interface DispatcherOptions extends types.DispatchDeps {
	saveProgress: saver.SaveProgress;
	readJob: unknownJobs.ReadJob;
	/** Reads the list of workers now. */
	readList: () => void;
	saveRoster: (roster: ledger.RosterEntry[]) => Promise<ledger.WriteOutcome>;
	clearJobs: (ids: string[]) => Promise<ledger.WriteOutcome>;
	/** The queues in force; undefined before the first configuration. */
	table: () => queues.QueueTable | undefined;
	/** Asks the adviser; absent: there is none. */
	askAdviser?: fleet.AskAdviser;
	/** A finished job's state is kept this long, in milliseconds. */
	keepStateMs: number;
	/** Clock time by which all leases at a worker are over, where the owner before said so. */
	leaseEnds: ReadonlyMap<string, number>;
	/** Longest time over its target that a serving task may be kept by what fills beside it. */
	maxSloViolationMs: number;
	/** Going on from a checkpoint takes so long, in milliseconds; absent: it is not known, and counts as nothing. */
	restoreMs?: number;
	/** Starts may go by a list of evacuated zones that was known to hold so lately; absent: zones are not evacuated. */
	maxEvacuationAgeMs?: number;
}

/** An owner's load. */
export interface DispatchLoad extends meters.LoadReading {
	/** Tasks that wait for a worker. */
	waiting: number;
	/** Those of them that run for a while only: lasting ones may wait for as long as there is no room. */
	waitingShort: number;
	/** Starts on their way, and how many may be. */
	onTheirWay: number;
	startLimit: number;
	/** Ends that workers list and have not been let forget, and how long ago the oldest was first listed, in milliseconds. */
	listedEnds: number;
	oldestEndMs: number;
}
