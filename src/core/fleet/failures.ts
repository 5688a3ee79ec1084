/** What failed calls to workers tell. */
import type * as types from './types.js';

/** Whether a failure says that nobody answered; a refusal is an answer. */
export function isUnanswered(err: types.WorkerFailure): boolean {
	return err.kind === 'no-answer' || err.kind === 'unreachable';
}
