/**
 * How large a shard's snapshot is, estimated from what was measured (docs/CAPACITY.md), so that it stays within
 * the platform's largest value: a shard that could not store its snapshot could decide nothing more.
 */
import type * as types from './types.js';

/** Bytes of a task in a snapshot. */
const taskBytes = 260;

/** Bytes of a claim in a snapshot. */
const claimBytes = 260;

/** Bytes of snapshot that may be in use; the platform's values hold a megabyte. */
export const maxStateBytes = 900_000;

/** Bytes from which ended jobs are dropped before their time. */
export const earlyDropStateBytes = maxStateBytes / 2;

/** Estimated bytes of the snapshot with `more` tasks added. */
export function stateBytes(state: types.ShardState, additionalTasks = 0): number {
	return (state.tasks.size + additionalTasks) * taskBytes + state.claims.size * claimBytes;
}
