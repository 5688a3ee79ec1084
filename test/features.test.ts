/** Guards against features that come into force where no bound or setting calls for them, and against unchecked settings. */
import test from 'ava';
import * as features from '../src/core/features/index.js';

const mobileWork: features.FeatureBounds = {
	maxLeaseMs: 6_000,
	graceMs: 6_000,
	stopMs: 400,
	restoreMs: 250,
	farFactor: 1.5,
};

function inForce(
	environment: Record<string, string>,
	bounds: features.FeatureBounds,
): features.Features | undefined {
	const read = features.readFeatures(environment, bounds);
	return read.ok ? read.value : undefined;
}

test('features for mobile work need runs that are cheap to move and as fast anywhere', (t) => {
	const expected = { admission: 'forecast', waitingOrder: 'overload' };
	t.like(inForce({}, mobileWork), expected);
	const unlike: Partial<features.FeatureBounds>[] = [
		{ stopMs: 900 },
		{ restoreMs: 600 },
		{ farFactor: 2 },
		{ stopMs: undefined },
		{ restoreMs: undefined },
		{ farFactor: undefined },
	];
	for (const difference of unlike)
		t.like(inForce({}, { ...mobileWork, ...difference }), { admission: 'backlog', waitingOrder: 'due-time' });
});

test('the limit on preemptible work is fixed unless another one is asked for', (t) => {
	t.like(inForce({}, mobileWork), { preemptibleLimit: 'fixed' });
	for (const preemptibleLimit of ['adaptive', 'due-time'] as const)
		t.like(inForce({ WOODCROSS_PREEMPTIBLE_LIMIT: preemptibleLimit }, mobileWork), { preemptibleLimit });
});

test('features for changes of owner need leases that end within the grace time of a planned stop', (t) => {
	t.like(inForce({}, mobileWork), { handover: 'confirmed', takeover: 'prioritized' });
	t.like(inForce({}, { ...mobileWork, maxLeaseMs: 10_000 }), {
		handover: 'release',
		takeover: 'roster-order',
	});
});

test('a setting goes before the bounds, and a value that is not allowed is an error that names it', (t) => {
	t.like(inForce({ WOODCROSS_ADMISSION: 'backlog' }, mobileWork), {
		admission: 'backlog',
		waitingOrder: 'overload',
	});
	t.like(inForce({ WOODCROSS_HANDOVER: 'confirmed' }, { ...mobileWork, maxLeaseMs: 10_000 }), {
		handover: 'confirmed',
	});
	const read = features.readFeatures({ WOODCROSS_TAKEOVER: 'fast' }, mobileWork);
	t.false(read.ok);
	t.regex(read.ok ? '' : read.err, /WOODCROSS_TAKEOVER/);
});
