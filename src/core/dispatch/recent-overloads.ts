/** Serving tasks that were over their targets a moment ago, and are still working off the requests queued meanwhile. */
import type * as sessions from './worker-session.js';

/** A serving task that was over its target recently gets no new neighbour with a steeper interference slope than this. */
const maxSlopeAfterOverload = 0.4;

/** Time for which a serving task that was over its target gets no neighbour that interferes with it, in milliseconds. */
const overloadCooldownMs = 2_000;

/** How much a neighbour image raises a serving image's busy part, for a whole worker. */
export type SlopeOf = (serving: string, neighbour: string) => number;

/** Whether a task of the image would interfere with a serving task that was over its target recently. */
export function interferesWithOverloaded(
	image: string,
	worker: sessions.WorkerSession,
	slopeOf: SlopeOf,
	now: number,
): boolean {
	for (const place of worker.placements.values()) {
		if (now - place.lastOverTargetAt >= overloadCooldownMs) continue;
		if (slopeOf(place.task.step.spec.image, image) > maxSlopeAfterOverload) return true;
	}
	return false;
}
