/** Outcomes are values: every call that may fail for an outside reason returns one of these. */

/** Either a value or the failure in its place. */
export type Result<T, E> = { ok: true; value: T } | { ok: false; err: E };

/** Wraps a value as a success. */
export function ok<T>(value: T): { ok: true; value: T } {
	return { ok: true, value };
}

/** Wraps a failure. */
export function fail<E>(err: E): { ok: false; err: E } {
	return { ok: false, err };
}

/** Stops the process: something that the program's own logic rules out has happened. */
export function invariant(condition: boolean, message: string): asserts condition {
	if (!condition) throw new Error(`broken invariant: ${message}`);
}
