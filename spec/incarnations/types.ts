/** What the model of workers' lives is made of. */

/** Single faults of the protocol; it has none of them, each mutant has one. */
export interface IncarnationFaults {
	/** An entry for another life at the address ends a session. */
	listProves: boolean;
	/** Starts go to a life that is not on the stored roster yet, so a successor takes it for empty. */
	unknownIsEmpty: boolean;
	/** The session of a life that left the list ends, though something may be there. */
	goneWhileAlive: boolean;
	/** A start under way whose run was taken for lost is forgotten once its life has left the list. */
	doubtForgotten: boolean;
	/** A life gets leases while such a start may still come. */
	doubtLeased: boolean;
	/** A lease's end is believed without a call to the store sent after it. */
	unconfirmed: boolean;
	/** A report that does not list a run frees it, also if the run's start is still under way. */
	absenceProves: boolean;
	/** A life that stops a run which is not there yet lets its start begin later. */
	stopUnnoted: boolean;
	/** A life carries out orders that are meant for another. */
	anyLifeObeys: boolean;
	/** A life obeys orders of an epoch below the highest it has seen. */
	fenceless: boolean;
	/** An owner that follows a planned stop takes everything there for known, and asks nobody. */
	stopSettles: boolean;
}

/** The protocol as it should be. */
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
	/** Starts by each owner. */
	starts: number;
	/** The first life may crash, and another begin at its address. */
	reusesAddress: boolean;
	/** Messages under way at a time. */
	maxMessagesInFlight: number;
	/** Questions with a lease come late too, not only starts. */
	lateReportRequests: boolean;
	/** Owners are replaced only by their planned stop: their messages are still under way, they do nothing more. */
	plannedStops: boolean;
}

/** One life of a worker. */
export interface Incarnation {
	phase: 'before' | 'alive' | 'over';
	/** The highest epoch it has seen. */
	epoch: number;
	/** The run there; 0: none. */
	running: number;
	/** The highest run that ended or was stopped there. */
	highestExitedRun: number;
	/** Ticks left of its lease; negative: over. */
	leaseTicksLeft: number;
}

/** What an owner knows of a life. */
export interface Session {
	/**
	 * `asked`: an earlier owner used it, and it has not answered this one. `empty`: nobody did, or every lease there is
	 * over. `heard`: it has answered.
	 */
	state: 'asked' | 'empty' | 'heard';
	/** The life stands on the stored roster. */
	isOnStoredRoster: boolean;
	/** Ticks until every lease there is over; `over` or `believed` after that. */
	ticksUntilLeaseExpiry: number;
}

/** Every lease there is over. */
export const leasesExpired = -1;

/** The epoch was confirmed after that. */
export const leaseExpiryConfirmed = -2;

/** An owner of the task. */
export interface Owner {
	/** `stopped`: replaced, and it has heard of that or can grant nothing any more. */
	phase: 'new' | 'on' | 'stopped';
	epoch: number;
	/** Ticks since its last confirmed call to the store. */
	ticksSinceConfirmation: number;
	/** By life; null: it knows none. */
	sessions: (Session | null)[];
	/** The life at which it believes the task to be; -1: none. */
	placed: number;
	/** The number of its newest run. */
	run: number;
	/** The run placed is known to have begun. */
	confirmed: boolean;
	/** By life, the newest run that was taken for lost while its start might still be under way; 0: none. */
	unconfirmedRuns: number[];
}

/** An order under way. */
export interface Message {
	kind: 'start' | 'hold';
	incarnation: number;
	epoch: number;
	/** 0 with a hold. */
	run: number;
	/** Ticks left of the lease that it brings; negative: over. */
	leaseTicksLeft: number;
}

/** A state of the model. */
export interface IncarnationState {
	epoch: number;
	/** Lives on the stored roster: bits. */
	roster: number;
	owners: Owner[];
	incarnations: Incarnation[];
	messages: Message[];
	/** The task has finished. */
	done: boolean;
	violation: string;
}
