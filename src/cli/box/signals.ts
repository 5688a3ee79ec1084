/**
 * Signals of the platform, taken from the moment at which this module is loaded: a signal that nobody takes ends the process
 * at once, and a box opens its addresses before it is complete.
 */

/** Set once settings can be read again. */
let reload: (() => void) | undefined;
let isReloadRequested = false;

/** Resolves once a planned stop is asked for, to the time of `performance.now()` at which it was. */
export const stopRequested = new Promise<number>((resolve) => {
	// Not only the first: another one must not end a stop that is under way.
	process.on('SIGTERM', () => {
		resolve(performance.now());
	});
});

process.on('SIGHUP', () => {
	if (reload === undefined) isReloadRequested = true;
	else reload();
});

/** Calls `fn` whenever settings are to be read again, also if that was asked for before. */
export function onReload(fn: () => void): void {
	reload = fn;
	if (isReloadRequested) fn();
}
