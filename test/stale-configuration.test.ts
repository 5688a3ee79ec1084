/** A box's answer to calls for a queue that it doesn't know, when its configuration may be out of date. */
import test from 'ava';
import * as configurations from './fixtures/configurations.js';
import * as configuration from '../platform/queue-configuration.js';
import * as ingress from '../platform/ingress.js';
import * as listening from '../src/cli/box/listening.js';
import * as queues from '../src/core/queues/index.js';
import * as undici from 'undici';
import type * as service from '../src/core/box/job-service.js';

const knownRoute = { name: 'r', host: 'proofs.example', path_prefix: '/known/' };

/** Status and `Retry-After` of a request for a queue's number of pending jobs. */
async function requestCount(isConfigurationInDoubt: boolean, path: string): Promise<[number, unknown]> {
	const value = configurations.storedConfiguration(1, { routes: [knownRoute], services: [] });
	const decoded = configuration.decodeConfiguration(value);
	if (!decoded.ok) throw new Error(decoded.err);
	const pending = () => Promise.resolve({ type: 'ok' as const, value: 0 });
	const server = ingress.serveCallers(
		{
			leaving: false,
			queues: queues.QueueTable.create(decoded.value),
			isConfigurationInDoubt,
			service: { pending } as unknown as service.JobService,
		},
		console.error,
	);
	const address = await listening.listen(server, '127.0.0.1:0');
	const res = await undici.request(`http://${address}${path}`, { headers: { host: knownRoute.host } });
	await res.body.dump();
	server.closeAllConnections();
	server.close();
	return [res.statusCode, res.headers['retry-after']];
}

test('a box answers that a queue is unknown only if its configuration is confirmed', async (t) => {
	t.deepEqual(await requestCount(false, '/added/'), [404, undefined]);
	t.deepEqual(await requestCount(true, '/added/'), [503, '1']);
});

test('a known queue is served whatever the age of the configuration', async (t) => {
	t.deepEqual(await requestCount(true, '/known/'), [200, undefined]);
});
