/** Sets whose entries expire. */
import test from 'ava';
import * as expiring from '../src/core/expiring-set.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';

test('entries are kept for their time, and the oldest make room for new ones', async (t) => {
	const clock = time.VirtualClock.create();
	const set = expiring.ExpiringSet.create(clock, { keepMs: 100, maxSize: 3 });
	for (const entry of ['a', 'b', 'c', 'd']) set.add(entry);
	const presentOf = (): string[] => ['a', 'b', 'c', 'd'].filter((entry) => set.has(entry));
	t.deepEqual(presentOf(), ['b', 'c', 'd']);
	await clock.advance(60);
	set.add('b');
	await clock.advance(60);
	t.deepEqual(presentOf(), ['b']);
	t.is(set.size, 1);
	await clock.advance(60);
	t.is(set.size, 0);
});
