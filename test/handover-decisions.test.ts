/** Which box an owner names, and when it allows or replaces it: decisions without clock and messages. */
import test from 'ava';
import * as handovers from '../src/core/owner/handover.js';
import type * as ownership from '../src/core/owner/index.js';

const generation = 7;

const own = { zone: 'z1', processor: 1 };

/** A box that has pinged for long enough. */
function candidate(box: string, more: Partial<ownership.TrackedCandidate> = {}): ownership.TrackedCandidate {
	const usual = {
		processor: 1,
		storeReachable: true,
		zone: 'z1',
		stopping: false,
		pingingSince: 0,
		at: 5_000,
	};
	return { box, ...usual, ...more };
}

/** Names the box that is named at 5 s of these; undefined: none is. */
function namedOf(known: ownership.TrackedCandidate[], cause: handovers.HandoverCause): string | undefined {
	const handover = handovers.Handover.create(generation, own, cause);
	handover.advance(5_000, known);
	return handover.successor;
}

test('no box is named that stops, lacks the store, is new, or does not confirm handovers', (t) => {
	const unfit = [
		candidate('stops', { stopping: true }),
		candidate('no-store', { storeReachable: false }),
		candidate('new', { pingingSince: 4_000 }),
		candidate('old-release', { stopping: undefined }),
	];
	t.is(namedOf(unfit, 'planned-stop'), undefined);
	t.is(namedOf([...unfit, candidate('fit', { processor: 0.3 })], 'planned-stop'), 'fit');
});

test('a handover for a stronger box names no other', (t) => {
	t.is(namedOf([candidate('like')], 'stronger-box'), undefined);
	t.is(namedOf([candidate('like'), candidate('strong', { processor: 2 })], 'stronger-box'), 'strong');
});

test('only the box named may replace the owner, and only when prepared for its generation', (t) => {
	const handover = handovers.Handover.create(generation, own, 'planned-stop');
	handover.advance(5_000, [candidate('a')]);
	t.false(handover.permit('b', generation, 5_000).permitted);
	t.false(handover.permit('a', generation - 1, 5_000).permitted);
	t.false(handover.permit('a', undefined, 5_000).permitted);
	t.deepEqual(handover.permit('a', generation, 5_000), { permitted: true, first: true });
});

test('a box that failed is tried again only when no other is left', (t) => {
	const handover = handovers.Handover.create(generation, own, 'planned-stop');
	const known = [candidate('a'), candidate('b', { processor: 0.9 })];
	const named = [5_000, 6_500, 8_000].map((now) => {
		handover.advance(now, known);
		return handover.successor;
	});
	t.deepEqual(named, ['a', 'b', 'a']);
});
