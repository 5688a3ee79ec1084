/**
 * Many starts at once over a link or a processor that can't carry them: what becomes of the owner's other calls, and which
 * starts are sent first.
 */
import test from 'ava';
import * as windows from '../src/core/dispatch/start-window.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as memory from '../stand-ins/fleet/memory-store.js';

/** A link of 2 Mbit/s, in bytes per second. With the fields around the text, a start of such a job takes 6.4 ms on it. */
const bytesPerS = 250_000;
const text = 'x'.repeat(1_200);

function shortRun(): { ms: number; how: 'done' } {
	return { ms: 300, how: 'done' };
}

test('a burst of starts over a slow link does not delay calls to the store', async (t) => {
	const { clock, fleet, takeOverLinked, submit } = fixtures.createEnvironment(shortRun);
	for (let number = 1; number <= 60; number += 1) fleet.add(`w${String(number)}`);
	const { owner, link } = await takeOverLinked(bytesPerS);
	await clock.advance(1_000);
	const steps = [fixtures.step({ count: 500, milliCores: 500, memoryMb: 10 })];
	await submit(owner, fixtures.job('burst', steps, { text }));
	await clock.advance(6_000);
	t.is(fleet.starts.length, 500);
	// 500 starts sent at once occupy the link for 3,200 ms, longer than the owner's lease.
	t.true(
		link.longestStoreWaitMs < 600,
		`a call to the store waited for ${String(link.longestStoreWaitMs)} ms`,
	);
	owner.dispatcher.close();
});

test('an urgent task that arrives while a burst is sent is started before the rest of it', async (t) => {
	const { clock, fleet, takeOverLinked, submit } = fixtures.createEnvironment(shortRun);
	for (let number = 1; number <= 60; number += 1) fleet.add(`w${String(number)}`);
	const { owner } = await takeOverLinked(bytesPerS);
	await clock.advance(1_000);
	const steps = [fixtures.step({ count: 500, milliCores: 500, memoryMb: 10 })];
	await submit(owner, fixtures.job('burst', steps, { text, queue: { ...fixtures.queue, priority: 2 } }));
	await clock.advance(100);
	const sentAt = clock.now();
	await submit(owner, fixtures.job('urgent', [fixtures.step()], { text }));
	await clock.advance(6_000);
	const urgent = fleet.starts.find((one) => one.task.startsWith('urgent'));
	t.true((urgent?.at ?? Infinity) - sentAt < 600, `it waited for ${String((urgent?.at ?? 0) - sentAt)} ms`);
	t.is(fleet.starts.length, 501);
	owner.dispatcher.close();
});

test('workers that stop answering in a burst do not delay starts on the others', async (t) => {
	const { clock, fleet, takeOver, submit } = fixtures.createEnvironment(shortRun);
	const added = Array.from({ length: 30 }, (_, number) => fleet.add(`w${String(number)}`));
	const owner = await takeOver();
	await clock.advance(1_000);
	for (const worker of added.slice(0, 20)) worker.fault = 'silent';
	const steps = [fixtures.step({ count: 400, milliCores: 4_000, memoryMb: 10 })];
	await submit(owner, fixtures.job('burst', steps));
	await clock.advance(4_000);
	// Ten workers run 80 tasks at once, for 300 ms each. The tasks left after 160 placements on unresponsive workers take a
	// second.
	t.true(fleet.starts.length >= 240, `${String(fleet.starts.length)} were started`);
	owner.dispatcher.close();
});

test('short tasks are started in an outage of the store beside long-running ones that have to wait for it', async (t) => {
	const { clock, fleet, takeOver, submit, store } = fixtures.createEnvironment((task) =>
		task.startsWith('lasting') ? { ms: 'endless', how: 'done' } : shortRun(),
	);
	for (let number = 1; number <= 40; number += 1) fleet.add(`w${String(number)}`);
	let fault: memory.StoreFault = 'none';
	const owner = await takeOver(undefined, () => fault);
	await clock.advance(1_000);
	const longRunningSteps = [fixtures.step({ count: 200, milliCores: 2_000, lasting: true })];
	await submit(
		owner,
		fixtures.job('lasting', longRunningSteps, { queue: { ...fixtures.queue, priority: 2 } }),
	);
	fault = 'down';
	await clock.advance(300);
	const startsBefore = fleet.starts.length;
	owner.dispatcher.addJob({ ...fixtures.job('short', [fixtures.step({ count: 50 })]), acceptedUnder: 1 });
	await clock.advance(1_000);
	const short = fleet.starts.slice(startsBefore).filter((one) => one.task.startsWith('short'));
	t.is(short.length, 50);
	t.true(store.writes > 0);
	owner.dispatcher.close();
});

test('the limit follows the answer times, within its bounds', (t) => {
	const { nextLimit, targetMs, minLimit, maxLimit } = windows;
	t.is(nextLimit(100, { medianMs: targetMs / 4, wasFull: true }), 150);
	t.is(nextLimit(100, { medianMs: targetMs / 4, wasFull: false }), 100);
	t.is(nextLimit(100, { medianMs: targetMs * 1.25, wasFull: true }), 80);
	t.is(nextLimit(100, { medianMs: targetMs * 10, wasFull: true }), 50);
	t.is(nextLimit(minLimit, { medianMs: targetMs * 10, wasFull: true }), minLimit);
	t.is(nextLimit(maxLimit, { medianMs: 1, wasFull: true }), maxLimit);
});

test('starts are not held back for answers that come late however few of them are on their way', async (t) => {
	const { clock, fleet, takeOverBusy, submit } = fixtures.createEnvironment(shortRun);
	for (let number = 1; number <= 60; number += 1) fleet.add(`w${String(number)}`);
	const { owner, processor } = await takeOverBusy({ send: 0.1, answer: 0.1 });
	await clock.advance(1_000);
	// Everything that needs the processor waits for this time, as it does on a processor that is full of reports.
	processor.extraDelayMs = 150;
	const startsBefore = fleet.starts.length;
	const steps = [fixtures.step({ count: 2_000, milliCores: 100, memoryMb: 10 })];
	await submit(owner, fixtures.job('burst', steps));
	await clock.advance(6_000);
	t.is(fleet.starts.length - startsBefore, 2_000);
	owner.dispatcher.close();
});

test('starts to unresponsive workers take no slots once others have overtaken them', (t) => {
	let now = 0;
	const window = windows.StartWindow.create(() => now);
	const initialFree = window.free;
	for (let number = 0; number < initialFree; number += 1) window.take();
	t.is(window.free, 0);
	const unresponsive = windows.StartWindow.create(() => now);
	for (let number = 0; number < initialFree / 2; number += 1) unresponsive.take();
	for (let answered = 0; answered < initialFree * 2; answered += 1) {
		const slot = unresponsive.take();
		now += 5;
		unresponsive.noteAnswered(slot);
	}
	t.is(unresponsive.free, initialFree);
});
