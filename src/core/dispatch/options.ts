/** The options of a dispatcher, and the load that it reports. */
import * as placement from './placement.js';
import * as retries from './retry-pauses.js';
import type * as features from '../features/index.js';
import type * as fleet from '../fleet/types.js';
import type * as ledger from '../ledger/index.js';
import type * as meters from './load-meter.js';
import type * as queues from '../queues/index.js';
import type * as saver from './progress-saver.js';
import type * as unknownJobs from './unknown-jobs.js';
import type * as types from './types.js';

/** What a dispatcher needs besides the calls to workers. */
export interface DispatcherOptions extends types.DispatchDeps {
	saveProgress: saver.SaveProgress;
	readJob: unknownJobs.ReadJob;
	/** Has the list of workers read at once. */
	readList: () => void;
	saveRoster: (roster: ledger.RosterEntry[]) => Promise<ledger.WriteOutcome>;
	clearJobs: (ids: string[]) => Promise<ledger.WriteOutcome>;
	/** The queues in force; undefined before the first configuration. */
	table: () => queues.QueueTable | undefined;
	/** Queries the adviser; absent: there is none. */
	askAdviser?: fleet.AskAdviser;
	/** How long the state of a finished job is kept, in milliseconds. */
	keepStateMs: number;
	/** Clock time by which all leases at a worker have expired, by worker, where the previous owner published it. */
	leaseEnds: ReadonlyMap<string, number>;
	/** Longest time that interference of preemptible tasks may keep a serving task over its target, in milliseconds. */
	maxSloViolationMs: number;
	/** How long a restore from a checkpoint takes, in milliseconds; absent: it is not known, and counts as 0. */
	restoreMs?: number;
	/**
	 * Starts may rely on a list of evacuated zones that was known to be current within this time, in milliseconds; absent:
	 * zones are never evacuated.
	 */
	maxEvacuationAgeMs?: number;
	/** The optional features that are in force; absent: none. */
	features?: features.Features;
}

/** A forecast holds only if steps are placed in their order. */
export function createRetryPauses(inForce: features.Features | undefined): retries.RetryPauses {
	const isOrdered = inForce?.admission === 'forecast' || inForce?.waitingOrder === 'overload';
	return isOrdered ? retries.CommonPauses.create() : retries.SeparatePauses.create();
}

/** Where the limit of preemptible work adapts, it starts at the contention threshold of `interference.ts`. */
const initialAdaptiveUse = 0.9;

/** Share of a worker's cores up to which preemptible tasks are expected to be placed there. */
export function maxPreemptibleUse(inForce: features.Features | undefined): number {
	return inForce?.preemptibleLimit === 'adaptive' ? initialAdaptiveUse : placement.maxExpectedUse;
}

/** An owner's load. */
export interface DispatchLoad extends meters.LoadReading {
	/** Number of tasks that wait for a worker. */
	waiting: number;
	/** Number of those that are not long-running. Long-running tasks may wait as long as there is no free capacity. */
	waitingShort: number;
	/** Number of starts in flight, and the limit for it. */
	onTheirWay: number;
	startLimit: number;
	/**
	 * Number of exits that workers list and that have not been acknowledged, and time since the oldest was first listed, in
	 * milliseconds.
	 */
	listedEnds: number;
	oldestEndMs: number;
}
