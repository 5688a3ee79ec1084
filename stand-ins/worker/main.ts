/** Simulates a worker in a process of its own. It writes the journal to standard output, where lines survive a kill. */
import * as crypto from 'node:crypto';
import * as h3 from 'h3';
import * as workers from '../../src/core/worker/index.js';
import * as standIn from '../http.js';
import * as machines from './machine.js';

/** Interval at which leases and finished tasks are checked, in milliseconds. */
const advanceIntervalMs = 10;

const machine = machines.Machine.create({
	id: process.env.BOX_ID ?? 'worker',
	incarnation: crypto.randomUUID(),
	now: () => performance.now(),
	wall: () => Date.now(),
	journal: (line) => process.stdout.write(`${JSON.stringify({ journal: line })}\n`),
});

const app = new h3.H3()
	.post('/v1/exchange', async (event) => {
		const req = workers.exchangeReq.safeParse(await event.req.json());
		if (!req.success) throw new h3.HTTPError({ status: 400, message: req.error.message });
		return machine.exchange(req.data);
	})
	.post('/fault', async (event) => {
		const body = (await event.req.json()) as Partial<machines.WorkerFaults>;
		Object.assign(machine.faults, body);
		return machine.faults;
	});

setInterval(() => {
	machine.advance();
}, advanceIntervalMs);

const { address } = await standIn.listen(app, Number(process.env.PORT ?? '0'));
standIn.announce(address);
