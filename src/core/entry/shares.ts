/**
 * Divides a backend server's slots among the entry boxes of its availability zone. Pure: every box computes the same shares
 * from the same view. docs/decisions/0004-slots.md compares this with the alternatives.
 */
import * as hash from '../hash.js';

/** One entry box's demand for a service: requests running and waiting. */
export interface BoxDemand {
	box: string;
	demand: number;
}

/**
 * Shares of `slots` by box. Every box gets one slot where there are enough, so that a box that had no demand can serve its
 * first request at once. The rest is divided by demand; slots left over by rounding go to the largest remainders, equal ones
 * in rendezvous order for this backend server.
 */
export function shareByDemand(
	backend: string,
	slots: number,
	demands: readonly BoxDemand[],
): Map<string, number> {
	const order = hash.rendezvous(
		backend,
		demands.map((one) => one.box),
	);
	const byBox = new Map(demands.map((one) => [one.box, one.demand]));
	const shares = new Map(order.map((box, index) => [box, index < slots ? 1 : 0]));
	const rest = Math.max(0, slots - order.length);
	const total = demands.reduce((sum, one) => sum + one.demand, 0);
	const wanted = order.map((box) => {
		const exact = total === 0 ? rest / order.length : (rest * (byBox.get(box) ?? 0)) / total;
		return { box, whole: Math.floor(exact), part: exact - Math.floor(exact) };
	});
	let remaining = rest - wanted.reduce((sum, one) => sum + one.whole, 0);
	for (const one of wanted) shares.set(one.box, (shares.get(one.box) ?? 0) + one.whole);
	// The stable sort keeps the rendezvous order among equal remainders.
	for (const one of [...wanted].sort((a, b) => b.part - a.part)) {
		if (remaining <= 0) break;
		shares.set(one.box, (shares.get(one.box) ?? 0) + 1);
		remaining -= 1;
	}
	return shares;
}

/** Every box gets the same share whatever its demand. A baseline for comparison. */
export function shareEqually(
	backend: string,
	slots: number,
	demands: readonly BoxDemand[],
): Map<string, number> {
	return shareByDemand(
		backend,
		slots,
		demands.map((one) => ({ box: one.box, demand: 0 })),
	);
}

/** Every box may use every slot, and the backend server refuses what exceeds its capacity. A baseline for comparison. */
export function shareUnlimited(
	_backend: string,
	slots: number,
	demands: readonly BoxDemand[],
): Map<string, number> {
	return new Map(demands.map((one) => [one.box, slots]));
}

/** A function that divides a backend server's slots. */
export type ShareRule = typeof shareByDemand;

/** Rules by value of the setting `slot-sharing`. */
export const shareRules = {
	demand: shareByDemand,
	fixed: shareEqually,
	none: shareUnlimited,
} as const satisfies Record<string, ShareRule>;

/**
 * Slots of a backend server that an entry box of another availability zone may use. The reserved slots are divided equally;
 * the remainder is too small to split and goes whole to the first boxes in rendezvous order.
 */
export function shareForOtherZone(
	backend: string,
	reserved: number,
	boxes: readonly string[],
	box: string,
): number {
	const order = hash.rendezvous(`${backend}/afar`, boxes);
	const rank = order.indexOf(box);
	if (rank < 0 || order.length === 0) return 0;
	return Math.floor(reserved / order.length) + (rank < reserved % order.length ? 1 : 0);
}

/** Slots of a backend server that are reserved for other availability zones. */
export function slotsForOtherZones(slots: number, percent: number): number {
	return percent === 0 ? 0 : Math.min(slots - 1, Math.ceil((slots * percent) / 100));
}

/** A share that shrinks at once and grows only when two consecutive rounds allow it. */
export class SteadyShare {
	private previousTarget = 0;
	private current = 0;

	private constructor() {
		// Instances are made by `create`.
	}

	static create(): SteadyShare {
		return new SteadyShare();
	}

	/** Applies a round's target; returns the number of slots that may be used. */
	update(target: number): number {
		this.current = Math.min(target, Math.max(this.previousTarget, this.current));
		if (target <= this.previousTarget) this.current = target;
		this.previousTarget = target;
		return this.current;
	}

	get value(): number {
		return this.current;
	}
}
