/**
 * Boxes answered from an older configuration than the one that had been confirmed two seconds before. Their open connections
 * to the store carried nothing any more, without a reset, while new ones worked. The long poll for the configuration was
 * abandoned after 3.3 s and repeated over another kept connection, which was as dead, and so on:
 *
 *     10.55 s call.unanswered /api/kv-watch?path_prefix=op%2F waitedMs 3300, bytes 0, quietMs 161
 *     10.81 s config.applied  version 9, confirmed at 7.53 s
 *
 * `quietMs` shows that the same address had answered on another connection 161 ms before.
 */
import test from 'ava';
import * as boxes from '../stand-ins/box-process.js';
import * as narrow from '../stand-ins/proxy/narrow-link.js';
import * as proxies from '../stand-ins/proxy/index.js';
import * as realBoxes from './fixtures/real-boxes.js';
import * as users from '../stand-ins/users-platform/server.js';

/** Time within which a confirmed version is in force at boxes without faults, in milliseconds (`config_apply_ms`). */
const maxApplyMs = 2_000;

/** Time within which a box has to work as well as any other after a fault, in milliseconds (`contact_ms`). */
const maxRecoveryMs = 3_000;

/** Number of concurrent requests. Each takes its own connection to the store, and all these connections are kept. */
const requestsAtOnce = 6;

/** Bandwidth of the slowest link that is stated for a box, 7 Mbit/s, in bytes per second. */
const slowLinkBytesPerS = 875_000;

/** Bytes that may wait on such a link, like a connection's window. A sender has to wait beyond that. */
const windowBytes = 65_536;

/** A box, and the proxy between it and the store. */
interface LinkedBox {
	box: boxes.BoxProcess;
	store: proxies.FaultProxy;
}

/** Starts boxes that have the configuration, each with its own proxy to the store. */
async function setUp(
	t: { teardown: (fn: () => Promise<void>) => void },
	names: [string, ...string[]],
): Promise<{ platform: users.UsersPlatform; linked: [LinkedBox, ...LinkedBox[]] }> {
	const platform = users.UsersPlatform.create({ plan: () => ({ ms: 50, how: 'done' }) });
	const storeAddress = await platform.startStore();
	await platform.startWorker('i-1', (address) => address);
	platform.writeConfiguration(3, realBoxes.host);
	const linked: LinkedBox[] = [];
	t.teardown(async () => {
		await Promise.all(linked.map(({ box }) => box.kill()));
		for (const { store } of linked) store.close();
		platform.close();
	});
	for (const name of names) {
		const store = await proxies.FaultProxy.create(storeAddress);
		const box = await boxes.BoxProcess.create(name, store.address);
		linked.push({ box, store });
		await waitUntilApplied(box, 3);
		await box.waitForLine((line) => line.name === (linked.length === 1 ? 'owner.taken' : 'owner.found'));
	}
	return { platform, linked: linked as [LinkedBox, ...LinkedBox[]] };
}

function waitUntilApplied(box: boxes.BoxProcess, version: number): Promise<boxes.LogLine> {
	return box.waitForLine((line) => line.name === 'config.applied' && line.fields.version === version);
}

/** Whether `event` happens by `dueAt`, a time of `performance.now()`. */
async function isInTime(event: Promise<unknown>, dueAt: number): Promise<boolean> {
	let timer: NodeJS.Timeout | undefined;
	const late = new Promise<boolean>((resolve) => {
		timer = setTimeout(() => {
			resolve(false);
		}, dueAt - performance.now());
	});
	const res = await Promise.race([event.then(() => true), late]);
	clearTimeout(timer);
	return res;
}

/** Uses several connections to the store at once, so that several are kept. */
async function openConnections(box: boxes.BoxProcess, from: number): Promise<void> {
	const ids = Array.from({ length: requestsAtOnce }, (_, number) =>
		(from + number).toString(16).padStart(16, '0'),
	);
	await Promise.all(ids.map((id) => realBoxes.call(box.callers, 'POST', id, realBoxes.jobBody)));
}

/** Requests a queue's count, and returns the status of the answer. */
async function getQueueStatus(box: boxes.BoxProcess, prefix: string): Promise<number> {
	return (await realBoxes.call(box.callers, 'GET', '', undefined, prefix)).status;
}

