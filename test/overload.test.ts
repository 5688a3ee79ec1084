/** A burst that needs more than the owner's processor: after it the owner catches up, also one that took over during it. */
import test from 'ava';
import * as ownership from '../src/core/owner/index.js';
import * as patterns from '../stand-ins/fleet/load-patterns.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as dispatch from '../src/core/dispatch/index.js';

const workerCount = 60;
const patternMs = 22_000;
const seed = 7;

/** When the pattern's burst ends, in seconds of its traffic. */
const burstEndS = 10;

/** How soon after the burst operators expect an owner to have caught up, in seconds. */
const recoveryS = 10;

/** Processor time of each call, in milliseconds: nine tenths of the processor under the pattern's usual traffic. */
const costs = { send: 1.4, answer: 1.4 };

/** Time for the long-running jobs to be placed before the traffic begins, in milliseconds. */
const warmUpMs = 3_000;

function jobOf({ record }: patterns.Arrival): ReturnType<typeof fixtures.job> {
	return fixtures.job(record.id, record.steps, { queue: record.queue });
}

/** Runs the pattern, with a takeover at the beginning of that second if one is given; returns the load of each second. */
async function runPattern(takeOverAtS?: number): Promise<dispatch.DispatchLoad[]> {
	const pattern = patterns.createPattern('large-workers-burst', workerCount, patternMs, seed);
	const { clock, fleet, takeOverBusy, submit } = fixtures.createEnvironment((task) => ({
		...pattern.plan(task),
		...(task.startsWith('wide') && { interference: 0.1 }),
	}));
	const capacity = { milliCores: pattern.workerMilliCores, memoryMb: 256_000, accelerators: 0 };
	for (let number = 1; number <= workerCount; number += 1) fleet.add(`w${String(number)}`, { capacity });
	let { owner } = await takeOverBusy(costs);
	await clock.advance(500);
	for (const one of pattern.arrivals) if (one.atMs === 0) void submit(owner, jobOf(one));
	await clock.advance(warmUpMs);
	const from = clock.now();
	const loads: dispatch.DispatchLoad[] = [];
	const endS = burstEndS + recoveryS;
	const arriving = pattern.arrivals.filter((one) => one.atMs > 0 && one.atMs < endS * 1_000);
	for (let second = 0; second < endS; second += 1) {
		if (second === takeOverAtS) {
			owner.dispatcher.close();
			({ owner } = await takeOverBusy(costs));
		}
		const untilMs = (second + 1) * 1_000;
		while ((arriving[0]?.atMs ?? Infinity) < untilMs) {
			const [one] = arriving.splice(0, 1);
			if (one === undefined) break;
			await clock.advance(Math.max(0, from + one.atMs - clock.now()));
			void submit(owner, jobOf(one));
		}
		await clock.advance(Math.max(0, from + untilMs - clock.now()));
		loads.push(owner.dispatcher.load());
	}
	owner.dispatcher.close();
	return loads;
}

for (const takeOverAtS of [undefined, 7])
	test(`an owner catches up within ten seconds of a burst${takeOverAtS === undefined ? '' : ' in which it took over'}`, async (t) => {
		const loads = await runPattern(takeOverAtS);
		const last = loads.at(-1);
		// Fewer tasks wait than finish in a second, and exits are handled within a second.
		t.true((last?.waitingShort ?? Infinity) <= (last?.finished ?? 0), JSON.stringify(last));
		t.true((last?.oldestEndMs ?? Infinity) <= 1_000, JSON.stringify(last));
		const before = loads.slice(0, 4).reduce((sum, load) => sum + load.finished, 0);
		const after = loads.slice(-4).reduce((sum, load) => sum + load.finished, 0);
		t.true(
			after >= before,
			`${String(after)} tasks finished in the last seconds, ${String(before)} in the first`,
		);
	});

test('a new owner that receives answers from hundreds of workers does not delay its renewals', async (t) => {
	const { clock, fleet, takeOver, takeOverBusy, submit } = fixtures.createEnvironment(() => ({
		ms: 300,
		how: 'done',
	}));
	for (let number = 1; number <= 340; number += 1) fleet.add(`w${String(number)}`);
	const first = await takeOver();
	await clock.advance(500);
	const steps = [fixtures.step({ count: 1_000, milliCores: 8_000 })];
	await submit(first, fixtures.job('job1', steps));
	await clock.advance(100);
	first.dispatcher.close();
	await clock.advance(500);
	const { owner, processor } = await takeOverBusy({ send: 1, answer: 3 });
	let longestMs = 0;
	for (let passed = 0; passed < 4_000; passed += 10) {
		longestMs = Math.max(longestMs, processor.queueWaitMs);
		await clock.advance(10);
	}
	// A renewal waits behind the calls that are queued for the processor; delayed by one interval, it is still in time.
	t.true(longestMs <= ownership.settings.renewalIntervalMs, `${String(longestMs)} ms`);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	owner.dispatcher.close();
});
