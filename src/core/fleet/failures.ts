/** Classification of failed calls to workers. */
import type * as types from './types.js';

/** Whether no answer came. A refusal is an answer. */
export function isUnanswered(err: types.WorkerFailure): boolean {
	return err.kind === 'no-answer' || err.kind === 'unreachable';
}

/** Why a call, or one copy of it, failed. */
export function reasonOf(err: types.WorkerFailure): types.WorkerFailure {
	return err.kind === 'in-doubt' ? err.refusal : err;
}

/** Whether the copy of a call that failed was certainly not carried out, and never will be. */
export function isNotCarriedOut(err: types.WorkerFailure): boolean {
	return err.kind !== 'no-answer' && err.kind !== 'in-doubt';
}
