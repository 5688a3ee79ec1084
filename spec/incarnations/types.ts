/** State, bounds and faults of the model of worker incarnations. */

/** Faults that a mutant may have, one each; the protocol has none. `spec/expected.json` contains these names. */
export interface IncarnationFaults {
	/** A list entry for another incarnation at the same address ends the session. */
	listProves: boolean;
	/**
	 * Starts are sent to an incarnation that is not on the stored roster yet, so a successor presumes that nothing runs
	 * there.
	 */
	unknownIsEmpty: boolean;
	/** The session of an incarnation that left the list ends even if a run may still be there. */
	goneWhileAlive: boolean;
	/** When an incarnation leaves the list, the owner drops its unconfirmed run, whose start may still be in flight. */
	doubtForgotten: boolean;
	/** An incarnation is granted leases while the start of an unconfirmed run may still arrive. */
	doubtLeased: boolean;
	/** A lease is presumed expired without a call to the store that was sent after its expiry. */
	unconfirmed: boolean;
	/** A report that does not list a run frees the task, even if the run's start is still in flight. */
	absenceProves: boolean;
	/** An incarnation that stops a run which has not arrived yet still accepts the run's start later. */
	stopUnnoted: boolean;
	/** An incarnation carries out commands that are addressed to another. */
	anyLifeObeys: boolean;
	/** An incarnation obeys commands of an epoch below the highest that it has seen. */
	fenceless: boolean;
	/** An owner that follows a planned stop presumes the whole roster reconciled and polls nobody. */
	stopSettles: boolean;
}

/** The protocol without faults. */
export const noIncarnationFaults: IncarnationFaults = {
	listProves: false,
	unknownIsEmpty: false,
	goneWhileAlive: false,
	doubtForgotten: false,
	doubtLeased: false,
	unconfirmed: false,
	absenceProves: false,
	stopUnnoted: false,
	anyLifeObeys: false,
	fenceless: false,
	stopSettles: false,
};

/** Bounds of an exploration. */
export interface IncarnationBounds {
	owners: number;
	/** Starts that each owner may send. */
	starts: number;
	/** The first incarnation may crash, and another may begin at its address. */
	reusesAddress: boolean;
	/** Messages in flight at one time. */
	maxMessagesInFlight: number;
	/** Report requests that grant a lease may arrive late too, not only starts. */
	lateReportRequests: boolean;
	/** Owners are replaced only after a planned stop: they do nothing more, but their messages are still in flight. */
	plannedStops: boolean;
}

/** One incarnation of a worker. */
export interface Incarnation {
	phase: 'before' | 'alive' | 'over';
	/** The highest epoch it has seen. */
	epoch: number;
	/** The run in progress; 0: none. */
	running: number;
	/** The highest run that exited or was stopped there. */
	highestExitedRun: number;
	/** Ticks left of its lease; negative: expired. */
	leaseTicksLeft: number;
}

/** What an owner knows of an incarnation. */
export interface Session {
	/**
	 * `asked`: an earlier owner used the incarnation, and it has not answered this owner. `empty`: no owner used it, or
	 * every lease there has expired. `heard`: it has answered this owner.
	 */
	state: 'asked' | 'empty' | 'heard';
	/** The incarnation is on the stored roster. */
	isOnStoredRoster: boolean;
	/** Ticks until every lease there has expired; `leasesExpired` or `leaseExpiryConfirmed` after that. */
	ticksUntilLeaseExpiry: number;
}

/** Every lease there has expired. */
export const leasesExpired = -1;

/** A call to the store has confirmed the epoch after every lease there expired. */
export const leaseExpiryConfirmed = -2;

/** An owner of the task. */
export interface Owner {
	/** `stopped`: replaced, and it has learned that or can grant no more leases. */
	phase: 'new' | 'on' | 'stopped';
	epoch: number;
	/** Ticks since its last confirmed call to the store. */
	ticksSinceConfirmation: number;
	/** By incarnation; null: unknown to the owner. */
	sessions: (Session | null)[];
	/** The incarnation that it believes to have the task; -1: none. */
	placed: number;
	/** The number of its newest run. */
	run: number;
	/** The run at `placed` is known to have begun. */
	confirmed: boolean;
	/** By incarnation, the newest unconfirmed run: presumed lost while its start might still be in flight; 0: none. */
	unconfirmedRuns: number[];
}

/** A command in flight. */
export interface Message {
	kind: 'start' | 'hold';
	incarnation: number;
	epoch: number;
	/** 0 for a `hold`, a report request that grants a lease. */
	run: number;
	/** Ticks left of the lease that it grants; negative: expired. */
	leaseTicksLeft: number;
}

/** A state of the model. */
export interface IncarnationState {
	epoch: number;
	/** Incarnations on the stored roster, as bits. */
	roster: number;
	owners: Owner[];
	incarnations: Incarnation[];
	messages: Message[];
	/** The task has finished. */
	done: boolean;
	violation: string;
}
