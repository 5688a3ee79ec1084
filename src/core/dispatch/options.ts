/** The options of a dispatcher, and the load that it reports. */
import * as fixedLimit from './fixed-limit.js';
import * as preemptibleLimit from './preemptible-limit.js';
import * as retries from './retry-pauses.js';
import type * as features from '../features/index.js';
import type * as fleet from '../fleet/types.js';
import type * as heartbeats from '../heartbeats/index.js';
import type * as ledger from '../ledger/index.js';
import type * as limitTypes from './limit-types.js';
import type * as meters from './load-meter.js';
import type * as queues from '../queues/index.js';
import type * as schedulingState from './scheduling-state.js';
import type * as saver from './progress-saver.js';
import type * as unknownJobs from './unknown-jobs.js';
import type * as types from './types.js';
import type * as waiting from './waiting-steps.js';

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
	/** When all leases of earlier owners have expired. */
	inheritedLeases: heartbeats.InheritedLeaseEnd;
	/** Clock time by which all leases at a worker have expired, by worker, where the previous owner published it. */
	leaseEnds: ReadonlyMap<string, number>;
	/**
	 * Workers that the previous owner reported as unresponsive, by id. Only the order of polls depends on it; absent: it is
	 * not known of any.
	 */
	unresponsiveWorkers?: ReadonlySet<string>;
	/**
	 * Clock time at which the previous owner last answered this box. Only the log depends on it; absent: it is not known.
	 */
	previousOwnerHeardAt?: number;
	/** Longest time that interference of preemptible tasks may keep a serving task over its target, in milliseconds. */
	maxSloViolationMs: number;
	/** How long a restore from a checkpoint takes, in milliseconds; absent: it is not known, and counts as 0. */
	restoreMs?: number;
	/**
	 * Starts may rely on a list of evacuated zones that was known to be current within this time, in milliseconds; absent:
	 * zones are never evacuated.
	 */
	maxEvacuationAgeMs?: number;
	/** Limits of preemptible work that are stored for the next owner; absent: there are none. */
	limits?: schedulingState.LimitKeeper;
	/** The optional features that are in force; absent: none. */
	features?: features.Features;
}

/** A forecast holds only if steps are placed in their order. */
export function createRetryPauses(inForce: features.Features | undefined): retries.RetryPauses {
	const isOrdered = inForce?.admission === 'forecast' || inForce?.waitingOrder === 'overload';
	return isOrdered ? retries.CommonPauses.create() : retries.SeparatePauses.create();
}

/** Share of a worker's cores up to which preemptible tasks are expected to be placed there. */
export function maxPreemptibleUse(inForce: features.Features | undefined): number {
	return inForce?.preemptibleLimit === 'adaptive'
		? preemptibleLimit.initialLimit.maxUse
		: fixedLimit.maxExpectedUse;
}

/** An owner's load. */
export interface DispatchLoad extends meters.LoadReading, limitTypes.LimitReading, waiting.WaitingLoad {
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
