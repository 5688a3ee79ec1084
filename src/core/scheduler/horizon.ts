/**
 * The renewal horizon: the age of a shard's newest committed entry limits how long leases are renewed. A beat, an entry
 * without changes, is committed in time to stay within the horizon.
 */
import * as clocks from '../clock.js';
import type * as events from '../events/index.js';

/** Minimum number of beats within a horizon, so that a beat that can't be stored leaves time for more attempts. */
const minBeatsPerHorizon = 3;

/** What the horizon needs from its owner. */
export interface HorizonDeps {
	shard: string;
	clock: clocks.Clock;
	events: events.EventLog;
	horizonMs: number;
	/** Clock time at which the newest committed entry was first sent. */
	lastCommitSentAt: () => number;
}

/** The renewal horizon of one shard. */
export class Horizon {
	private isPast = false;
	private isBeatRequested = false;

	private constructor(private readonly deps: HorizonDeps) {}

	static create(deps: HorizonDeps): Horizon {
		return new Horizon(deps);
	}

	/**
	 * Whether leases may be renewed: only within the horizon of the last committed entry, counted from when it was sent.
	 * Logs an event when the horizon passes.
	 */
	mayRenew(): boolean {
		const { shard, clock, events: log, horizonMs, lastCommitSentAt } = this.deps;
		const age = this.age();
		const mayRenewNow = clocks.isFresh(clock, lastCommitSentAt(), horizonMs);
		if (!mayRenewNow && !this.isPast) log.emit('shard.horizon', { shard, ageMs: Math.round(age) });
		this.isPast = !mayRenewNow;
		return mayRenewNow;
	}

	/** Has the next decision stored even if nothing changes, which shows whose epoch is in force. */
	requestBeat(): void {
		this.isBeatRequested = true;
	}

	/** Notes that a decision was made, which fulfils a requested beat. */
	noteDecision(): void {
		this.isBeatRequested = false;
	}

	/** Whether an entry without changes is to be stored. */
	isBeatDue(): boolean {
		const { clock, horizonMs, lastCommitSentAt } = this.deps;
		return this.isBeatRequested || !clocks.isFresh(clock, lastCommitSentAt(), horizonMs / minBeatsPerHorizon);
	}

	private age(): number {
		return this.deps.clock.now() - this.deps.lastCommitSentAt();
	}
}
