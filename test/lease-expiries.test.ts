/**
 * The lease expiries of unresponsive workers that a box takes from the owner's answers, and when they are no longer valid.
 */
import test from 'ava';
import * as leaseExpiries from '../src/core/box/lease-expiries.js';
import * as time from '../stand-ins/fleet/virtual-clock.js';
import type * as protocol from '../src/core/box/peer-protocol.js';

const generation = 3;
const rosterVersion = 70;

function reply(silent?: protocol.UnresponsiveWorkers): protocol.PingReply {
	return { generation, storeReachable: true, strongest: 1, silent };
}

test('an expiry counts from the arrival of the answer, and is valid for the next owner and the same roster only', async (t) => {
	const clock = time.VirtualClock.create();
	const expiries = leaseExpiries.LeaseExpiries.create(() => clock.now());
	expiries.update(reply({ rosterVersion, leftMs: { w1: 4_000 } }));
	const arrivedAt = clock.now();
	await clock.advance(1_000);
	const expiry = expiries.validFor(generation + 1, rosterVersion).get('w1') ?? 0;
	t.true(expiry >= arrivedAt + 4_000 && expiry < arrivedAt + 5_000);
	t.is(expiries.validFor(generation + 2, rosterVersion).size, 0);
	t.is(expiries.validFor(generation, rosterVersion).size, 0);
	t.is(expiries.validFor(generation + 1, rosterVersion + 1).size, 0);
});

test('which workers were unresponsive is known to the next owner for any version of the roster', (t) => {
	const expiries = leaseExpiries.LeaseExpiries.create(() => 0);
	t.is(expiries.unresponsiveBefore(generation + 1).size, 0);
	expiries.update(reply({ rosterVersion, leftMs: { w1: 4_000 } }));
	t.deepEqual([...expiries.unresponsiveBefore(generation + 1)], ['w1']);
	t.is(expiries.unresponsiveBefore(generation + 2).size, 0);
});

test('each answer replaces the one before, also one without unresponsive workers', (t) => {
	const expiries = leaseExpiries.LeaseExpiries.create(() => 0);
	expiries.update(reply({ rosterVersion, leftMs: { w1: 4_000 } }));
	expiries.update(reply({ rosterVersion, leftMs: { w2: 1_000 } }));
	t.deepEqual([...expiries.validFor(generation + 1, rosterVersion).keys()], ['w2']);
	expiries.update(reply());
	t.is(expiries.validFor(generation + 1, rosterVersion).size, 0);
});
