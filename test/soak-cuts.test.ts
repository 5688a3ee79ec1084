/** Which requests without an answer the soak reports as cut off by a planned stop. */
import * as net from 'node:net';
import test from 'ava';
import * as boxClients from '../dev/soak/box-client.js';
import * as checkers from '../dev/soak/invariant-checker.js';
import type * as boxes from '../stand-ins/box-process.js';
import type * as environments from '../dev/soak/environment.js';

/** A server that reads a request and then ends the connection. */
interface Cutter {
	process: boxes.BoxProcess;
	/** Resolves once a request has arrived. */
	asked: Promise<unknown>;
	/** Ends the connection of the request. */
	cut: () => void;
	/** Resets it, as the kernel does with connections that nobody has accepted. */
	reset: () => void;
	close: () => void;
}

/** Stands in for a process of which only the address is used. */
function processAt(callers: string): boxes.BoxProcess {
	const partial: unknown = { callers };
	return partial as boxes.BoxProcess;
}

async function startCutter(): Promise<Cutter> {
	const server = net.createServer();
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
	const callers = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
	let openSocket: net.Socket | undefined;
	const requestRead = new Promise((resolve) => {
		server.on('connection', (socket) => {
			openSocket = socket;
			socket.once('data', resolve);
		});
	});
	return {
		process: processAt(callers),
		asked: requestRead,
		cut: () => openSocket?.end(),
		reset: () => openSocket?.resetAndDestroy(),
		close: () => server.close(),
	};
}

/** A box whose newest process is this one. */
function boxOf(process: boxes.BoxProcess): environments.SoakBox {
	const store = undefined as unknown as environments.SoakBox['store'];
	const noFault = { faultUntil: -Infinity, plannedStopUntil: -Infinity };
	return { name: 'entry-1', store, process, stopping: undefined, processCount: 2, lines: [], ...noFault };
}

/** Sends a request, calls `meanwhile`, and ends or resets the connection. Returns the promises reported as broken. */
async function cutOff(
	prepare: (box: environments.SoakBox) => void,
	meanwhile: (box: environments.SoakBox) => void,
	how: 'cut' | 'reset' = 'cut',
): Promise<string[]> {
	const cutter = await startCutter();
	const box = boxOf(cutter.process);
	const checker = checkers.InvariantChecker.create(() => 0, false);
	const client = boxClients.BoxClient.create({
		environment: { boxes: [box], now: () => 0 },
		checker,
		nextRandom: () => 0,
	});
	prepare(box);
	const reply = client.send(box, 'GET', '/jobs/a');
	await cutter.asked;
	meanwhile(box);
	cutter[how]();
	await reply;
	await client.close();
	cutter.close();
	return checker.violations.map((one) => one.promise);
}

const nothing = (): void => undefined;

/** Begins a planned stop of the box's process. */
function stop(box: environments.SoakBox): void {
	box.stopping = box.process;
	box.plannedStopUntil = Infinity;
}

test('a request that a planned stop cuts off is reported', async (t) => {
	t.deepEqual(await cutOff(stop, nothing), ['cut']);
});

test('a request that was under way when a planned stop began and is cut off is reported', async (t) => {
	t.deepEqual(await cutOff(nothing, stop), ['cut']);
});

// Guards against a soak that misses cut-off requests: a connection that the kernel resets fails with another error than one
// that is ended.
test('a request whose connection a planned stop resets is reported', async (t) => {
	t.deepEqual(await cutOff(stop, nothing, 'reset'), ['cut']);
});

test('a request whose connection a kill resets is not reported', async (t) => {
	t.deepEqual(await cutOff(nothing, nothing, 'reset'), []);
});

test('a request that is cut off after the stopped process has ended and another has started is reported', async (t) => {
	const replaced = await cutOff(stop, (box) => {
		box.process = processAt('127.0.0.1:1');
		box.plannedStopUntil = -Infinity;
	});
	t.deepEqual(replaced, ['cut']);
});

test('a request that is cut off by a kill soon after an earlier process was stopped is not reported', async (t) => {
	const killed = await cutOff((box) => {
		box.stopping = processAt('127.0.0.1:1');
		box.plannedStopUntil = Infinity;
	}, nothing);
	t.deepEqual(killed, []);
});

test('a request counts as cut off unless its connection was refused, or reset before anything was written to it', (t) => {
	t.true(boxClients.isCutOff('UND_ERR_SOCKET', true));
	t.true(boxClients.isCutOff('UND_ERR_SOCKET', false));
	t.true(boxClients.isCutOff('ECONNRESET', true));
	t.true(boxClients.isCutOff('EPIPE', true));
	t.false(boxClients.isCutOff('ECONNRESET', false));
	t.false(boxClients.isCutOff('ECONNREFUSED', false));
});
