/** Which of several boxes with different processors dispatches, in memory and on a virtual clock. */
import test from 'ava';
import * as events from '../src/core/events/index.js';
import * as memory from '../stand-ins/fleet/memory-store.js';
import * as ownership from '../src/core/owner/index.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import type * as platform from '../src/core/platform/types.js';

const weak = 0.3;
const strong = 1.35;

/** A box without callers or workers, reduced to its part in the election. */
interface TestBox {
	election: ownership.Ownership;
	isOwner: boolean;
	isDown: boolean;
	/** It is cut off from the other boxes and from the store. */
	isCut: boolean;
	/** The store does not answer it. */
	cannotReachStore: boolean;
	/** Boxes whose pings it does not answer. */
	readonly unansweredBoxes: Set<string>;
}

/** Boxes that ping each other as real ones do. */
class TestBoxes {
	readonly clock = time.VirtualClock.create();
	readonly store = memory.MemoryStore.create(this.clock);
	private readonly boxes = new Map<string, TestBox>();
	/** The candidates that pinged each box. */
	private readonly candidates = new Map<string, ownership.Candidates>();
	/** Boxes that became the owner, in order. */
	readonly owners: string[] = [];

	private constructor() {
		// Instances are created by `create`.
	}

	static create(): TestBoxes {
		return new TestBoxes();
	}

	/** Boxes of which the first has had time to become owner. */
	static async withOwner(name: string, processor: number): Promise<{ boxes: TestBoxes; owner: TestBox }> {
		const boxes = TestBoxes.create();
		const owner = boxes.start(name, processor);
		await boxes.clock.advance(300);
		return { boxes, owner };
	}

	/** Starts a box; `storeDelayMs`: delay before each of its calls to the store. */
	start(name: string, processor: number, storeDelayMs = 0): TestBox {
		const { clock } = this;
		const candidates = ownership.Candidates.create(() => clock.now());
		let strongest: number | undefined;
		const box: TestBox = {
			isOwner: false,
			isDown: false,
			isCut: false,
			cannotReachStore: false,
			unansweredBoxes: new Set(),
			election: undefined as never,
		};
		this.boxes.set(name, box);
		this.candidates.set(name, candidates);
		const store = this.store.view(() => (box.isDown || box.isCut || box.cannotReachStore ? 'down' : 'none'));
		box.election = ownership.Ownership.create({
			store: this.delayed(store, storeDelayMs),
			clock,
			events: events.EventLog.create(name, clock),
			box: name,
			peer: name,
			leaseMs: 2_000,
			processor,
			highestKnownProcessor: () => strongest,
			strongerBox: () => candidates.stronger(processor)?.box,
			ping: async (peer) => {
				const reply = await this.pingOwner(peer, { box: name, processor, storeReachable: true });
				if (typeof reply === 'number') strongest = reply;
				return typeof reply === 'number' ? 'alive' : reply;
			},
			ownerLacksStore: () => false,
			onAcquired: () => {
				box.isOwner = true;
				this.owners.push(name);
			},
			onLost: () => {
				box.isOwner = false;
				strongest = candidates.strongest(processor);
			},
			// Strong boxes wait the longest: without the delay for weaker boxes, a weak one would be first.
			random: (below) => (processor === strong ? below : 0),
		});
		return box;
	}

	/** A store that carries out calls after a delay, any number of them at once. */
	private delayed(store: platform.RecordStore, ms: number): platform.RecordStore {
		const later = async <T>(call: () => Promise<T>): Promise<T> => {
			await this.sleep(ms);
			return call();
		};
		return {
			...store,
			get: (key) => later(() => store.get(key)),
			list: (prefix) => later(() => store.list(prefix)),
			commit: (txn) => later(() => store.commit(txn)),
			grantLease: (ttlMs) => later(() => store.grantLease(ttlMs)),
			keepLease: (lease) => later(() => store.keepLease(lease)),
		};
	}

	private async pingOwner(
		peer: string,
		candidate: ownership.Candidate,
	): Promise<number | ownership.PingOutcome> {
		const owner = this.boxes.get(peer);
		const candidates = this.candidates.get(peer);
		if (owner === undefined || candidates === undefined) return 'refused';
		const timeoutAt = this.clock.now() + ownership.settings.pingTimeoutMs;
		const isUnresponsive = (): boolean => owner.isCut || owner.unansweredBoxes.has(candidate.box);
		if (!isUnresponsive()) candidates.notePing(candidate);
		for (let waited = 0; waited < ownership.settings.pingHoldMs; waited += 20) {
			await this.sleep(20);
			if (isUnresponsive()) {
				await this.sleep(timeoutAt - this.clock.now());
				return 'silent';
			}
			const refusal = refusalOf(owner);
			if (refusal !== undefined) return refusal;
		}
		return candidates.strongest(candidate.processor);
	}

	private sleep(ms: number): Promise<void> {
		return new Promise((resolve) => {
			this.clock.after(ms, resolve);
		});
	}
}

/** Why a box does not answer as the owner; undefined: it does. */
function refusalOf(box: TestBox): ownership.PingOutcome | undefined {
	if (box.isDown) return 'refused';
	return box.isOwner ? undefined : 'not-owner';
}

test('a weak owner hands over to a strong box that stays up, once', async (t) => {
	const { boxes } = await TestBoxes.withOwner('weak-1', weak);
	boxes.start('weak-2', weak);
	boxes.start('strong-1', strong);
	await boxes.clock.advance(20_000);
	t.snapshot(boxes.owners);
});

