/**
 * Guards against owners that know nothing of a worker for a whole call timeout because one call to it has no answer: calls
 * that are unusually late are repeated long before they time out.
 */
import test from 'ava';
import * as delays from '../src/core/dispatch/answer-delays.js';
import * as settings from '../src/core/dispatch/settings.js';
import * as fixtures from './fixtures/dispatching.js';

const workerCount = 12;

/** Calls time out after this, in milliseconds. */
const callTimeoutMs = 1_000;

/** An owner of workers that each run a long-running task. */
async function createWithLongRunning() {
	const environment = fixtures.createEnvironment(() => ({ ms: 'endless', how: 'done' }));
	const { clock, fleet } = environment;
	for (let number = 0; number < workerCount; number += 1) fleet.add(`w${String(number)}`);
	const owner = await environment.takeOver();
	const longRunning = { lasting: true, maxPerWorker: 1, count: workerCount };
	await environment.submit(owner, fixtures.job('lasting', [fixtures.step(longRunning)]));
	await clock.advance(5_000);
	const [worker] = fleet.workers.values();
	if (worker === undefined) throw new Error('there is no worker');
	owner.dispatcher.load();
	return { ...environment, owner, worker };
}

test('a report request that is carried out late is repeated long before it times out', async (t) => {
	const { clock, owner, worker } = await createWithLongRunning();
	const hold = worker.handleReportRequest.bind(worker);
	let lastPolledAt = clock.now();
	let maxIntervalMs = 0;
	worker.handleReportRequest = (req) => {
		maxIntervalMs = Math.max(maxIntervalMs, clock.now() - lastPolledAt);
		lastPolledAt = clock.now();
		return hold(req);
	};
	await clock.advance(2_000);
	worker.fault = 'late';
	await clock.advance(20);
	while (clock.now() - lastPolledAt < settings.pollWaitMs + 20) await clock.advance(10);
	worker.fault = 'none';
	await clock.advance(3_000);
	t.true(maxIntervalMs < settings.pollWaitMs + callTimeoutMs / 2, `${String(maxIntervalMs)} ms`);
	t.is(owner.events.select(({ name }) => name === 'worker.unanswered').length, 0);
	owner.dispatcher.close();
});

test('starts that are carried out late are repeated long before they time out', async (t) => {
	const { clock, fleet, owner, submit } = await createWithLongRunning();
	const count = 2 * workerCount;
	const before = fleet.starts.length;
	await submit(owner, fixtures.job('short', [fixtures.step({ count, maxPerWorker: 2 })]));
	for (const worker of fleet.workers.values()) worker.fault = 'late';
	await clock.advance(30);
	for (const worker of fleet.workers.values()) worker.fault = 'none';
	await clock.advance(callTimeoutMs - 100);
	t.is(fleet.starts.length - before, count);
	owner.dispatcher.close();
});

test('nothing is repeated while all answers come late', async (t) => {
	const { clock, fleet, owner } = await createWithLongRunning();
	for (fleet.reportDelayMs = 0; fleet.reportDelayMs < callTimeoutMs; fleet.reportDelayMs += 50)
		await clock.advance(500);
	owner.dispatcher.load();
	await clock.advance(10_000);
	t.is(owner.dispatcher.load().repeats, 0);
	owner.dispatcher.close();
});

test('an owner whose processor is saturated repeats nothing', async (t) => {
	const { clock, fleet, takeOverBusy, submit } = fixtures.createEnvironment(() => ({ ms: 300, how: 'done' }));
	for (let number = 0; number < 200; number += 1) fleet.add(`w${String(number)}`);
	const { owner, processor } = await takeOverBusy({ send: 1, answer: 2 });
	await submit(owner, fixtures.job('burst', [fixtures.step({ count: 4_000, milliCores: 4_000 })]));
	let repeats = 0;
	let maxQueueMs = 0;
	for (let passed = 0; passed < 8_000; passed += 50) {
		await clock.advance(50);
		maxQueueMs = Math.max(maxQueueMs, processor.queueWaitMs);
		repeats += owner.dispatcher.load().repeats;
	}
	t.true(maxQueueMs > 200, 'the processor was saturated');
	t.is(repeats, 0);
	owner.dispatcher.close();
});

test('when no worker answers any more, only the requests to a few are repeated', async (t) => {
	const { clock, fleet, owner } = await createWithLongRunning();
	for (const worker of fleet.workers.values()) worker.fault = 'silent';
	await clock.advance(settings.pollWaitMs + callTimeoutMs + 200);
	const { repeats } = owner.dispatcher.load();
	t.true(repeats > 0 && repeats < workerCount, `${String(repeats)} repeats`);
	owner.dispatcher.close();
});

test('a request to a worker that stays unresponsive is repeated a few times at most', async (t) => {
	const { clock, owner, worker } = await createWithLongRunning();
	worker.fault = 'silent';
	await clock.advance(settings.pollWaitMs + callTimeoutMs + 200);
	owner.dispatcher.load();
	await clock.advance(10_000);
	const { repeats } = owner.dispatcher.load();
	t.true(repeats <= 3 * (10_000 / callTimeoutMs), `${String(repeats)} repeats`);
	owner.dispatcher.close();
});

test('answers are unusually late beyond their smoothed delay and four times its variation', (t) => {
	const answerDelays = delays.AnswerDelays.create();
	for (let number = 0; number < 100; number += 1) answerDelays.addSample(100);
	t.true(answerDelays.usualDelayMs > 99 && answerDelays.usualDelayMs < 110);
	answerDelays.addSample(500);
	t.true(answerDelays.usualDelayMs > 500);
});
