/** JSON lines on standard output, bounded: a slow reader costs lines, which are counted, never waiting. */
import * as catalogue from './catalogue.js';

/** Bytes that may wait for the reader; about 4,000 lines. */
const maxWaitingBytes = 1024 * 1024;

let dropped = 0;
let batch = '';

/** Writes one line, or counts it as dropped. The lines of one turn of the event loop go out together. */
export function writeLine(value: object): void {
	if (process.stdout.writableLength + batch.length > maxWaitingBytes) {
		dropped += 1;
		return;
	}
	if (batch === '') setImmediate(flushLines);
	if (dropped > 0) {
		const name = 'log.dropped';
		batch += `${JSON.stringify({ id: catalogue.eventCatalogue[name].id, name, dropped })}\n`;
		dropped = 0;
	}
	batch += `${JSON.stringify(value)}\n`;
}

/** Hands all lines to the operating system; to be called before the process ends by itself. */
export function flushLines(): void {
	const lines = batch;
	batch = '';
	if (lines !== '') process.stdout.write(lines);
}
