/** Failures as values, and how each is shown to callers (problem+json) and operators (gRPC). */
import * as catalogue from './catalogue.js';
import type * as types from './types.js';

export type { ErrorName, Failure, RunOutcome } from './types.js';
export { errorCatalogue } from './catalogue.js';

/** Builds a failure value. */
export function failure(
	name: types.ErrorName,
	detail: string,
	extra: { retryAfterMs?: number; run?: types.RunOutcome } = {},
): types.Failure {
	return { name, detail, ...extra };
}

/** The catalogue row of a failure. */
export function rowOf(err: types.Failure): catalogue.ErrorRow {
	return catalogue.errorCatalogue[err.name];
}

/** An `application/problem+json` body (RFC 9457) with the project's own members. */
export interface Problem {
	type: string;
	title: string;
	status: number;
	detail: string;
	hint: string;
	notRun?: true;
	mayHaveRun?: true;
	retryAfterMs?: number;
}

/** Converts a failure to the HTTP body that tells a caller what became of the request. */
export function toProblem(err: types.Failure): Problem {
	const row = rowOf(err);
	const problem: Problem = {
		type: `urn:woodcross:error:${err.name}`,
		title: row.title,
		status: row.http,
		detail: err.detail,
		hint: row.hint,
	};
	if (err.run === 'not-run') problem.notRun = true;
	if (err.run === 'may-have-run') problem.mayHaveRun = true;
	if (err.retryAfterMs !== undefined) problem.retryAfterMs = err.retryAfterMs;
	return problem;
}

/** Formats a failure as one line, for a terminal or a gRPC status message. */
export function toLine(err: types.Failure): string {
	const row = rowOf(err);
	return `${row.title}: ${err.detail}. ${row.hint}`;
}
