/** Guards against forecasts that follow a caller's estimate however wrong it has proved, or one odd run. */
import test from 'ava';
import * as forecast from '../src/core/forecast/index.js';

const step = { image: 'label', estimateMs: 1_000 };

test('the estimate holds until runs have finished, and a few runs outweigh it', (t) => {
	const times = forecast.RunTimes.create();
	t.is(times.expectedMs('wide', step), 1_000);
	for (let run = 0; run < 10; run += 1) times.noteFinished('wide', step, 3_000);
	t.true(times.expectedMs('wide', step) > 2_500);
	t.is(times.expectedMs('wide', { ...step, image: 'other' }), 1_000);
});

test('steps without an image share the run times of their queue only', (t) => {
	const times = forecast.RunTimes.create();
	const plain = { image: '', estimateMs: 1_000 };
	for (let run = 0; run < 10; run += 1) times.noteFinished('urgent', plain, 500);
	t.true(times.factor('urgent', plain) < 0.7);
	t.is(times.factor('wide', plain), 1);
});

test('what an earlier owner stored is used until newer runs prevail, and odd values are bounded', (t) => {
	const times = forecast.RunTimes.create();
	times.restore({ 'image label': 2, 'image broken': Number.NaN, 'image huge': 1e9 });
	t.is(times.factor('wide', step), 2);
	t.is(times.factor('wide', { image: 'broken', estimateMs: 1 }), 1);
	t.is(times.factor('wide', { image: 'huge', estimateMs: 1 }), 20);
	for (let run = 0; run < 50; run += 1) times.noteFinished('wide', step, 1_000);
	t.true(times.factor('wide', step) < 1.1);
	t.deepEqual(Object.keys(times.exportFactors()).sort(), ['image broken', 'image huge', 'image label']);
});