test('kept connections go dead: queues added and removed meanwhile are in force in time', async (t) => {
	const { platform, linked } = await setUp(t, ['entry-1', 'entry-2']);
	await Promise.all(linked.map(({ box }, number) => openConnections(box, 0xa0 + number * 0x10)));
	platform.writeConfiguration(4, realBoxes.host, ['/jobs/', '/old/']);
	// A new read waits from here on. Its connection is silenced as the read begins, which is detected last.
	await Promise.all(linked.map(({ box }) => waitUntilApplied(box, 4)));
	for (const { store } of linked) store.stallConnections();
	const silencedAt = performance.now();
	platform.writeConfiguration(5, realBoxes.host, ['/jobs/', '/new/']);
	await Promise.all(
		linked.map(async ({ box }) => {
			t.true(await isInTime(waitUntilApplied(box, 5), silencedAt + maxRecoveryMs));
			t.is(await getQueueStatus(box, '/new/'), 200);
			t.is(await getQueueStatus(box, '/old/'), 404);
		}),
	);
});

test('several changes after kept connections went dead: each is in force in time', async (t) => {
	const { platform, linked } = await setUp(t, ['entry-1']);
	const [{ box, store }] = linked;
	await openConnections(box, 0xa0);
	platform.writeConfiguration(4, realBoxes.host, ['/jobs/', '/4/']);
	await waitUntilApplied(box, 4);
	store.stallConnections();
	const silencedAt = performance.now();
	for (const version of [5, 6, 7, 8]) {
		const confirmedAt = performance.now();
		platform.writeConfiguration(version, realBoxes.host, ['/jobs/', `/${version}/`]);
		const dueAt = Math.max(confirmedAt + maxApplyMs, silencedAt + maxRecoveryMs);
		t.true(await isInTime(waitUntilApplied(box, version), dueAt), `version ${version}`);
	}
});

test('a box that was frozen applies the newest configuration as it resumes', async (t) => {
	const { platform, linked } = await setUp(t, ['entry-1']);
	const [{ box }] = linked;
	box.process.kill('SIGSTOP');
	platform.writeConfiguration(4, realBoxes.host, ['/jobs/', '/new/']);
	// Longer than any long poll: its timeout has passed when the process resumes, and its answer is in the socket.
	await new Promise((resolve) => setTimeout(resolve, 4_000));
	box.process.kill('SIGCONT');
	const wokenAt = performance.now();
	t.true(await isInTime(waitUntilApplied(box, 4), wokenAt + maxRecoveryMs));
});

test('many large versions over a slow link: the newest is in force in time', async (t) => {
	const { platform, linked } = await setUp(t, ['entry-1']);
	const [{ box, store }] = linked;
	const create = (): narrow.NarrowLink => narrow.NarrowLink.create(slowLinkBytesPerS, windowBytes);
	store.set({ kind: 'narrow', links: { request: create(), answer: create() } });
	box.process.kill('SIGSTOP');
	// 3,000 queues take about 0.6 MB in the store's encoding: eight versions are 5 MB, six seconds of this link.
	const many = Array.from({ length: 3_000 }, (_, number) => `/${number.toString().padStart(60, '0')}/`);
	const last = 11;
	for (let version = 4; version <= last; version += 1)
		platform.writeConfiguration(version, realBoxes.host, many);
	box.process.kill('SIGCONT');
	const sentAt = performance.now();
	t.true(await isInTime(waitUntilApplied(box, last), sentAt + maxRecoveryMs));
});

test('a box that the store turns away takes a new configuration over from the owner', async (t) => {
	const { platform, linked } = await setUp(t, ['entry-1', 'entry-2']);
	const other = linked[1];
	if (other === undefined) {
		t.fail();
		return;
	}
	other.store.set({ kind: 'cut' });
	await other.box.waitForLine((line) => line.name === 'store.lost');
	platform.writeConfiguration(4, realBoxes.host, ['/jobs/', '/new/']);
	const confirmedAt = performance.now();
	t.true(await isInTime(waitUntilApplied(other.box, 4), confirmedAt + maxApplyMs));
	t.is(other.box.lines.find((line) => line.fields.version === 4)?.fields.source, 'owner');
	t.is(await getQueueStatus(other.box, '/new/'), 200);
});

test('a box reaches the store again in time after a cut, although its connections stay dead', async (t) => {
	const { platform, linked } = await setUp(t, ['entry-1']);
	const [{ box, store }] = linked;
	await openConnections(box, 0xa0);
	store.set({ kind: 'drop-answers' });
	await box.waitForLine((line) => line.name === 'config.unconfirmed');
	platform.writeConfiguration(4, realBoxes.host, ['/jobs/', '/new/']);
	// A connection that was opened during the cut is as dead as those from before it.
	store.stallConnections();
	store.set({ kind: 'pass' });
	t.true(await isInTime(waitUntilApplied(box, 4), performance.now() + maxRecoveryMs));
});
