/** Settings of a box and of its platform. */
import type * as features from '../features/index.js';

/** Settings of a box; `platform/settings.ts` reads them from the platform's file. */
export interface BoxSettings {
	box: string;
	zone: string;
	zones: string[];
	/** Address of the box, without a port. */
	ip: string;
	/** Where callers connect, `host:port`. */
	callers: string;
	/** Where the platform checks whether the box takes callers, `host:port`. */
	readiness: string;
	/** Ports on which a box may listen for other boxes: first and last. */
	peerPorts: [number, number];
	storeAddress: string;
	/** Shortest lifetime that the store grants a lease, in milliseconds. */
	minLeaseMs: number;
	/** Where the adviser answers; absent: there is none. */
	adviser?: string;
	/** Where the machines of the pools are listed and moved; absent: there is none. */
	machines?: string;
	/** Processor that the box may use, in cores. */
	processor: number;
	bounds: BoxBounds;
	/** The optional features that are in force; absent: none. */
	features?: features.Features;
}

/** Time limits of the deployment, in milliseconds. */
export interface BoxBounds {
	/** A stored configuration has to be in force within this time. */
	applyMs: number;
	/** Longest lease that workers grant their tasks. */
	maxLeaseMs: number;
	/** A process that was asked to stop is killed after this time. */
	graceMs: number;
	/** The state of a finished job is available for at least this long. */
	stateRetentionMs: number;
	/** Interference by preemptible tasks that keeps a long-running task over its target for this long violates its SLO. */
	maxSloViolationMs: number;
	/** Time that a task takes to resume from a checkpoint; absent: it is not stated. */
	restoreMs?: number;
	/** Longest time that a run takes to stop; absent: it is not stated. */
	stopMs?: number;
	/** Factor by which a run takes longer away from its data; absent: it is not stated. */
	farFactor?: number;
	/** Least time between the commands of two owners to one machine; absent: it is not stated. */
	ownerTurnMs?: number;
	/** A zone's workers are sent nothing more this long after its evacuation was stored; absent: zones are not evacuated. */
	evacuateMs?: number;
}
