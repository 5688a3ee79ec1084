/**
 * What counts against a run whose worker ceased to answer and crashed later: the run may have exited, unreported, in
 * between.
 */
import * as http from 'node:http';
import events from 'node:events';
import * as timers from 'node:timers/promises';
import type * as net from 'node:net';
import test from 'ava';
import * as client from '../platform/http-client.js';
import * as results from '../src/core/result.js';
import * as settings from '../src/core/dispatch/settings.js';
import * as workerResponsiveness from '../src/core/dispatch/worker-responsiveness.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as workerCalls from '../platform/worker-calls.js';
import * as fixtures from './fixtures/dispatching.js';

test('a worker counts as hung once it has left a poll unanswered on a connection that it accepted', async (t) => {
	const clock = time.VirtualClock.create();
	const responsiveness = workerResponsiveness.WorkerResponsiveness.create(clock);
	responsiveness.noteConnected();
	await clock.advance(1_000);
	t.false(responsiveness.isHanging, 'connections opened before a call failed prove nothing');
	t.true(responsiveness.noteFailure(clock.now()));
	t.false(responsiveness.noteFailure(clock.now()));
	await clock.advance(1_000);
	t.false(responsiveness.isHanging, 'it may have crashed at that moment');
	responsiveness.noteConnected();
	t.false(responsiveness.isHanging, 'the answer may be on its way');
	await clock.advance(300);
	t.true(responsiveness.isHanging);
	responsiveness.noteAnswer();
	responsiveness.noteFailure(clock.now());
	responsiveness.noteConnected();
	responsiveness.notePollFailed();
	await clock.advance(1_000);
	t.false(responsiveness.isHanging, 'a connection that breaks at once is what a crash leaves');
	responsiveness.noteConnected();
	await clock.advance(1_000);
	responsiveness.notePollFailed();
	t.true(responsiveness.isHanging);
	responsiveness.noteAnswer();
	t.false(responsiveness.isHanging);
	t.is(responsiveness.firstFailureAt, undefined);
});

// Guards against crashes that count half, and starts beyond their limit: an owner short of processor time reads late that
// another incarnation answers.
test('a worker does not count as hung because the answer of its next incarnation is read late', async (t) => {
	const clock = time.VirtualClock.create();
	const responsiveness = workerResponsiveness.WorkerResponsiveness.create(clock);
	responsiveness.noteFailure(clock.now());
	responsiveness.noteConnected();
	await clock.advance(1_000);
	responsiveness.noteReplaced();
	responsiveness.notePollFailed();
	t.false(responsiveness.isHanging);
	responsiveness.noteConnected();
	await clock.advance(1_000);
	responsiveness.notePollFailed();
	responsiveness.noteReplaced();
	t.true(responsiveness.isHanging, 'it had hung before that');
});

test('a call that times out shows that a worker had ceased to answer by the time its answer was due', async (t) => {
	const clock = time.VirtualClock.create();
	const responsiveness = workerResponsiveness.WorkerResponsiveness.create(clock);
	const startedAt = clock.now();
	await clock.advance(1_000);
	responsiveness.noteFailure(startedAt);
	t.is(responsiveness.silentSince, startedAt);
	t.false(responsiveness.isFailureTimeKnown);
	responsiveness.noteAnswer();
	t.is(responsiveness.silentSince, undefined);
	await clock.advance(1_000);
	responsiveness.noteFailure(startedAt + 500);
	t.is(responsiveness.silentSince, startedAt + 1_000, 'it answered another call after that');
	responsiveness.noteAnswer();
	responsiveness.noteFailure(clock.now() - 50);
	t.is(responsiveness.silentSince, clock.now(), 'a broken connection shows the moment');
	t.true(responsiveness.isFailureTimeKnown);
});

test('a worker that refuses polls is not polled again and again without a pause', async (t) => {
	const { clock, fleet, takeOver } = fixtures.createEnvironment(() => ({ ms: 100, how: 'done' }));
	const w1 = fleet.add('w1');
	const owner = await takeOver();
	let polls = 0;
	w1.handleReportRequest = () => {
		polls += 1;
		return results.fail({ kind: 'refused', status: 503 });
	};
	await clock.advance(5_000);
	t.true(polls <= 5_000 / settings.pollRetryMs, `${String(polls)} times in five seconds`);
	owner.dispatcher.close();
});

test('polls report connections that a worker accepts for them, not those that are kept', async (t) => {
	let answers = true;
	const server = http.createServer((_req, res) => {
		if (answers) res.end(JSON.stringify({ clock_ms: 1, running: [], ended: [] }));
	});
	server.listen(0, '127.0.0.1');
	await events.once(server, 'listening');
	const { port } = server.address() as net.AddressInfo;
	const calls = workerCalls.workerCalls(client.JsonClient.create());
	const target = { id: 'w1', address: `127.0.0.1:${String(port)}` };
	const poll = async (): Promise<[isOk: boolean, connections: number]> => {
		let connections = 0;
		const onConnected = (): void => void (connections += 1);
		const res = await calls.requestReport(target, { token: 1, acknowledgeUpTo: 0, waitMs: 0, onConnected });
		// The connection is free for the next call only after the answer has been delivered.
		await timers.setImmediate();
		return [res.ok, connections];
	};
	t.deepEqual(await poll(), [true, 1]);
	t.deepEqual(await poll(), [true, 0], 'the connection is kept');
	answers = false;
	t.deepEqual(await poll(), [false, 0]);
	t.deepEqual(await poll(), [false, 1], 'it is up, and hangs');
	server.closeAllConnections();
	server.close();
	await events.once(server, 'close');
	t.deepEqual(await poll(), [false, 0], 'nobody listens');
	calls.forget(target);
});
