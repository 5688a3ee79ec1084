/**
 * JSON lines on standard output, bounded: a slow reader costs lines, which are counted, never waiting; one that is gone
 * costs lines too, never the process. A line is handed over before what it tells of takes effect, so that a process that
 * dies has told what it did.
 */
import * as catalogue from './catalogue.js';

/** Bytes that may wait for the reader; about 4,000 lines. */
const maxBufferedBytes = 1024 * 1024;

let dropped = 0;
let handlesErrors = false;

/** Writes one line, or counts it as dropped. */
export function writeLine(value: object): void {
	if (!handlesErrors) handleOutputErrors();
	if (process.stdout.writableLength > maxBufferedBytes) {
		dropped += 1;
		return;
	}
	if (dropped > 0) logDropped();
	write(value, 1);
}

/** Tells how many lines were left out. */
function logDropped(): void {
	const name = 'log.dropped';
	const { id, level } = catalogue.eventCatalogue[name];
	const count = dropped;
	dropped = 0;
	write({ id, name, fields: { dropped: count }, level }, count);
}

/** Writes a line; if that fails, `lines` more are left out. */
function write(value: object, lines: number): void {
	process.stdout.write(`${JSON.stringify(value)}\n`, (err) => {
		if (err) dropped += lines;
	});
}

/** An error of the output must not end the process. Another reader may come: each line is tried. */
function handleOutputErrors(): void {
	handlesErrors = true;
	let isReported = false;
	process.stdout.on('error', (err: Error) => {
		if (isReported) return;
		isReported = true;
		process.stderr.write(`log lines are lost: ${err.message}\n`);
	});
	process.stderr.on('error', () => {
		// Nobody reads either of them: there is no place left to tell it, and the lines are counted.
	});
}
