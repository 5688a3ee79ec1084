/** With thousands of tasks waiting, rounds of placing took a third of a full processor, so the backlog did not go away. */
import test from 'ava';
import * as meters from '../src/core/dispatch/load-meter.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as timers from '../src/core/dispatch/round-timer.js';

const lengthMs = 10_000;

/** A round that looks at thousands of tasks takes so long, in milliseconds; a quick one less. */
const roundMs = 16;
const quickMs = 4;

/** Answers come in heaps: the processor is at work on one for so long, in milliseconds. */
const heapMs = 60;

/** Plays rounds beside heaps of answers that come so long after one another; returns what part of the time rounds took. */
async function roundsPart(heapGapMs: number): Promise<number> {
	const clock = time.VirtualClock.create();
	const meter = meters.LoadMeter.create();
	const rounds = timers.RoundTimer.create({
		clock,
		meter,
		playAll: () => {
			clock.spend(roundMs);
		},
		playQuick: () => {
			clock.spend(quickMs);
		},
	});
	const startedAt = clock.now();
	const takeAnswers = (): void => {
		clock.spend(heapMs);
		rounds.wake();
		clock.after(heapGapMs, takeAnswers);
	};
	takeAnswers();
	await clock.pass(lengthMs);
	rounds.close();
	return meter.read().roundMs / (clock.now() - startedAt);
}

test('rounds of either kind take a tenth of a full processor at most', async (t) => {
	const part = await roundsPart(0);
	t.true(part <= 0.2, part.toFixed(3));
	t.true(part > 0.02, part.toFixed(3));
});

test('rounds follow each other sooner where the processor has time', async (t) => {
	const part = await roundsPart(200);
	t.true(part >= 0.07, part.toFixed(3));
});
