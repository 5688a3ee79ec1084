/**
 * Decisions of an owner that hands over while it goes on dispatching: which box it names as its successor, when it allows
 * that box to replace it, and when it names another one. Without clock, sockets or log.
 */
import * as settings from './settings.js';
import * as strength from './strength.js';
import type * as candidates from './candidates.js';

/** Why an owner hands over. */
export type HandoverCause = 'planned-stop' | 'stronger-box' | 'store-lost';

/** Why a named box did not become the owner, or none could be named. */
export type HandoverFailure =
	| 'no-candidate'
	| 'not-prepared-in-time'
	| 'not-taken-in-time'
	| 'unresponsive'
	| 'stops'
	| 'store-lost'
	| 'not-needed';

/** What is known of the owner itself. */
export interface OwnBox {
	/** Its failure domain. */
	zone: string;
	/** Processor that it may use, in cores. */
	processor: number;
}

/** A change of the handover, in the order in which they happened. */
export type HandoverChange =
	{ type: 'named'; box: string } | { type: 'failed'; box: string; reason: HandoverFailure };

interface NamedBox {
	box: string;
	namedAt: number;
	/** Clock time of the first permission; undefined: it has not been prepared yet. */
	permittedAt?: number;
}

/** One handover of one generation. All times are clock times in milliseconds. */
export class Handover {
	private named: NamedBox | undefined;
	/** When each box failed to take over, by box. */
	private readonly failedAt = new Map<string, number>();

	private constructor(
		readonly generation: number,
		private readonly own: OwnBox,
		public cause: HandoverCause,
	) {}

	static create(generation: number, own: OwnBox, cause: HandoverCause): Handover {
		return new Handover(generation, own, cause);
	}

	/** The box that is to take over; undefined: none is named. */
	get successor(): string | undefined {
		return this.named?.box;
	}

	/** Names a successor, or another one if the named box can't take over. `known`: the boxes that ping this owner. */
	advance(now: number, known: candidates.TrackedCandidate[]): HandoverChange[] {
		const changes: HandoverChange[] = [];
		const reason = this.named && failureOf(this.named, now, known);
		if (this.named !== undefined && reason !== undefined) {
			changes.push({ type: 'failed', box: this.named.box, reason });
			this.failedAt.set(this.named.box, now);
			this.named = undefined;
		}
		if (this.named !== undefined) return changes;
		const next = this.choose(now, known);
		if (next === undefined) return changes;
		this.named = { box: next, namedAt: now };
		return [...changes, { type: 'named', box: next }];
	}

	/**
	 * Whether a box that is prepared for the generation `prepared` may replace this one; `first`: it was not allowed before.
	 */
	permit(box: string, prepared: number | undefined, now: number): { permitted: boolean; first: boolean } {
		if (this.named?.box !== box || prepared !== this.generation) return { permitted: false, first: false };
		const first = this.named.permittedAt === undefined;
		this.named.permittedAt ??= now;
		return { permitted: true, first };
	}

	private choose(now: number, known: candidates.TrackedCandidate[]): string | undefined {
		const untried = known.filter((one) => this.isEligible(one, now));
		const fresh = untried.filter((one) => !this.failedAt.has(one.box));
		// A box that failed is tried again when no other is left: the cause may have been an outage of the store.
		return strongestOf(fresh.length > 0 ? fresh : untried, this.own.zone)?.box;
	}

	private isEligible(one: candidates.TrackedCandidate, now: number): boolean {
		const failedAt = this.failedAt.get(one.box) ?? -Infinity;
		if (now - failedAt < settings.handoverConfirmMs) return false;
		if (this.cause === 'stronger-box' && !strength.isWeaker(this.own.processor, one.processor)) return false;
		return isReady(one, now);
	}
}

/** Whether a box could take over: it confirms handovers, stays up, and reaches the store. */
function isReady(one: candidates.TrackedCandidate, now: number): boolean {
	// Boxes without this feature, also those of older releases, do not say whether they stop.
	return (
		one.stopping === false && one.storeReachable && now - one.pingingSince >= settings.minCandidateUptimeMs
	);
}

/** Why the named box can't take over; undefined: it still may. */
function failureOf(
	named: NamedBox,
	now: number,
	known: candidates.TrackedCandidate[],
): HandoverFailure | undefined {
	const candidate = known.find((one) => one.box === named.box);
	if (candidate === undefined) return 'unresponsive';
	if (candidate.stopping !== false) return 'stops';
	if (!candidate.storeReachable) return 'store-lost';
	if (now - (named.permittedAt ?? named.namedAt) < settings.handoverConfirmMs) return undefined;
	return named.permittedAt === undefined ? 'not-prepared-in-time' : 'not-taken-in-time';
}

/**
 * The strongest of the boxes. Of those about as strong, one in another failure domain than the owner comes first: planned
 * stops usually go through one domain after the other.
 */
function strongestOf(
	boxes: candidates.TrackedCandidate[],
	ownZone: string,
): candidates.TrackedCandidate | undefined {
	const highest = Math.max(...boxes.map((one) => one.processor));
	const strong = boxes.filter((one) => !strength.isWeaker(one.processor, highest));
	const rank = (one: candidates.TrackedCandidate): number => (one.zone === ownZone ? 1 : 0);
	return strong.sort((a, b) => rank(a) - rank(b) || b.processor - a.processor)[0];
}
