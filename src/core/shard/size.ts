/**
 * Estimates the size of a shard's snapshot (docs/CAPACITY.md), so that it stays below the largest value that the platform
 * stores: a shard that can't store its snapshot can commit no more decisions.
 */
import type * as types from './types.js';

/** Size of a task in a snapshot, in bytes. */
const taskBytes = 260;

/** Size of a claim in a snapshot, in bytes. */
const claimBytes = 260;

/** Limit of a snapshot's estimated size, in bytes; a value in the platform's store holds a megabyte. */
export const maxStateBytes = 900_000;

/** Estimated size above which ended jobs are dropped before their retention time ends, in bytes. */
export const earlyDropStateBytes = maxStateBytes / 2;

/** Estimated size of the snapshot with `additionalTasks` more tasks, in bytes. */
export function stateBytes(state: types.ShardState, additionalTasks = 0): number {
	return (state.tasks.size + additionalTasks) * taskBytes + state.claims.size * claimBytes;
}
