/** The age of a shard's newest committed entry: it bounds the renewal of leases, and calls for a beat in good time. */
import * as clocks from '../clock.js';
import type * as events from '../events/index.js';

/** Beats in a horizon, at least: one that can't be stored leaves time for further tries. */
const beatsPerHorizon = 3;

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
	private beatWanted = false;

	private constructor(private readonly deps: HorizonDeps) {}

	static create(deps: HorizonDeps): Horizon {
		return new Horizon(deps);
	}

	/** Leases are renewed only within the horizon of the last committed entry, counted from its send. */
	mayRenew(): boolean {
		const { shard, clock, events: log, horizonMs, lastCommitSentAt } = this.deps;
		const age = this.age();
		const may = clocks.isFresh(clock, lastCommitSentAt(), horizonMs);
		if (!may && !this.isPast) log.emit('shard.horizon', { shard, ageMs: Math.round(age) });
		this.isPast = !may;
		return may;
	}

	/** The next decision is to be stored even if nothing changes: that shows whose epoch is in force. */
	wantBeat(): void {
		this.beatWanted = true;
	}

	/** A decision was made: what was wanted has been seen to. */
	decided(): void {
		this.beatWanted = false;
	}

	/** Whether an entry without changes is to be stored. */
	isBeatDue(): boolean {
		const { clock, horizonMs, lastCommitSentAt } = this.deps;
		return this.beatWanted || !clocks.isFresh(clock, lastCommitSentAt(), horizonMs / beatsPerHorizon);
	}

	private age(): number {
		return this.deps.clock.now() - this.deps.lastCommitSentAt();
	}
}
