/**
 * Guards against configurations that take effect too late because a long poll stops responding as it begins. Its wait, the
 * grace period for its answer and the list that follows have to fit into the time that a confirmed configuration may take to
 * be in force: 2,500 + 800 + 250 ms do not fit into 2,000, nor into the 3,000 after which a box counts as in contact again.
 */
import test from 'ava';
import * as boxConfiguration from '../src/core/box/configuration.js';
import * as configurations from './fixtures/configurations.js';
import * as configuration from '../platform/queue-configuration.js';
import * as events from '../src/core/events/index.js';
import * as limits from '../src/core/platform/limits.js';
import * as memory from '../stand-ins/fleet/memory-store.js';
import * as results from '../src/core/result.js';
import * as sharing from '../src/core/box/configuration-sharing.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import type * as platform from '../src/core/platform/types.js';

/** Time limits for applying a configuration, in milliseconds: those of the users' deployments, and some between. */
const applyBoundsMs = [1_500, 2_000, 2_500, 3_000, 4_000];

/** Duration of a call over a new connection in the store's slow hours, in milliseconds. */
const slowAnswerMs = 250;

/** A follower of the configuration on a virtual clock; its connection to the store can stop responding. */
class TestFollower {
	readonly clock = time.VirtualClock.create();
	readonly store = memory.MemoryStore.create(this.clock);
	readonly log = events.EventLog.create('entry-1', this.clock);
	/** Whether the store answers this box's other calls. */
	readonly contact = { reachable: true };
	/** The next wait for changes times out. */
	nextWaitHangs = false;
	/** The store fails every call. */
	isStoreDown = false;
	/** Waits are answered with the latest revision and without the changes up to it. */
	omitsChanges = false;
	readonly follower: boxConfiguration.ConfigurationFollower;

	private constructor(applyMs: number) {
		this.write(1);
		this.follower = boxConfiguration.ConfigurationFollower.create({
			adapter: {
				...configuration,
				configurationPrefix: configuration.operatorPrefix,
				decodeWave: () => undefined,
			},
			store: this.view(),
			contact: this.contact,
			clock: this.clock,
			events: this.log,
			applyMs,
			onWave: () => undefined,
		});
	}

	static create(applyMs: number): TestFollower {
		return new TestFollower(applyMs);
	}

	write(version: number): void {
		this.store.put('op/config', configurations.storedConfiguration(version));
	}

	countLogged(name: events.EventName): number {
		return this.log.select((event) => event.name === name).length;
	}

	private view(): platform.RecordStore {
		const view = this.store.view(() => (this.isStoreDown ? 'down' : 'none'));
		return {
			...view,
			list: async (prefix) => {
				await this.sleep(slowAnswerMs);
				return view.list(prefix);
			},
			follow: async (prefix, revision, waitMs) => {
				const answer = view.follow(prefix, revision, waitMs);
				const timeoutAt = this.clock.now() + waitMs + limits.longPollGraceMs;
				const res = await answer;
				if (this.omitsChanges && res.ok && res.value.type === 'changes')
					return results.ok({ ...res.value, changes: [] });
				if (!this.nextWaitHangs) return res;
				this.nextWaitHangs = false;
				await this.sleep(timeoutAt - this.clock.now());
				return results.fail({ effect: 'unknown', reason: 'no answer' });
			},
		};
	}

	private sleep(ms: number): Promise<void> {
		return new Promise((resolve) => {
			this.clock.after(ms, resolve);
		});
	}
}

test('a long poll that stops responding at any time does not delay a confirmed configuration beyond the time limit', async (t) => {
	for (const applyMs of applyBoundsMs)
		for (let phaseMs = 0; phaseMs < applyMs; phaseMs += 125) {
			const harness = TestFollower.create(applyMs);
			await harness.clock.advance(1_000 + phaseMs);
			harness.nextWaitHangs = true;
			harness.write(2);
			await harness.clock.advance(applyMs);
			t.is(
				harness.follower.version,
				2,
				`${String(applyMs)} ms allowed, unresponsive after ${String(phaseMs)}`,
			);
		}
});

test('a configuration that the store does not confirm in time is logged repeatedly until it is confirmed', async (t) => {
	const harness = TestFollower.create(2_000);
	await harness.clock.advance(3_000);
	t.is(harness.countLogged('config.unconfirmed'), 0);
	harness.isStoreDown = true;
	await harness.clock.advance(8_500);
	t.is(harness.countLogged('config.unconfirmed'), 2);
	t.is(harness.countLogged('config.confirmed'), 0);
	harness.isStoreDown = false;
	await harness.clock.advance(1_500);
	t.is(harness.countLogged('config.confirmed'), 1);
	t.true(harness.follower.ageMs < 2_000);
});

