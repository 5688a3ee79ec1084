/** Workers whose answers have the form of the protocol and other content than a sound worker's. */
import * as fc from 'fast-check';
import test from 'ava';
import * as fixtures from './fixtures/dispatching.js';
import * as httpClient from '../platform/http-client.js';
import * as results from '../src/core/result.js';
import * as workerCalls from '../platform/worker-calls.js';
import type * as fleet from '../src/core/fleet/types.js';

/** Every run of the tests tries the same values. */
const params = { seed: 73, numRuns: 60 };

/** Times in milliseconds. */
const firstContactMs = 1_200;
const longMs = 30_000;

const goodLabel = 'good';

const count = fc.oneof(fc.integer({ min: 1, max: 5 }), fc.constant(2 ** 52 - 1));

const share = fc.oneof(fc.integer({ min: 0, max: 100 }), fc.constantFrom(-1, 0.5, 1e308, -1e308));

/** Names of tasks that exist, of tasks that don't, and texts that name none. */
const taskName = fc.oneof(
	fc.constantFrom('job1.0.0.0', 'job1.0.0.1', 'job1.0.1.0', 'job1.7.0.0', 'job1.0.0.99', 'job2.0.0.0'),
	fc.constantFrom('', '.', '__proto__.0.0.0', 'job1.99999999999999999999.0.0', 'job1.0.0'),
	fc.string(),
);

const oddReport: fc.Arbitrary<fleet.WorkerReport> = fc.record({
	born: fc.constant(undefined),
	clockMs: share,
	running: fc.array(
		fc.record({ task: taskName, run: count, checkpoint: fc.string(), percent: share, reading: share }),
	),
	ended: fc.array(
		fc.record({
			seq: count,
			task: taskName,
			run: count,
			how: fc.constantFrom<fleet.ExitKind>('done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'),
			checkpoint: fc.string(),
		}),
	),
	hasMoreExits: fc.boolean(),
});

/** Has the worker `bad` report what `reportAt` returns once it is asked; undefined: its own report. */
function replaceReports(
	env: fixtures.TestEnvironment,
	reportAt: (poll: number) => fleet.WorkerReport | undefined,
): void {
	const { fleet: workers } = env;
	const soundCalls = workers.calls.bind(workers);
	let polls = 0;
	workers.calls = (isCut) => {
		const calls = soundCalls(isCut);
		return {
			...calls,
			requestReport: async (at, req) => {
				const res = await calls.requestReport(at, req);
				if (at.id !== 'bad') return res;
				polls += 1;
				const replacement = reportAt(polls);
				return replacement === undefined ? res : results.ok(replacement);
			},
		};
	};
}

// Guards against the end of a process, or of the service of the good workers, by what one worker reports.
test('whatever one worker reports, the owner goes on and the other workers are used', async (t) => {
	const property = fc.asyncProperty(fc.array(oddReport, { minLength: 1, maxLength: 6 }), async (reports) => {
		const env = fixtures.createEnvironment(() => ({ ms: 300, how: 'done' }));
		env.fleet.add('good', { labels: [goodLabel] });
		env.fleet.add('bad');
		replaceReports(env, (poll) => reports[poll % reports.length]);
		const owner = await env.takeOver();
		await env.clock.advance(firstContactMs);
		await env.submit(owner, fixtures.job('job1', [fixtures.step({ count: 2 }), fixtures.step()]));
		await env.submit(owner, fixtures.job('job2', [fixtures.step({ requiredLabel: goodLabel, count: 2 })]));
		await env.clock.advance(longMs / 10);
		t.is(owner.dispatcher.stateOf('job2'), 'completed');
		owner.die();
	});
	await fc.assert(property, params);
});

// Guards against an error in the processing of a report that ends the process, and each successor's after it.
test('a worker whose reports cannot be processed counts as one that does not answer', async (t) => {
	const env = fixtures.createEnvironment(() => ({ ms: 300, how: 'done' }));
	env.fleet.add('bad');
	let areUnusable = false;
	const unusable = { clockMs: 1, running: [null], ended: [], hasMoreExits: false };
	replaceReports(env, () => (areUnusable ? (unusable as unknown as fleet.WorkerReport) : undefined));
	const owner = await env.takeOver();
	await env.clock.advance(firstContactMs);
	areUnusable = true;
	await env.submit(owner, fixtures.job('job1', [fixtures.step({ count: 2 })]));
	env.fleet.add('good');
	owner.dispatcher.setWorkers(env.fleet.entries(), [], true);
	await env.clock.advance(longMs);
	t.is(owner.dispatcher.stateOf('job1'), 'completed');
	const logged = (name: string): number => owner.events.select((event) => event.name === name).length;
	t.is(logged('worker.report-unusable'), 1);
	areUnusable = false;
	await env.clock.advance(firstContactMs);
	await env.submit(owner, fixtures.job('job2', [fixtures.step({ count: 2 })]));
	await env.clock.advance(firstContactMs);
	t.is(owner.dispatcher.stateOf('job2'), 'completed');
	owner.die();
});

// Guards against run numbers from which a task's next run can't be counted on, which would keep it from ever running.
test('a report with numbers that count nothing is no answer', async (t) => {
	let body: unknown;
	const client = httpClient.JsonClient.create();
	client.send = () => Promise.resolve(results.ok({ status: 200, body }));
	const calls = workerCalls.workerCalls(client);
	const requestReport = async (running: unknown[], ended: unknown[]): Promise<boolean> => {
		body = { clock_ms: 5, running, ended };
		const res = await calls.requestReport(
			{ id: 'w1', address: 'w1:1' },
			{ token: 1, acknowledgeUpTo: 0, waitMs: 0 },
		);
		return res.ok;
	};
	t.true(await requestReport([['a.0.0.0', 1, '', 5]], [[1, 'a.0.0.1', 200_001, 'done', '']]));
	for (const odd of [0, -1, 0.5, 1e308, Number.MAX_SAFE_INTEGER, '1', null]) {
		t.false(await requestReport([['a.0.0.0', odd, '', 5]], []), String(odd));
		t.false(await requestReport([], [[odd, 'a.0.0.1', 1, 'done', '']]), String(odd));
		t.false(await requestReport([], [[1, 'a.0.0.1', odd, 'done', '']]), String(odd));
	}
});
