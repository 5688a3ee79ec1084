/** Connections between boxes: a call that times out, next to calls that do not. */
import test from 'ava';
import * as protocol from '../src/core/box/peer-protocol.js';
import * as events from '../src/core/events/index.js';
import * as results from '../src/core/result.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as wire from '../src/core/wire/frames-only.js';

/** Starts a peer that answers `quick` at once, and all other requests when `answerAll` is called. */
async function startSlowPeer(): Promise<{ server: wire.PeerServer<string>; answerAll: () => void }> {
	const pendingAnswers: (() => void)[] = [];
	const log = events.EventLog.create('peer', time.VirtualClock.create());
	const server = await wire.PeerServer.create(
		'127.0.0.1',
		0,
		log,
		(body) => results.ok(String(body)),
		async (req) => {
			if (req !== 'quick') await new Promise<void>((resolve) => pendingAnswers.push(resolve));
			return results.ok(req);
		},
	);
	return {
		server,
		answerAll: () => {
			for (const answer of pendingAnswers) answer();
		},
	};
}

test('a call that times out does not affect the others on its connection', async (t) => {
	const { server, answerAll } = await startSlowPeer();
	const clock = time.VirtualClock.create();
	const client = wire.PeerClient.create<string>(clock, events.EventLog.create('client', clock));
	t.deepEqual(await client.call(server.address, 'quick', 500), results.ok(results.ok('quick')));
	const held = client.call(server.address, 'held', 5_000);
	const overdue = client.call(server.address, 'overdue', 500);
	await clock.advance(100);
	await client.call(server.address, 'quick', 500);
	await clock.advance(500);
	const outcome = await overdue;
	t.is(outcome.ok ? undefined : outcome.err.cause, 'silent');
	answerAll();
	t.deepEqual(await held, results.ok(results.ok('held')));
	client.close();
	await server.close();
});

test('a connection that no longer delivers anything is reopened', async (t) => {
	const { server } = await startSlowPeer();
	const clock = time.VirtualClock.create();
	const client = wire.PeerClient.create<string>(clock, events.EventLog.create('client', clock));
	await client.call(server.address, 'quick', 500);
	const held = client.call(server.address, 'held', 10_000);
	const overdue = client.call(server.address, 'overdue', 1_200);
	await clock.advance(1_300);
	await overdue;
	const broken = await held;
	t.is(broken.ok ? undefined : broken.err.cause, 'broken');
	t.deepEqual(await client.call(server.address, 'quick', 500), results.ok(results.ok('quick')));
	client.close();
	await server.close();
});

// Guards against the end of a process by an unhandled error in the handling of what another process sends.
test('an error in the handling of a request leaves the other requests of its connection answered', async (t) => {
	const clock = time.VirtualClock.create();
	const log = events.EventLog.create('peer', clock);
	const server = await wire.PeerServer.create(
		'127.0.0.1',
		0,
		log,
		(body) => results.ok(String(body)),
		(req) =>
			req === 'bad' ? Promise.reject(new TypeError('bad request')) : Promise.resolve(results.ok(req)),
	);
	const client = wire.PeerClient.create<string>(clock, events.EventLog.create('client', clock));
	const bad = client.call(server.address, 'bad', 500);
	t.deepEqual(await client.call(server.address, 'good', 500), results.ok(results.ok('good')));
	await clock.advance(500);
	const outcome = await bad;
	t.is(outcome.ok ? undefined : outcome.err.effect, 'unknown');
	t.is(log.select((event) => event.name === 'request.unhandled').length, 1);
	client.close();
	await server.close();
});

for (const [what, record] of [
	['no steps', { id: 'a', queue: { name: 'q', pool: 'p' }, acceptedAt: 0 }],
	[
		'a queue without a pool',
		{ id: 'a', queue: { name: 'q' }, steps: [{ count: 1, after: [] }], acceptedAt: 0 },
	],
] as const) {
	// Guards against jobs of other processes that end the dispatcher, or are stored and end each one.
	test(`a request of a peer whose job has ${what} is rejected`, (t) => {
		t.false(protocol.parseBoxReq({ type: 'job.stored', record }).ok);
		t.false(protocol.parseBoxReq({ type: 'job.accept', record }).ok);
	});
}
