/** `npm run measure -- <name>`: prints a table and saves it as JSON under measurements/. */
import * as commit from './commit.js';
import * as dispatchLoad from './dispatch-load.js';
import * as entry from './entry.js';
import * as forecast from './forecast.js';
import * as placement from './placement.js';
import * as recovery from './recovery.js';
import * as slots from './slots.js';
import * as slopes from './slopes.js';

const measurements: Record<string, () => Promise<void>> = {
	commit: commit.measureCommit,
	entry: entry.measureEntry,
	forecast: forecast.measureForecast,
	load: dispatchLoad.measureDispatchLoad,
	placement: placement.measurePlacement,
	recovery: recovery.measureRecovery,
	slots: slots.measureSlots,
	slopes: slopes.measureSlopes,
};

const name = process.argv[2] ?? '';
const run = measurements[name];
if (run === undefined) {
	console.error(
		`measure: unknown measurement '${name}', expected one of ${Object.keys(measurements).join(', ')}`,
	);
	process.exit(2);
}
await run();
