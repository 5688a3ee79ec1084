/** What callers are told of jobs while the store fails, in memory. */
import test from 'ava';
import * as contacts from '../src/core/platform/contact.js';
import * as events from '../src/core/events/index.js';
import * as memory from '../stand-ins/fleet/memory-store.js';
import * as results from '../src/core/result.js';
import * as service from '../src/core/box/job-service.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import * as fixtures from './fixtures/dispatching.js';

const id = '00000000000000a1';

/** The job service of a box that knows no owner. */
function setUp(): {
	clock: time.VirtualClock;
	jobs: service.JobService;
	store: memory.MemoryStore;
	set: (fault: memory.StoreFault) => void;
} {
	const clock = time.VirtualClock.create();
	const log = events.EventLog.create('entry-1', clock);
	const store = memory.MemoryStore.create(clock);
	let fault: memory.StoreFault = 'none';
	const monitored = contacts.monitorContact(
		store.view(() => fault),
		log,
		() => clock.now(),
	);
	const jobs = service.JobService.create({
		...monitored,
		clock,
		events: log,
		dispatcher: () => undefined,
		callOwner: () => Promise.resolve(results.fail({ sent: false, reason: 'no owner is known' })),
		ownerGeneration: () => 1,
		backlog: () => [],
		random: () => 0,
		ownerReachesStore: () => false,
	});
	const set = (next: memory.StoreFault): void => {
		fault = next;
	};
	return { clock, jobs, store, set };
}

/** The result of a call, after enough time for every answer. */
async function awaitAfterDelay<T>(clock: time.VirtualClock, call: Promise<T>): Promise<T> {
	await clock.advance(5_000);
	return call;
}

for (const fault of ['down', 'lost', 'late'] as const)
	test(`a cancellation while the store is ${fault} is not called undone unless it is`, async (t) => {
		const { clock, jobs, store, set } = setUp();
		await awaitAfterDelay(clock, jobs.submit(fixtures.queue, id, { text: '', steps: [] }));
		set(fault);
		const answer = await awaitAfterDelay(clock, jobs.cancel(id));
		const isStored = store.keys().some((key) => key.includes('cancel'));
		t.snapshot({ answer: answer.type, isStored });
	});
