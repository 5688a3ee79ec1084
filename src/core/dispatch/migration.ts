/** Filling tasks that were slowed for what serves users beside them. */
import * as settings from './settings.js';
import type * as types from './types.js';

/** What a move depends on beside its run. */
export interface MigrationConditions {
	now: number;
	/** More tasks that fill wait than find places. */
	isBacklogged: () => boolean;
	/** Going on from a checkpoint takes so long, in milliseconds. */
	restoreMs: number;
}

/** Whether a run was slowed to almost nothing for a while, and can go on elsewhere from a checkpoint. */
export function shouldMigrate(place: types.Placement, conditions: MigrationConditions): boolean {
	const { spec } = place.task.step;
	if (place.phase !== 'running' || !spec.fills || !spec.checkpoints) return false;
	const throttledMs = conditions.now - place.paceChangedAt;
	if (place.pace > settings.migrationPacePercent || throttledMs < settings.migrateAfterMs) return false;
	const isExpensive = conditions.restoreMs > spec.estimateMs * settings.costlyMigrationFraction;
	return throttledMs >= settings.costlyMigrateAfterMs || !isExpensive || !conditions.isBacklogged();
}
