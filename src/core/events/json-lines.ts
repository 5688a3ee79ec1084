/**
 * JSON lines on standard output, with a bounded buffer. A slow reader loses lines, which are counted, and never makes the
 * process wait. A reader that is gone loses lines too, and never ends the process. A line is handed over before what it
 * reports takes effect, so that a process that crashes has logged what it did.
 */
import * as catalogue from './catalogue.js';

/** Maximum number of bytes buffered for the reader; about 4,000 lines. */
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

/** Logs how many lines were dropped. */
function logDropped(): void {
	const name = 'log.dropped';
	const { id, level } = catalogue.eventCatalogue[name];
	const count = dropped;
	dropped = 0;
	write({ id, name, fields: { dropped: count }, level }, count);
}

/** Writes a line; if that fails, counts `lines` more as dropped. */
function write(value: object, lines: number): void {
	process.stdout.write(`${JSON.stringify(value)}\n`, (err) => {
		if (err) dropped += lines;
	});
}

/** Keeps an error of the output from ending the process. Another reader may attach, so each line is tried. */
function handleOutputErrors(): void {
	handlesErrors = true;
	let isReported = false;
	process.stdout.on('error', (err: Error) => {
		if (isReported) return;
		isReported = true;
		process.stderr.write(`log lines are lost: ${err.message}\n`);
	});
	process.stderr.on('error', () => {
		// Neither output has a reader, so this can't be reported anywhere; the dropped lines are counted.
	});
}
