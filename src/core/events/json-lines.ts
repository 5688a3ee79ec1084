/**
 * JSON lines on standard output, bounded: a slow reader costs lines, which are counted, never waiting. A line is handed
 * over before what it tells of takes effect, so that a process that dies has told what it did.
 */
import * as catalogue from './catalogue.js';

/** Bytes that may wait for the reader; about 4,000 lines. */
const maxWaitingBytes = 1024 * 1024;

let dropped = 0;

/** Writes one line, or counts it as dropped. */
export function writeLine(value: object): void {
	if (process.stdout.writableLength > maxWaitingBytes) {
		dropped += 1;
		return;
	}
	if (dropped > 0) {
		const name = 'log.dropped';
		const { id, level } = catalogue.eventCatalogue[name];
		process.stdout.write(`${JSON.stringify({ id, name, fields: { dropped }, level })}\n`);
		dropped = 0;
	}
	process.stdout.write(`${JSON.stringify(value)}\n`);
}
