/** Migration of preemptible tasks that were throttled for the serving tasks beside them. */
import * as settings from './settings.js';
import type * as types from './types.js';

/** What a migration depends on besides its run. */
export interface MigrationConditions {
	now: number;
	/** Whether more preemptible tasks wait than find placements. */
	isBacklogged: () => boolean;
	/** Time that resuming from a checkpoint takes, in milliseconds. */
	restoreMs: number;
}

/**
 * Whether a run has been throttled strongly for a while, and can resume elsewhere from a checkpoint. An expensive migration
 * has to wait longer while there is a backlog.
 */
export function shouldMigrate(place: types.Placement, conditions: MigrationConditions): boolean {
	const { spec } = place.task.step;
	if (place.phase !== 'running' || !spec.fills || !spec.checkpoints) return false;
	const throttledMs = conditions.now - place.paceChangedAt;
	if (place.pace > settings.migrationPacePercent || throttledMs < settings.migrateAfterMs) return false;
	const isExpensive = conditions.restoreMs > spec.estimateMs * settings.costlyMigrationFraction;
	return throttledMs >= settings.costlyMigrateAfterMs || !isExpensive || !conditions.isBacklogged();
}
