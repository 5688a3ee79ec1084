/** When an owner begins a confirmed handover and for what cause, and what it logs once it is replaced. */
import * as outgoingHandovers from './outgoing-handover.js';
import * as settings from './settings.js';
import type * as candidates from './candidates.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as handovers from './handover.js';
import type * as ledger from '../ledger/index.js';

/** Options of `HandingOver`. */
export interface HandingOverOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	own: handovers.OwnBox;
	/** The boxes that ping this one while it is the owner. */
	candidates: candidates.Candidates;
	/** How long the store has been unresponsive to this box, in milliseconds; 0: it answers. */
	storeLostForMs: () => number;
	/** Answers the held pings of the other boxes. */
	answerPings: () => void;
	/** Whether a stronger box could dispatch in this one's place. */
	isStrongerBoxUp: () => boolean;
}

/** The handover of the generation that this box owns, or owned last. */
export class HandingOver {
	private outgoing: outgoingHandovers.OutgoingHandover | undefined;
	/** Clock time at which this box found out that it was replaced, before its successor told it; undefined: it did not. */
	private replacedAt: number | undefined;
	/** Clock time at which this box became the owner, or at which a handover was last given up. */
	private lastChangeAt = -Infinity;

	private constructor(private readonly opts: HandingOverOptions) {}

	static create(opts: HandingOverOptions): HandingOver {
		return new HandingOver(opts);
	}

	/** This box has become the owner. */
	noteAcquired(): void {
		this.lastChangeAt = this.opts.clock.now();
		this.clear();
	}

	/** This box has found out that it was replaced. */
	noteReplaced(): void {
		this.replacedAt = this.opts.clock.now();
		this.outgoing?.close();
	}

	/** This box has released ownership. */
	clear(): void {
		this.outgoing?.close();
		this.outgoing = undefined;
		this.replacedAt = undefined;
	}

	/** Begins a handover of this generation if there is a cause for one. */
	consider(generation: number): void {
		if (this.outgoing !== undefined) return;
		const cause = this.cause();
		if (cause !== undefined) this.begin(generation, cause);
	}

	/** A planned stop of this box has begun, while it owns this generation. */
	noteStop(generation: number): void {
		const outgoing = this.outgoing ?? this.begin(generation, 'planned-stop');
		outgoing.noteStop();
	}

	/** Whether a ping of this box is to be answered without holding it: it does not know yet that it is named. */
	isAwaitedBy(box: string): boolean {
		return this.outgoing?.isAwaitedBy(box) === true;
	}

	/** What to add to the answer to a ping of a box that is prepared to replace the generation `prepared`. */
	replyTo(box: string, prepared: number | undefined): outgoingHandovers.HandoverReply {
		return this.outgoing?.replyTo(box, prepared) ?? {};
	}

	/** Ends the handover if `owner` is later than the generation that hands over. */
	noteNewOwner({ box, generation }: ledger.OwnerRecord): void {
		const { outgoing, replacedAt } = this;
		if (outgoing === undefined || generation <= outgoing.generation) return;
		const now = this.opts.clock.now();
		this.opts.events.emit('handover.completed', {
			box,
			generation,
			cause: outgoing.cause,
			gapMs: Math.round(now - (replacedAt ?? now)),
			tookMs: Math.round(now - outgoing.startedAt),
		});
		this.clear();
	}

	private cause(): handovers.HandoverCause | undefined {
		const { clock, isStrongerBoxUp } = this.opts;
		if (this.hasLostStore()) return 'store-lost';
		const isTooSoon = clock.now() - this.lastChangeAt < settings.minHandoverIntervalMs;
		return !isTooSoon && isStrongerBoxUp() ? 'stronger-box' : undefined;
	}

	private hasLostStore(): boolean {
		return this.opts.storeLostForMs() >= settings.minStoreLossMs;
	}

	private begin(generation: number, cause: handovers.HandoverCause): outgoingHandovers.OutgoingHandover {
		const { clock } = this.opts;
		const outgoing: outgoingHandovers.OutgoingHandover = outgoingHandovers.OutgoingHandover.create({
			...this.opts,
			generation,
			cause,
			isNeeded: () => outgoing.cause !== 'store-lost' || this.hasLostStore(),
			onGivenUp: () => {
				this.outgoing = undefined;
				this.lastChangeAt = clock.now();
			},
		});
		this.outgoing = outgoing;
		outgoing.advance();
		return outgoing;
	}
}
