/** The age of a shard's newest committed entry: it bounds the renewal of leases, and calls for a beat in good time. */
import * as clocks from '../clock.js';
import type * as events from '../events/index.js';

/** Beats in a horizon, at least: one that can't be stored leaves time for further tries. */
const minBeatsPerHorizon = 3;

/** What the horizon needs of its owner. */
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

	/** Leases are renewed only within the horizon of the last committed entry, counted from its send. */
	mayRenew(): boolean {
		const { shard, clock, events: log, horizonMs, lastCommitSentAt } = this.deps;
		const age = this.age();
		const mayRenewNow = clocks.isFresh(clock, lastCommitSentAt(), horizonMs);
		if (!mayRenewNow && !this.isPast) log.emit('shard.horizon', { shard, ageMs: Math.round(age) });
		this.isPast = !mayRenewNow;
		return mayRenewNow;
	}

	/** The next decision is to be stored even if nothing changes: that shows whose epoch is in force. */
	requestBeat(): void {
		this.isBeatRequested = true;
	}

	/** A decision was made: what was wanted has been seen to. */
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
