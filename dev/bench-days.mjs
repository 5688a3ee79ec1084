/**
 * Writes benchmark days, one file for each kind of fault. A day repeats its fault or injects it while the system is
 * vulnerable. The days name nothing that belongs to one site, so they fit every site. The bench's `hunt` varies their times
 * and figures.
 * Usage: node dev/bench-days.mjs FOLDER
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as process from 'node:process';

const [folder] = process.argv.slice(2);

/**
 * The faults of each day, by the day's name. On some days the owner changes soon after the first fault, so the second fault
 * hits a recovery that is not finished.
 */
const troubles = {
	'srv-cut': ['{ at = 6, kind = "srv_cut", share = 0.3, for_s = 5 }'],
	'srv-cut-one-way': ['{ at = 6, kind = "srv_cut", share = 0.3, for_s = 5, how = "one_way" }'],
	'srv-cut-reset': ['{ at = 6, kind = "srv_cut", share = 0.3, for_s = 5, how = "reset" }'],
	'srv-cut-some-lossy': ['{ at = 6, kind = "srv_cut", share = 0.5, x = 0.5, for_s = 8, how = "some lossy" }'],
	'node-slow': ['{ at = 4, kind = "node_slow", share = 0.5, x = 5, for_s = 12 }'],
	'reset-conns': [
		'{ at = 4, kind = "reset_conns", share = 0.5, x = 0.7 }',
		'{ at = 12, kind = "reset_conns", share = 1.0, x = 1.0 }',
	],
	'late-orders': ['{ at = 5, kind = "applied_late", x = 0.3, for_s = 8, how = "all" }'],
	'late-grants': ['{ at = 5, kind = "applied_late", x = 0.3, for_s = 8, how = "grants" }'],
	'lost-late-writes': ['{ at = 5, kind = "platform_lost", x = 0.5, for_s = 8, how = "late" }'],
	'owner-frozen': ['{ at = 6, kind = "node_freeze", on = "core", count = 1, for_s = 4, how = "leader" }'],
	'owner-cut': ['{ at = 6, kind = "core_cut", count = 1, for_s = 7, how = "leader" }'],
	'owner-cut-one-way': ['{ at = 6, kind = "core_cut", count = 1, for_s = 7, how = "leader one_way" }'],
	'owner-killed-hard': ['{ at = 6, kind = "node_kill", on = "core", count = 1, how = "leader race hard" }'],
	'all-killed': ['{ at = 8, kind = "herd_kill", on = "core", share = 1.0, how = "off", for_s = 4 }'],
	revoked: ['{ at = 6, kind = "platform_down", how = "nodes leader silent revoke", count = 1, for_s = 8 }'],
	'store-lapse': ['{ at = 6, kind = "platform_down", how = "silent lapse", for_s = 7 }'],
	'worker-power-rack': ['{ at = 6, kind = "srv_crash", how = "rack dark", share = 0.3, for_s = 5 }'],
	'workers-slow-answers': ['{ at = 5, kind = "srv_grey", how = "slow", share = 0.3, x = 8, for_s = 8 }'],
	'workers-hang': ['{ at = 5, kind = "srv_grey", how = "hang", share = 0.3, x = 1.0, for_s = 8 }'],
	'workers-mute': ['{ at = 5, kind = "srv_grey", how = "mute", share = 0.3, x = 1.0, for_s = 8 }'],
	'workers-reset': ['{ at = 5, kind = "srv_grey", how = "reset", share = 0.3, x = 0.5, for_s = 8 }'],
	reclaim: ['{ at = 8, kind = "scale_in", how = "reclaim", for_s = 8 }'],
	spot: ['{ at = 8, kind = "scale_in", how = "spot", share = 0.2 }'],
	'takeover-in-late-orders': [
		'{ at = 5, kind = "applied_late", x = 0.3, for_s = 8 }',
		'{ at = 8, kind = "node_kill", on = "core", count = 1, how = "leader" }',
	],
	'takeover-in-lost-writes': [
		'{ at = 5, kind = "platform_lost", x = 0.5, for_s = 8 }',
		'{ at = 8, kind = "node_kill", on = "core", count = 1, how = "leader" }',
	],
	// A tenth of the workers crash every three seconds. Many tasks are lost more than once, and none of them is the cause.
	'crashes-by-chance': Array.from(
		{ length: 9 },
		(_, turn) => `{ at = ${4 + 3 * turn}, kind = "srv_crash", share = 0.1, for_s = 3 }`,
	),
	'power-losses-by-chance': Array.from(
		{ length: 8 },
		(_, turn) => `{ at = ${4 + 3.5 * turn}, kind = "srv_crash", share = 0.15, for_s = 3, how = "dark" }`,
	),
	'crashes-by-chance-then-owner-killed': [
		...Array.from(
			{ length: 9 },
			(_, turn) => `{ at = ${4 + 3 * turn}, kind = "srv_crash", share = 0.1, for_s = 3 }`,
		),
		'{ at = 8.5, kind = "node_kill", on = "core", count = 1, how = "leader" }',
		'{ at = 18.2, kind = "node_kill", on = "core", count = 1, how = "leader" }',
	],
	// The crashed workers have restarted at their addresses, and the entries of their previous incarnations have not expired
	// yet.
	'reborn-then-owner-killed': [
		'{ at = 16.0, kind = "srv_crash", share = 0.25, for_s = 2 }',
		'{ at = 19.3, kind = "node_kill", on = "core", count = 1, how = "leader" }',
	],
	'reborn-soon-then-owner-killed': [
		'{ at = 16.0, kind = "srv_crash", share = 0.25, for_s = 1 }',
		'{ at = 18.3, kind = "node_kill", on = "core", count = 1, how = "leader" }',
	],
	// The compaction forces the list to be read again, about a second after the crashed workers have restarted.
	'reborn-then-history-gone': [
		'{ at = 16.0, kind = "srv_crash", share = 0.25, for_s = 1 }',
		'{ at = 17.7, kind = "platform_compact" }',
	],
	'freeze-and-zone-cut': [
		'{ at = 6, kind = "node_freeze", on = "core", count = 1, for_s = 4, how = "leader" }',
		'{ at = 7, kind = "zone_cut", for_s = 5, how = "reset" }',
	],
	// The owner's link or processor is saturated, and the owner or its successor is lost at that moment.
	'burst-then-owner-killed': [
		'{ at = 8, kind = "burst", x = 2.5, for_s = 5 }',
		'{ at = 10, kind = "node_kill", on = "core", count = 1, how = "leader" }',
	],
	'burst-in-slow-store': [
		'{ at = 8, kind = "burst", x = 2.5, for_s = 5 }',
		'{ at = 8, kind = "platform_slow", x = 90, for_s = 6 }',
	],
	'owner-slow-in-burst': [
		'{ at = 6, kind = "node_slow", share = 1.0, x = 4, for_s = 10 }',
		'{ at = 8, kind = "burst", x = 2, for_s = 5 }',
	],
	'owner-cut-after-history-gone': [
		'{ at = 8, kind = "platform_compact", for_s = 2 }',
		'{ at = 14, kind = "core_cut", count = 1, for_s = 6, how = "leader" }',
	],
};

for (const [label, faults] of Object.entries(troubles)) {
	const lines = [
		'[[day]]',
		`name = "${label}"`,
		'slot = "trouble"',
		'seed = 1',
		'faults = [',
		...faults.map((fault) => `  ${fault},`),
		']',
		'',
	];
	fs.writeFileSync(path.join(folder, `${label}.toml`), lines.join('\n'));
}
