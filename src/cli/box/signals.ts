/**
 * Handlers of the platform's signals, installed when this module is loaded: a signal without a handler ends the process at
 * once, and a box opens its addresses before it is complete.
 */

/** Undefined until settings can be read again. */
let reload: (() => void) | undefined;
let isReloadRequested = false;

/** Resolves when a planned stop is requested, to the `performance.now()` time of the request. */
export const stopRequested = new Promise<number>((resolve) => {
	// `on`, not `once`: a further signal must not end a stop in progress.
	process.on('SIGTERM', () => {
		resolve(performance.now());
	});
});

process.on('SIGHUP', () => {
	if (reload === undefined) isReloadRequested = true;
	else reload();
});

/** Calls `fn` whenever settings are to be read again, and at once if that was requested before. */
export function onReload(fn: () => void): void {
	reload = fn;
	if (isReloadRequested) fn();
}
