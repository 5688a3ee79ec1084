/** Filling tasks that were slowed for what serves users beside them. */
import * as settings from './settings.js';
import type * as types from './types.js';

/** Whether a run was slowed to almost nothing for a while, and can go on elsewhere from a checkpoint. */
export function isMovable(place: types.Placement, now: number, isBacklogged: boolean): boolean {
	const { spec } = place.task.step;
	if (place.phase !== 'running' || !spec.fills || !spec.checkpoints) return false;
	const afterMs = isBacklogged ? settings.movedInBacklogMs : settings.movedAfterMs;
	return place.pace <= settings.movedPace && now - place.pacedAt >= afterMs;
}
