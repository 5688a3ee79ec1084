/** The adviser's answers on which workers may run a step, and how many workers each question to it names. */
import test from 'ava';
import * as adviserCall from '../platform/adviser-call.js';
import * as fixtures from './fixtures/dispatching.js';
import type * as http from '../platform/http-client.js';
import type * as fleet from '../src/core/fleet/types.js';
import type * as jobs from '../src/core/jobs/index.js';

const workerCount = 90;

/** Every third worker is good. */
const goodEvery = 3;

const advised: jobs.QueuePolicy = { ...fixtures.queue, advised: true };

const adviser: fleet.AskAdviser = (_step, workers) => {
	const good = workers.filter((id) => Number(id.slice(1)) % goodEvery === 0);
	return Promise.resolve({
		ok: true,
		value: { good: good.map((worker) => ({ worker, ticket: `for ${worker}` })), validMs: 20_000 },
	});
};

/** Runs a job of one step under the adviser; by default each task takes a whole worker. */
async function runJob(spec: Partial<jobs.StepSpec>): Promise<jobs.JobState | undefined> {
	const environment = fixtures.createEnvironment(() => ({ ms: 500, how: 'done' }), undefined, adviser);
	for (let index = 0; index < workerCount; index += 1) environment.fleet.add(`w${String(index)}`);
	const owner = await environment.takeOver();
	await environment.clock.advance(1_200);
	await environment.submit(
		owner,
		fixtures.job('job1', [fixtures.step({ milliCores: 32_000, ...spec })], { queue: advised }),
	);
	await environment.clock.advance(10_000);
	owner.dispatcher.close();
	return owner.dispatcher.stateOf('job1');
}

test('a gang that needs more good workers than one answer names is started', async (t) => {
	t.is(await runJob({ count: 17, gang: true }), 'completed');
});

test('a step that may have few tasks on a worker completes on more good workers than one answer names', async (t) => {
	t.is(await runJob({ count: 25, milliCores: 100, maxPerWorker: 1 }), 'completed');
});

test('a step with as many tasks as there are good workers completes', async (t) => {
	t.is(await runJob({ count: 30 }), 'completed');
});

test('the adviser is sent the names of workers, and its tickets are for the incarnations that were asked about', async (t) => {
	const requests: unknown[] = [];
	const body = { good: [['i-2', 'a ticket']], validity_ms: 5_000 };
	const client: Pick<http.JsonClient, 'send'> = {
		send: (_address, call) => {
			requests.push(call.body);
			return Promise.resolve({ ok: true, value: { status: 200, body } });
		},
	};
	const res = await adviserCall.askAdviser(client, 'adviser:1')('job1.0.0', ['i-1@5', 'i-2@7']);
	t.deepEqual(requests, [{ step: 'job1.0.0', workers: ['i-1', 'i-2'] }]);
	t.deepEqual(res, {
		ok: true,
		value: { good: [{ worker: 'i-2@7', ticket: 'a ticket' }], validMs: 5_000 },
	});
});
