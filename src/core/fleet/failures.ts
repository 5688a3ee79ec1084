/** Classification of failed calls to workers. */
import type * as types from './types.js';

/** Whether no answer came. A refusal is an answer. */
export function isUnanswered(err: types.WorkerFailure): boolean {
	return err.kind === 'no-answer' || err.kind === 'unreachable';
}
