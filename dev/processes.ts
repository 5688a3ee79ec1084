/** Starts real processes for the demo, the measurements and the tests, and reads the JSON lines that they print. */
import * as childProcess from 'node:child_process';
import * as events from 'node:events';
import * as readline from 'node:readline';
import * as url from 'node:url';

/** A started process and its output. */
export interface Started {
	name: string;
	child: childProcess.ChildProcess;
	/** The JSON objects that the process printed on standard output, oldest first. */
	lines: Record<string, unknown>[];
	/** Emits `line` with each new JSON object, and with `{ exited: true }` when the process exits. */
	bus: events.EventEmitter;
	/** Lines that the process wrote to standard error. */
	errors: string[];
}

const dist = new URL('..', import.meta.url);

/** Path of a compiled program, e.g. `stand-ins/platform/main.js`. */
export function program(relative: string): string {
	return url.fileURLToPath(new URL(relative, dist));
}

/** Starts a compiled program with Node; `DEV_NODE_FLAGS` adds Node's own flags, e.g. for a profile. */
export function start(
	name: string,
	relative: string,
	args: string[] = [],
	env: Record<string, string> = {},
): Started {
	const flags = (process.env.DEV_NODE_FLAGS ?? '').split(' ').filter((flag) => flag.length > 0);
	const child = childProcess.spawn(process.execPath, [...flags, program(relative), ...args], {
		env: { ...process.env, ...env },
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	const started: Started = { name, child, lines: [], bus: new events.EventEmitter(), errors: [] };
	started.bus.setMaxListeners(100);
	readline.createInterface({ input: child.stdout }).on('line', (line) => {
		take(started, line);
	});
	readline.createInterface({ input: child.stderr }).on('line', (line) => started.errors.push(line));
	child.on('exit', () => started.bus.emit('line', { exited: true }));
	return started;
}

function take(started: Started, line: string): void {
	if (!line.startsWith('{')) return;
	const value = JSON.parse(line) as Record<string, unknown>;
	started.lines.push(value);
	started.bus.emit('line', value);
}

/**
 * Resolves with the first line, earlier or new, for which `matches` returns true. Rejects when the process exits or after
 * `timeoutMs`.
 */
export function waitLine(
	started: Started,
	wanted: (line: Record<string, unknown>) => boolean,
	timeoutMs = 20_000,
): Promise<Record<string, unknown>> {
	const past = started.lines.find(wanted);
	if (past !== undefined) return Promise.resolve(past);
	return new Promise((resolve, reject) => {
		const done = (err: Error | undefined, line: Record<string, unknown>): void => {
			clearTimeout(timer);
			started.bus.off('line', look);
			if (err) reject(err);
			else resolve(line);
		};
		const look = (line: Record<string, unknown>): void => {
			if (wanted(line)) done(undefined, line);
			else if (line.exited === true)
				done(new Error(`${started.name} exited: ${started.errors.join('\n')}`), line);
		};
		const timer = setTimeout(() => {
			done(new Error(`${started.name} did not print the expected line within ${timeoutMs} ms`), {});
		}, timeoutMs);
		started.bus.on('line', look);
	});
}

/** The address that a stand-in prints once it listens. */
export async function readyAddress(started: Started): Promise<string> {
	const line = await waitLine(started, (one) => typeof one.ready === 'string');
	return String(line.ready);
}

/** The addresses of a program of the system, from its event 1001 (`process.started`). */
export async function startedAddresses(started: Started): Promise<{ peer: string; serves: string }> {
	const line = await waitLine(started, (one) => one.name === 'process.started');
	const fields = line.fields as Record<string, string>;
	return { peer: fields.peer ?? '', serves: fields.serves ?? '' };
}

/** Sends a signal to a process and resolves with its exit code (null if a signal ended it). */
export function stop(started: Started, signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
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