/** Stands for the owner where it must not be asked. */
function failIfOwnerAsked(): Promise<Uint8Array | undefined> {
	throw new Error('the owner is asked though the store answers');
}

test('a change that no long poll returned is found as soon as another box advertises it', async (t) => {
	for (const advertise of [
		(harness: TestFollower) =>
			void harness.follower.onAdvertised({ version: 2, ageMs: 0 }, harness.clock.now(), failIfOwnerAsked),
		(harness: TestFollower) => void harness.follower.listIfNewer(2),
	]) {
		const harness = TestFollower.create(2_000);
		await harness.clock.advance(500);
		harness.omitsChanges = true;
		harness.write(2);
		await harness.clock.advance(3_000);
		t.is(harness.follower.version, 1);
		t.false(harness.follower.mayBeStale, 'the store answers, so nothing indicates the missed change');
		advertise(harness);
		t.true(harness.follower.mayBeStale);
		await harness.clock.advance(2 * slowAnswerMs);
		t.is(harness.follower.version, 2);
		t.false(harness.follower.mayBeStale);
	}
});

test('when the list does not return the version that the owner advertised, the box fetches it from the owner', async (t) => {
	const harness = TestFollower.create(2_000);
	await harness.clock.advance(500);
	const { follower, clock } = harness;
	const advertise = (): Promise<void> =>
		follower.onAdvertised({ version: 2, ageMs: 0 }, clock.now(), () =>
			Promise.resolve(configurations.storedConfiguration(2)),
		);
	await advertise();
	await clock.advance(2 * slowAnswerMs);
	t.is(harness.follower.version, 1, 'the list is read first');
	await advertise();
	t.is(harness.follower.version, 2);
});

test('without the store a box applies the configuration that the owner sends, and relies on its confirmation', async (t) => {
	const harness = TestFollower.create(2_000);
	await harness.clock.advance(500);
	harness.isStoreDown = true;
	harness.contact.reachable = false;
	await harness.clock.advance(3_000);
	t.true(harness.follower.mayBeStale);
	const { follower, clock } = harness;
	await follower.onAdvertised({ version: 1, ageMs: 300 }, clock.now() - 500, () =>
		Promise.resolve(configurations.storedConfiguration(9)),
	);
	t.is(follower.ageMs, 800, 'the age that the owner reports, and the time since the request was sent');
	t.false(follower.mayBeStale);
	await follower.onAdvertised({ version: 2, ageMs: 300 }, clock.now(), () => Promise.resolve(undefined));
	t.true(follower.mayBeStale, 'the owner sent nothing');
	await follower.onAdvertised({ version: 2, ageMs: 300 }, clock.now(), () =>
		Promise.resolve(configurations.storedConfiguration(2)),
	);
	t.is(harness.follower.version, 2);
	t.false(follower.mayBeStale);
	await follower.onAdvertised({ version: 3, ageMs: 300 }, clock.now(), () =>
		Promise.resolve(configurations.storedConfiguration(1)),
	);
	t.is(harness.follower.version, 2, 'an older version is never applied');
});

test('an owner sends a large configuration to one box after another', (t) => {
	let now = 0;
	const rateLimit = sharing.SharingRateLimit.create(() => now);
	const largeConfiguration = Buffer.alloc(350_000);
	t.truthy(rateLimit.tryShare(largeConfiguration));
	now = 3_900;
	t.is(rateLimit.tryShare(largeConfiguration), undefined);
	now = 4_100;
	t.truthy(rateLimit.tryShare(largeConfiguration));
});

test('a long poll of the owner that stops responding is repeated before its box counts as in contact again', (t) => {
	const contactMs = 3_000;
	t.true(limits.ownerLongPollMs + limits.longPollGraceMs + slowAnswerMs < contactMs);
});

test('the configuration of a box that was suspended may be stale until it is confirmed', async (t) => {
	const harness = TestFollower.create(2_000);
	await harness.clock.advance(1_000);
	t.false(harness.follower.mayBeStale);
	harness.clock.noteResume();
	t.true(harness.follower.mayBeStale);
	// The answer to the wait that was in flight may be from before the suspension.
	await harness.clock.advance(4_000);
	t.false(harness.follower.mayBeStale);
});
