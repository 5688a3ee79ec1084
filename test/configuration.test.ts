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
const bounds = [1_500, 2_000, 2_500, 3_000, 4_000];

/** Duration of a call over a new connection in the store's slow hours, in milliseconds. */
const slowAnswerMs = 250;

/** A follower of the configuration on a virtual clock; its connection to the store can stop responding. */
class Followed {
	readonly clock = time.VirtualClock.create();
	readonly store = memory.MemoryStore.create(this.clock);
	readonly log = events.EventLog.create('entry-1', this.clock);
	/** Whether the store answers this box's other calls. */
	readonly contact = { reachable: true };
	/** The next wait for changes times out. */
	isSilent = false;
	/** The store fails every call. */
	isDown = false;
	/** Waits are answered with the latest revision and without the changes up to it. */
	isPassedOver = false;
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

	static create(applyMs: number): Followed {
		return new Followed(applyMs);
	}

	write(version: number): void {
		this.store.put('op/config', configurations.stored(version));
	}

	logged(name: events.EventName): number {
		return this.log.select((event) => event.name === name).length;
	}

	private view(): platform.RecordStore {
		const view = this.store.view(() => (this.isDown ? 'down' : 'none'));
		return {
			...view,
			list: async (prefix) => {
				await this.sleep(slowAnswerMs);
				return view.list(prefix);
			},
			follow: async (prefix, revision, waitMs) => {
				const answer = view.follow(prefix, revision, waitMs);
				const endsAt = this.clock.now() + waitMs + limits.longPollGraceMs;
				const res = await answer;
				if (this.isPassedOver && res.ok && res.value.type === 'changes')
					return results.ok({ ...res.value, changes: [] });
				if (!this.isSilent) return res;
				this.isSilent = false;
				await this.sleep(endsAt - this.clock.now());
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
	for (const applyMs of bounds)
		for (let phaseMs = 0; phaseMs < applyMs; phaseMs += 125) {
			const followed = Followed.create(applyMs);
			await followed.clock.pass(1_000 + phaseMs);
			followed.isSilent = true;
			followed.write(2);
			await followed.clock.pass(applyMs);
			t.is(
				followed.follower.version,
				2,
				`${String(applyMs)} ms allowed, unresponsive after ${String(phaseMs)}`,
			);
		}
});

test('a configuration that the store does not confirm in time is logged repeatedly until it is confirmed', async (t) => {
	const followed = Followed.create(2_000);
	await followed.clock.pass(3_000);
	t.is(followed.logged('config.unconfirmed'), 0);
	followed.isDown = true;
	await followed.clock.pass(8_500);
	t.is(followed.logged('config.unconfirmed'), 2);
	t.is(followed.logged('config.confirmed'), 0);
	followed.isDown = false;
	await followed.clock.pass(1_500);
	t.is(followed.logged('config.confirmed'), 1);
	t.true(followed.follower.ageMs < 2_000);
});

/** Stands for the owner where it must not be asked. */
function never(): Promise<Uint8Array | undefined> {
	throw new Error('the owner is asked though the store answers');
}

test('a change that no long poll returned is found as soon as another box advertises it', async (t) => {
	for (const tell of [
		(followed: Followed) =>
			void followed.follower.onAdvertised({ version: 2, ageMs: 0 }, followed.clock.now(), never),
		(followed: Followed) => void followed.follower.listIfNewer(2),
	]) {
		const followed = Followed.create(2_000);
		await followed.clock.pass(500);
		followed.isPassedOver = true;
		followed.write(2);
		await followed.clock.pass(3_000);
		t.is(followed.follower.version, 1);
		t.false(followed.follower.mayBeStale, 'the store answers, so nothing indicates the missed change');
		tell(followed);
		t.true(followed.follower.mayBeStale);
		await followed.clock.pass(2 * slowAnswerMs);
		t.is(followed.follower.version, 2);
		t.false(followed.follower.mayBeStale);
	}
});

test('when the list does not return the version that the owner advertised, the box fetches it from the owner', async (t) => {
	const followed = Followed.create(2_000);
	await followed.clock.pass(500);
	const { follower, clock } = followed;
	const tell = (): Promise<void> =>
		follower.onAdvertised({ version: 2, ageMs: 0 }, clock.now(), () =>
			Promise.resolve(configurations.stored(2)),
		);
	await tell();
	await clock.pass(2 * slowAnswerMs);
	t.is(followed.follower.version, 1, 'the list is read first');
	await tell();
	t.is(followed.follower.version, 2);
});

test('without the store a box applies the configuration that the owner sends, and relies on its confirmation', async (t) => {
	const followed = Followed.create(2_000);
	await followed.clock.pass(500);
	followed.isDown = true;
	followed.contact.reachable = false;
	await followed.clock.pass(3_000);
	t.true(followed.follower.mayBeStale);
	const { follower, clock } = followed;
	await follower.onAdvertised({ version: 1, ageMs: 300 }, clock.now() - 500, () =>
		Promise.resolve(configurations.stored(9)),
	);
	t.is(follower.ageMs, 800, 'the age that the owner reports, and the time since the request was sent');
	t.false(follower.mayBeStale);
	await follower.onAdvertised({ version: 2, ageMs: 300 }, clock.now(), () => Promise.resolve(undefined));
	t.true(follower.mayBeStale, 'the owner sent nothing');
	await follower.onAdvertised({ version: 2, ageMs: 300 }, clock.now(), () =>
		Promise.resolve(configurations.stored(2)),
	);
	t.is(followed.follower.version, 2);
	t.false(follower.mayBeStale);
	await follower.onAdvertised({ version: 3, ageMs: 300 }, clock.now(), () =>
		Promise.resolve(configurations.stored(1)),
	);
	t.is(followed.follower.version, 2, 'an older version is never applied');
});

test('an owner sends a large configuration to one box after another', (t) => {
	let now = 0;
	const shared = sharing.SharingRateLimit.create(() => now);
	const large = Buffer.alloc(350_000);
	t.truthy(shared.tryShare(large));
	now = 3_900;
	t.is(shared.tryShare(large), undefined);
	now = 4_100;
	t.truthy(shared.tryShare(large));
});

test('a long poll of the owner that stops responding is repeated before its box counts as in contact again', (t) => {
	const contactMs = 3_000;
	t.true(limits.ownerLongPollMs + limits.longPollGraceMs + slowAnswerMs < contactMs);
});

test('the configuration of a box that was suspended may be stale until it is confirmed', async (t) => {
	const followed = Followed.create(2_000);
	await followed.clock.pass(1_000);
	t.false(followed.follower.mayBeStale);
	followed.clock.resume();
	t.true(followed.follower.mayBeStale);
	// The answer to the wait that was in flight may be from before the suspension.
	await followed.clock.pass(4_000);
	t.false(followed.follower.mayBeStale);
});
