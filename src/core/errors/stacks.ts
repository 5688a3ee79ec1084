/** Where errors come from, for logs. */

/** Number of calls of a stack that are logged. */
const loggedCalls = 3;

/** The innermost calls of an error's stack; undefined: it has none. */
export function placeOf(err: unknown): string | undefined {
	if (!(err instanceof Error)) return undefined;
	const calls = err.stack?.split('\n').slice(1, 1 + loggedCalls);
	return calls?.map((call) => call.trim()).join(', ');
}
