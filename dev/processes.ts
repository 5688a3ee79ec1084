/** Starts real processes for the demo, the measurements and the tests, and reads the JSON lines that they print. */
import * as childProcess from 'node:child_process';
import * as events from 'node:events';
import * as readline from 'node:readline';
import * as url from 'node:url';

/** A started process and its output. */
export interface StartedProcess {
	name: string;
	child: childProcess.ChildProcess;
	/** The JSON objects that the process printed on standard output, oldest first. */
	jsonLines: Record<string, unknown>[];
	/** Emits `line` with each new JSON object, and with `{ exited: true }` when the process exits. */
	lineEmitter: events.EventEmitter;
	/** Lines that the process wrote to standard error. */
	stderrLines: string[];
}

const distUrl = new URL('..', import.meta.url);

/** Path of a compiled program, e.g. `stand-ins/platform/main.js`. */
export function programPath(relative: string): string {
	return url.fileURLToPath(new URL(relative, distUrl));
}

/** Starts a compiled program with Node; `DEV_NODE_FLAGS` adds Node's own flags, e.g. for a profile. */
export function start(
	name: string,
	relative: string,
	args: string[] = [],
	env: Record<string, string> = {},
): StartedProcess {
	const flags = (process.env.DEV_NODE_FLAGS ?? '').split(' ').filter((flag) => flag.length > 0);
	const child = childProcess.spawn(process.execPath, [...flags, programPath(relative), ...args], {
		env: { ...process.env, ...env },
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	const started: StartedProcess = {
		name,
		child,
		jsonLines: [],
		lineEmitter: new events.EventEmitter(),
		stderrLines: [],
	};
	started.lineEmitter.setMaxListeners(100);
	readline.createInterface({ input: child.stdout }).on('line', (line) => {
		recordLine(started, line);
	});
	readline.createInterface({ input: child.stderr }).on('line', (line) => started.stderrLines.push(line));
	child.on('exit', () => started.lineEmitter.emit('line', { exited: true }));
	return started;
}

function recordLine(started: StartedProcess, line: string): void {
	if (!line.startsWith('{')) return;
	const value = JSON.parse(line) as Record<string, unknown>;
	started.jsonLines.push(value);
	started.lineEmitter.emit('line', value);
}

/**
 * Resolves with the first line, earlier or new, for which `matches` returns true. Rejects when the process exits or after
 * `timeoutMs`.
 */
export function waitForLine(
	started: StartedProcess,
	matches: (line: Record<string, unknown>) => boolean,
	timeoutMs = 20_000,
): Promise<Record<string, unknown>> {
	const earlier = started.jsonLines.find(matches);
	if (earlier !== undefined) return Promise.resolve(earlier);
	return new Promise((resolve, reject) => {
		const finish = (err: Error | undefined, line: Record<string, unknown>): void => {
			clearTimeout(timer);
			started.lineEmitter.off('line', onLine);
			if (err) reject(err);
			else resolve(line);
		};
		const onLine = (line: Record<string, unknown>): void => {
			if (matches(line)) finish(undefined, line);
			else if (line.exited === true)
				finish(new Error(`${started.name} exited: ${started.stderrLines.join('\n')}`), line);
		};
		const timer = setTimeout(() => {
			finish(new Error(`${started.name} did not print the expected line within ${timeoutMs} ms`), {});
		}, timeoutMs);
		started.lineEmitter.on('line', onLine);
	});
}

/** The address that a stand-in prints once it listens. */
export async function readyAddress(started: StartedProcess): Promise<string> {
	const line = await waitForLine(started, (jsonLine) => typeof jsonLine.ready === 'string');
	return String(line.ready);
}

/** The addresses of a program of the system, from its event 1001 (`process.started`). */
export async function startedAddresses(started: StartedProcess): Promise<{ peer: string; serves: string }> {
	const line = await waitForLine(started, (jsonLine) => jsonLine.name === 'process.started');
	const fields = line.fields as Record<string, string>;
	return { peer: fields.peer ?? '', serves: fields.serves ?? '' };
}

/** Sends a signal to a process and resolves with its exit code (null if a signal ended it). */
export function stop(started: StartedProcess, signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
	if (started.child.exitCode !== null || started.child.signalCode !== null) {
		return Promise.resolve(started.child.exitCode);
	}
	return new Promise((resolve) => {
		started.child.once('exit', (code) => {
			resolve(code);
		});
		started.child.kill(signal);
	});
}
