/** What a box is told about itself and its platform. */

/** Settings of a box; `platform/settings.ts` reads them from the platform's file. */
export interface BoxSettings {
	box: string;
	zone: string;
	zones: string[];
	/** Address of the box, without a port. */
	ip: string;
	/** Where callers connect, `host:port`. */
	callers: string;
	/** Where the platform asks whether the box takes callers, `host:port`. */
	readiness: string;
	/** Ports free for our own connections: first and last. */
	peerPorts: [number, number];
	storeAddress: string;
	/** Lowest lifetime that the store grants a lease, in milliseconds. */
	minLeaseMs: number;
	/** Where the adviser answers; absent: there is none. */
	adviser?: string;
	/** Where the machines of the pools are listed and moved; absent: there is none. */
	machines?: string;
	/** Cores' worth of processor that the box may use. */
	processor: number;
	bounds: BoxBounds;
}

/** Time limits of the deployment, in milliseconds. */
export interface BoxBounds {
	/** A stored configuration has to be in force after this long. */
	applyMs: number;
	/** Longest lease that workers give their tasks. */
	maxLeaseMs: number;
	/** A stopped process is killed after this. */
	graceMs: number;
	/** A finished job's state is answered for at least this long. */
	stateRetentionMs: number;
	/** A lasting task over its target for this long because of what fills beside it breaks its promise. */
	maxSloViolationMs: number;
	/** Going on from a checkpoint takes a task so long; absent: it is not stated. */
	restoreMs?: number;
	/** A zone's workers are sent nothing more so long after its evacuation was stored; absent: zones are not evacuated. */
	evacuateMs?: number;
}
