/**
 * Shares out, at the owner, the capacity that becomes free beyond what is accepted, so that boxes tell refused callers when to
 * return.
 *
 * Load pattern: a burst has many boxes refuse callers within seconds. If each box gives them a time by itself, all return in
 * the same second and are refused again. Each second's capacity is given to one box only: what a box may still use of a share
 * is not given to another until the share has lapsed.
 */
import * as messages from './return-message.js';

/** A box without a ping for this time is lost: its share and its bookings are given again, in milliseconds. */
export const shareLapsesMs = 2_000;

/** A new owner gives nothing for this time, in milliseconds: until then each box has reported its bookings. */
const startDelayMs = 1_000;

/** Part of the capacity that is shared equally: a box that has refused nothing so far may do so before its next ping. */
const equalPart = 0.1;

/** What a box refused counts for a few seconds: the part that is left of it after each second. */
const refusedKeptPerS = 0.8;

/** A box's seconds begin with those of the owner, but for the time of a message; in milliseconds. */
const alignmentMs = 100;

/** Core-milliseconds by second of the owner's clock. */
type BySecond = Map<number, number>;

type ByKind = Record<messages.ReturnKind, BySecond>;

/** What is known of a box. */
interface BoxState {
	heardAt: number;
	refused: Record<messages.ReturnKind, number>;
	refusedAt: number;
	booked: ByKind;
	/** What it may still book of its newest share. */
	given: ByKind;
}

/** Capacity that becomes free, by kind, in each second from a clock time on. */
export interface FreeSeconds {
	at: number;
	free: readonly { kind: messages.ReturnKind; coreMs: readonly number[] }[];
}

/** Shares of one owner. */
export class ReturnShares {
	private readonly boxes = new Map<string, BoxState>();
	private free = emptySeconds();
	/** Sums over the boxes: every answer to a ping reads them. */
	private booked = emptySeconds();
	private given = emptySeconds();
	private readonly startedAt: number;

	private constructor(private readonly now: () => number) {
		this.startedAt = now();
	}

	/** `now`: clock time. */
	static create(now: () => number): ReturnShares {
		return new ReturnShares(now);
	}

	/** Takes in a forecast; undefined: there is none, and nothing is shared. */
	update(forecast: FreeSeconds | undefined): void {
		this.free = emptySeconds();
		for (const { kind, coreMs } of forecast?.free ?? [])
			addSeconds(this.free[kind], secondOf(forecast?.at ?? 0), coreMs);
		this.forgetLost(this.now());
		this.sumUp();
	}

	/**
	 * Takes in what a box reported with its ping. `booked` replaces what it reported before; absent: it has booked nothing.
	 */
	noteReport(
		box: string,
		refused: messages.RefusedWork = [],
		booked?: messages.SharedSeconds | 'unchanged',
	): void {
		const now = this.now();
		const state = this.boxes.get(box) ?? createState(now);
		this.boxes.set(box, state);
		state.heardAt = now;
		decayRefused(state, now);
		for (const { kind, coreMs } of refused) state.refused[kind] += coreMs;
		if (booked !== 'unchanged') this.replaceBooked(state, booked);
	}

	/** The share of a box, which replaces its former one; undefined: nothing is shared yet. */
	giveTo(box: string): messages.SharedSeconds | undefined {
		const now = this.now();
		this.forgetLost(now);
		const state = this.boxes.get(box);
		if (state === undefined || now - this.startedAt < startDelayMs) return undefined;
		const first = secondOf(now);
		const shares = messages.returnKinds.map((kind) => {
			const weight = this.weightOf(state, kind, now);
			const coreMs = seconds(first).map((second) => this.shareOf(state, kind, second, weight));
			return { kind, coreMs };
		});
		for (const { kind, coreMs } of shares)
			state.given[kind] = replaceIn(
				this.given[kind],
				state.given[kind],
				addSeconds(new Map(), first, coreMs),
			);
		return { fromMs: first * 1_000 - now, shares };
	}

	/** What all boxes have booked, in core-milliseconds. */
	get bookedCoreMs(): number {
		return this.sum((state) => messages.returnKinds.flatMap((kind) => [...state.booked[kind].values()]));
	}

	/** Number of boxes that pinged lately. */
	get boxCount(): number {
		return this.boxes.size;
	}