test('boxes of like strength do not hand over', async (t) => {
	const { boxes } = await TestBoxes.withOwner('box-1', weak);
	boxes.start('box-2', weak);
	boxes.start('box-3', weak);
	await boxes.clock.advance(20_000);
	t.snapshot(boxes.owners);
});

test('after a strong owner died, another strong box comes first, however many weak ones race', async (t) => {
	const { boxes, owner: first } = await TestBoxes.withOwner('strong-1', strong);
	for (const name of ['weak-1', 'weak-2', 'weak-3']) boxes.start(name, weak);
	boxes.start('strong-2', strong);
	await boxes.clock.advance(3_000);
	first.isDown = true;
	await boxes.clock.advance(1_000);
	t.snapshot(boxes.owners);
});

test('weak boxes take over where no strong one is left', async (t) => {
	const { boxes, owner: only } = await TestBoxes.withOwner('strong-1', strong);
	boxes.start('weak-1', weak);
	await boxes.clock.advance(3_000);
	only.isDown = true;
	await boxes.clock.advance(1_000);
	t.snapshot(boxes.owners);
});

test('after all went down, a strong box that is up a little later than weak ones comes first', async (t) => {
	const { boxes, owner: before } = await TestBoxes.withOwner('strong-1', strong);
	const weakBefore = boxes.start('weak-1', weak);
	await boxes.clock.advance(3_000);
	before.isDown = true;
	weakBefore.isDown = true;
	await boxes.clock.advance(5_000);
	boxes.start('weak-2', weak);
	await boxes.clock.advance(250);
	boxes.start('strong-2', strong);
	await boxes.clock.advance(1_000);
	t.snapshot(boxes.owners);
});

test('a strong box takes over within a tenth of a second once the lease of an owner that was cut off is over', async (t) => {
	const { boxes, owner: first } = await TestBoxes.withOwner('strong-1', strong);
	boxes.start('strong-2', strong);
	boxes.start('weak-1', weak);
	await boxes.clock.advance(3_000);
	first.isCut = true;
	// The lease was last renewed up to one renewal interval before.
	await boxes.clock.advance(ownership.settings.leaseMs + 100);
	t.snapshot(boxes.owners);
});

test('a weak box that finds a silent owner gone leaves strong ones the time to find it out', async (t) => {
	const { boxes, owner: first } = await TestBoxes.withOwner('strong-1', strong);
	boxes.start('strong-2', strong);
	boxes.start('weak-1', weak);
	await boxes.clock.advance(3_000);
	// Busy with other work, the owner no longer renews its lease, and it answers one box for longer than the other.
	first.cannotReachStore = true;
	first.unansweredBoxes.add('weak-1');
	await boxes.clock.advance(ownership.settings.leaseMs - ownership.settings.renewalIntervalMs);
	first.isCut = true;
	await boxes.clock.advance(4_000);
	t.deepEqual(boxes.owners, ['strong-1', 'strong-2']);
});

test('that lease is noticed as soon where the store has forgotten the time before', async (t) => {
	const { boxes, owner: first } = await TestBoxes.withOwner('strong-1', strong);
	boxes.start('strong-2', strong);
	await boxes.clock.advance(3_000);
	boxes.store.put('another/key', new Uint8Array(0));
	boxes.store.forget();
	first.isCut = true;
	await boxes.clock.advance(ownership.settings.leaseMs + 100);
	t.deepEqual(boxes.owners, ['strong-1', 'strong-2']);
});

test('a box that is told to stop while it takes over does not own', async (t) => {
	const boxes = TestBoxes.create();
	const leaving = boxes.start('weak-1', weak);
	await boxes.clock.advance(14);
	const released = leaving.election.release();
	await boxes.clock.advance(100);
	await released;
	boxes.start('weak-2', weak);
	await boxes.clock.advance(1_000);
	t.snapshot(boxes.owners);
});

test('an owner whose calls to the store take most of a second stays the owner', async (t) => {
	const boxes = TestBoxes.create();
	boxes.start('slow-1', strong, 900);
	await boxes.clock.advance(8_000);
	t.deepEqual(boxes.owners, ['slow-1']);
	boxes.start('box-2', strong);
	await boxes.clock.advance(20_000);
	t.deepEqual(boxes.owners, ['slow-1']);
});

// Guards against an owner record that names a box which has given up ownership.
test('an owner that stops while it renews an expired lease is replaced at once', async (t) => {
	const replacedAfterMs: number[] = [];
	for (let stopsAfterMs = 0; stopsAfterMs <= 900; stopsAfterMs += 50) {
		const { boxes, owner } = await TestBoxes.withOwner('weak-1', weak);
		const next = boxes.start('weak-2', weak);
		await boxes.clock.advance(1_000);
		owner.cannotReachStore = true;
		await boxes.clock.advance(2_500);
		owner.cannotReachStore = false;
		boxes.store.writeMs = 100;
		await boxes.clock.advance(stopsAfterMs);
		const stoppedAt = boxes.clock.now();
		void owner.election.release();
		while (!next.isOwner) await boxes.clock.advance(10);
		replacedAfterMs.push(boxes.clock.now() - stoppedAt);
	}
	// A grant, a takeover and the end of the lease, 100 ms each, and the time until the other box looks.
	t.true(Math.max(...replacedAfterMs) < 1_000, replacedAfterMs.join(' '));
});
