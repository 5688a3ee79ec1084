/** Real boxes over narrow links: a slow owner stays the owner and finishes its jobs. */
import test from 'ava';
import * as boxes from '../stand-ins/box-process.js';
import * as soakLinks from '../dev/soak/links.js';
import * as narrow from '../stand-ins/proxy/narrow-link.js';
import * as proxies from '../stand-ins/proxy/index.js';
import * as realBoxes from './fixtures/real-boxes.js';
import * as users from '../stand-ins/users-platform/server.js';

/** Bandwidth of a box's link in each direction, in bytes per second. */
const bytesPerS = 200_000;

/** Enough workers for a burst to be sent at once: a box keeps six connections to a worker. */
const workerCount = 40;

const boxNames = ['entry-1', 'entry-2'];

/** 400 starts of 3.4 KB: sent at once they occupy such a link for seven seconds, three times the owner's lease. */
const burstBody = {
	spec: 'x'.repeat(3_000),
	steps: [{ count: 200, cpu: 6_000, mem_mb: 10, estimate_ms: 100 }],
};
const jobIds = ['00000000000000a1', '00000000000000a2'];

/** Starts two boxes, each with a narrow link to the store and the workers. */
async function setUp(t: { teardown: (fn: () => Promise<void>) => void }): Promise<boxes.BoxProcess[]> {
	const platform = users.UsersPlatform.create({ plan: () => ({ ms: 100, how: 'done' }) });
	const links = soakLinks.Links.create(boxNames);
	const modeByBox = new Map(boxNames.map((name) => [name, createNarrowMode()]));
	for (let number = 1; number <= workerCount; number += 1) {
		const address = await platform.startWorker(`i-${String(number)}`, (at) => at);
		await links.addLinks(address);
		for (const { box, proxy } of links.to(address)) proxy.set(modeByBox.get(box) ?? { kind: 'pass' });
	}
	platform.writeConfiguration(3, realBoxes.host);
	const started: boxes.BoxProcess[] = [];
	const stores: proxies.FaultProxy[] = [];
	t.teardown(async () => {
		await Promise.all(started.map((box) => box.kill()));
		links.close();
		for (const store of stores) store.close();
		platform.close();
	});
	for (const name of boxNames) {
		const store = await proxies.FaultProxy.create(await platform.startStore(links.addressBookOf(name)));
		store.set(modeByBox.get(name) ?? { kind: 'pass' });
		stores.push(store);
		const box = await boxes.BoxProcess.create(name, store.address);
		started.push(box);
		await box.waitForLine((line) => line.name === (started.length === 1 ? 'owner.taken' : 'owner.found'));
		await box.waitForLine((line) => line.name === 'config.applied');
	}
	return started;
}

function createNarrowMode(): proxies.ProxyMode {
	const create = (): narrow.NarrowLink => narrow.NarrowLink.create(bytesPerS);
	return { kind: 'narrow', links: { request: create(), answer: create() } };
}

test('a burst of starts over a narrow link causes no takeover and completes', async (t) => {
	const [owner, other] = await setUp(t);
	if (owner === undefined || other === undefined) return;
	for (const id of jobIds) t.is((await realBoxes.call(other.callers, 'POST', id, burstBody)).status, 200);
	await Promise.all(jobIds.map((id) => realBoxes.waitUntilEnded(owner, id)));
	await Promise.all(jobIds.map((id) => realBoxes.waitUntilCompleted(other, id)));
	const taken = [owner, other].flatMap((box) => box.lines.filter((line) => line.name === 'owner.taken'));
	t.deepEqual(
		taken.map((line) => line.fields.generation),
		[1],
	);
});