	private replaceBooked(state: BoxState, booked?: messages.SharedSeconds): void {
		const reported = emptySeconds();
		const first = secondOf(this.now() + (booked?.fromMs ?? 0) + alignmentMs);
		for (const { kind, coreMs } of booked?.shares ?? []) addSeconds(reported[kind], first, coreMs);
		for (const kind of messages.returnKinds) {
			const left = withoutNewBookings(state.given[kind], state.booked[kind], reported[kind]);
			state.given[kind] = replaceIn(this.given[kind], state.given[kind], left);
			state.booked[kind] = replaceIn(this.booked[kind], state.booked[kind], reported[kind]);
		}
	}

	/** A box's part of a second, of what is neither booked nor given to another box. */
	private shareOf({ given }: BoxState, kind: messages.ReturnKind, second: number, weight: number): number {
		const unbooked = (this.free[kind].get(second) ?? 0) - (this.booked[kind].get(second) ?? 0);
		const givenToOthers = (this.given[kind].get(second) ?? 0) - (given[kind].get(second) ?? 0);
		return Math.floor(Math.max(0, Math.min(unbooked * weight, unbooked - givenToOthers)));
	}

	/** The part of the capacity that a box gets. */
	private weightOf(state: BoxState, kind: messages.ReturnKind, now: number): number {
		for (const one of this.boxes.values()) decayRefused(one, now);
		const all = this.sum(({ refused }) => [refused[kind]]);
		const equal = 1 / this.boxes.size;
		return all < 1 ? equal : equalPart * equal + ((1 - equalPart) * state.refused[kind]) / all;
	}

	private forgetLost(now: number): void {
		for (const [box, state] of this.boxes) {
			if (now - state.heardAt < shareLapsesMs) continue;
			this.boxes.delete(box);
			for (const kind of messages.returnKinds) {
				replaceIn(this.booked[kind], state.booked[kind], new Map());
				replaceIn(this.given[kind], state.given[kind], new Map());
			}
		}
	}

	/** Sums anew, so that past seconds are dropped. */
	private sumUp(): void {
		this.booked = emptySeconds();
		this.given = emptySeconds();
		for (const state of this.boxes.values())
			for (const kind of messages.returnKinds) {
				replaceIn(this.booked[kind], new Map(), state.booked[kind]);
				replaceIn(this.given[kind], new Map(), state.given[kind]);
			}
	}

	private sum(valuesOf: (state: BoxState) => readonly number[]): number {
		let total = 0;
		for (const state of this.boxes.values()) for (const value of valuesOf(state)) total += value;
		return total;
	}
}

/** The shared seconds from a second on. */
function seconds(first: number): number[] {
	return Array.from({ length: messages.sharedSeconds }, (_, index) => first + index);
}

/** Number of the second that a clock time is in. */
function secondOf(at: number): number {
	return Math.floor(at / 1_000);
}

function emptySeconds(): ByKind {
	return { reserved: new Map(), preemptible: new Map() };
}

function addSeconds(to: BySecond, first: number, coreMs: readonly number[]): BySecond {
	for (const [index, value] of coreMs.entries()) to.set(first + index, (to.get(first + index) ?? 0) + value);
	return to;
}

/** What is left of a share after what has been booked of it since the last report. */
function withoutNewBookings(given: BySecond, before: BySecond, after: BySecond): BySecond {
	const left: BySecond = new Map();
	for (const [second, coreMs] of given) {
		const added = Math.max(0, (after.get(second) ?? 0) - (before.get(second) ?? 0));
		left.set(second, Math.max(0, coreMs - added));
	}
	return left;
}

/** Replaces one box's part of a sum; returns the new part. */
function replaceIn(total: BySecond, before: BySecond, after: BySecond): BySecond {
	for (const [second, coreMs] of before) total.set(second, (total.get(second) ?? 0) - coreMs);
	for (const [second, coreMs] of after) total.set(second, (total.get(second) ?? 0) + coreMs);
	return after;
}

function createState(now: number): BoxState {
	return {
		heardAt: now,
		refused: { reserved: 0, preemptible: 0 },
		refusedAt: now,
		booked: emptySeconds(),
		given: emptySeconds(),
	};
}

function decayRefused(state: BoxState, now: number): void {
	const kept = refusedKeptPerS ** ((now - state.refusedAt) / 1_000);
	for (const kind of messages.returnKinds) state.refused[kind] *= kept;
	state.refusedAt = now;
}
