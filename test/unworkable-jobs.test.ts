/** One job that can't be worked on, however it came into the store, costs itself and nothing else, whoever owns. */
import test from 'ava';
import * as jobBody from '../platform/job-body.js';
import * as ledger from '../src/core/ledger/index.js';
import * as wire from '../src/core/wire/frame.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as jobs from '../src/core/jobs/index.js';

const shortRun = { ms: 300, how: 'done' as const };

/** A job that would have to be open a thousand million times at once. */
function jobWithTooManyOccurrences(id: string): jobs.JobRecord {
	const schedule = { times: 1_000_000_000, firstAt: 0, intervalMs: 0 };
	return fixtures.job(id, [fixtures.step()], { schedule });
}

const unworkable: [string, Uint8Array][] = [
	['bytes that are no record', Buffer.from([0xff, 0x00, 0x7b])],
	['a record of another form', wire.encodeValue({ id: 'bad', steps: 'none' })],
	['more times than can be held', wire.encodeValue(jobWithTooManyOccurrences('bad'))],
	[
		'more tasks than can be held',
		wire.encodeValue(fixtures.job('bad', [fixtures.step({ count: 2_000_000 })])),
	],
];

for (const [title, value] of unworkable)
	test(`owners go on beside a stored job of ${title}`, async (t) => {
		const environment = fixtures.createEnvironment(() => shortRun);
		environment.fleet.add('w1');
		const first = await environment.takeOver();
		await environment.clock.pass(1_000);
		environment.store.put(ledger.keys.jobKey('bad'), value);
		first.dispatcher.close();
		const second = await environment.takeOver();
		await environment.submit(second, fixtures.job('good', [fixtures.step()]));
		await environment.clock.pass(2_000);
		t.is(second.dispatcher.stateOf('good'), 'completed');
		t.deepEqual(
			second.events.select((event) => event.name === 'job.unreadable').map((event) => event.fields.job),
			['bad'],
		);
		second.dispatcher.close();
	});

test('owners go on beside a job of which the progress is unreadable, and do not run it anew', async (t) => {
	const environment = fixtures.createEnvironment(() => shortRun);
	environment.fleet.add('w1');
	const first = await environment.takeOver();
	await environment.submit(first, fixtures.job('bad', [fixtures.step()]));
	await environment.clock.pass(2_000);
	first.dispatcher.close();
	environment.store.put(ledger.keys.progressKey('bad'), Buffer.from([0xff]));
	const second = await environment.takeOver();
	await environment.submit(second, fixtures.job('good', [fixtures.step()]));
	await environment.clock.pass(2_000);
	t.is(second.dispatcher.stateOf('good'), 'completed');
	t.is(environment.fleet.starts.filter((one) => one.task.startsWith('bad')).length, 1);
	// It is there, and nothing can be said of it.
	const reading = ledger.readJob(environment.store.view(), 'bad');
	await environment.clock.pass(50);
	t.false((await reading).ok);
	second.dispatcher.close();
});

test('a job that is too large for a box is turned away when it is handed in', (t) => {
	const body = (more: object): Uint8Array => Buffer.from(JSON.stringify({ spec: 'x', ...more }));
	const step = { count: 10_000, cpu: 1, mem_mb: 1, estimate_ms: 1 };
	t.true(jobBody.decodeJob(body({ steps: [step] })).ok);
	t.false(jobBody.decodeJob(body({ steps: [step, { ...step, count: 1 }] })).ok);
	t.true(jobBody.decodeJob(body({ steps: [step], max_runs: 10 })).ok);
	t.false(jobBody.decodeJob(body({ steps: [step], max_runs: 1e9 })).ok);
});
