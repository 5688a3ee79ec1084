/** A job that can't be processed, however it came into the store, affects no other job, whichever box is the owner. */
import test from 'ava';
import * as jobBody from '../platform/job-body.js';
import * as ledger from '../src/core/ledger/index.js';
import * as wire from '../src/core/wire/frame.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as jobs from '../src/core/jobs/index.js';

const shortRun = { ms: 300, how: 'done' as const };

/** A job of which a thousand million occurrences would have to be open at once. */
function jobWithTooManyOccurrences(id: string): jobs.JobRecord {
	const schedule = { times: 1_000_000_000, firstAt: 0, intervalMs: 0 };
	return fixtures.job(id, [fixtures.step()], { schedule });
}

const unworkable: [string, Uint8Array][] = [
	['bytes that are no record', Buffer.from([0xff, 0x00, 0x7b])],
	['a record of another form', wire.encodeValue({ id: 'bad', steps: 'none' })],
	['more occurrences than can be held', wire.encodeValue(jobWithTooManyOccurrences('bad'))],
	[
		'more tasks than can be held',
		wire.encodeValue(fixtures.job('bad', [fixtures.step({ count: 2_000_000 })])),
	],
];

for (const [title, value] of unworkable)
	test(`owners keep working beside a stored job of ${title}`, async (t) => {
		const environment = fixtures.createEnvironment(() => shortRun);
		environment.fleet.add('w1');
		const first = await environment.takeOver();
		await environment.clock.advance(1_000);
		environment.store.put(ledger.keys.jobKey('bad'), value);
		first.dispatcher.close();
		const second = await environment.takeOver();
		await environment.submit(second, fixtures.job('good', [fixtures.step()]));
		await environment.clock.advance(2_000);
		t.is(second.dispatcher.stateOf('good'), 'completed');
		t.deepEqual(
			second.events.select((event) => event.name === 'job.unreadable').map((event) => event.fields.job),
			['bad'],
		);
		second.dispatcher.close();
	});

test('owners keep working beside a job with unreadable progress, and do not run it again', async (t) => {
	const environment = fixtures.createEnvironment(() => shortRun);
	environment.fleet.add('w1');
	const first = await environment.takeOver();
	await environment.submit(first, fixtures.job('bad', [fixtures.step()]));
	await environment.clock.advance(2_000);
	first.dispatcher.close();
	environment.store.put(ledger.keys.progressKey('bad'), Buffer.from([0xff]));
	const second = await environment.takeOver();
	await environment.submit(second, fixtures.job('good', [fixtures.step()]));
	await environment.clock.advance(2_000);
	t.is(second.dispatcher.stateOf('good'), 'completed');
	t.is(environment.fleet.starts.filter((one) => one.task.startsWith('bad')).length, 1);
	// The job exists, but its progress can't be read.
	const reading = ledger.readJob(environment.store.view(), 'bad');
	await environment.clock.advance(50);
	t.false((await reading).ok);
	second.dispatcher.close();
});

test('a job that is too large for a box is rejected when it is submitted', (t) => {
	const body = (more: object): Uint8Array => Buffer.from(JSON.stringify({ spec: 'x', ...more }));
	const step = { count: 10_000, cpu: 1, mem_mb: 1, estimate_ms: 1 };
	t.true(jobBody.decodeJob(body({ steps: [step] })).ok);
	t.false(jobBody.decodeJob(body({ steps: [step, { ...step, count: 1 }] })).ok);
	t.true(jobBody.decodeJob(body({ steps: [step], max_runs: 10 })).ok);
	t.false(jobBody.decodeJob(body({ steps: [step], max_runs: 1e9 })).ok);
});
