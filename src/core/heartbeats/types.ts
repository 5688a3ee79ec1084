/** Heartbeats as they are sent to other boxes. */

/** The newest heartbeat that an owner has sent, whether or not it is stored, as its answers to pings report it. */
export interface SentHeartbeat {
	/** Number of the heartbeat, from 1 for each owner. */
	count: number;
	/** Time since it was sent, in milliseconds of the owner's clock. */
	ageMs: number;
}

/** How the end of all leases of earlier owners is known. */
export type LeaseEndBasis =
	/** By the time at which the last stored heartbeat was sent. */
	| 'heartbeat'
	/** By the time of the takeover: this box does not know when that heartbeat was sent. */
	| 'takeover'
	/** By the takeover and the longest lease: no stored heartbeat covers all leases. */
	| 'longest-lease';

/** When every lease that earlier owners granted has ended. */
export interface InheritedLeaseEnd {
	/** Clock time; `-Infinity`: there was no earlier owner. */
	endsAt: number;
	/** The same for workers that restart under their names, which may grant themselves the longest lease for any command. */
	longestEndAt: number;
	basis: LeaseEndBasis;
}
