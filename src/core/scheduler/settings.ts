/** Settings of `woodcross-scheduler`. */
import * as zod from 'zod';
import * as common from '../settings/common.js';
import * as settings from '../settings/index.js';
import type * as types from './types.js';

const ms = common.milliseconds;

export const schedulerSettings = {
	...common.commonSettings,
	'heartbeat-ms': settings.setting({
		schema: ms,
		default: '1000',
		text: 'Milliseconds between heartbeats to a worker.',
		example: '500',
	}),
	'lease-ms': settings.setting({
		schema: ms,
		default: '10000',
		text: "Milliseconds of a batch task's lease on its worker.",
		example: '5000',
	}),
	'horizon-ms': settings.setting({
		schema: ms,
		default: '300000',
		text: 'Renewal horizon: milliseconds that batch work outlives the platform.',
		example: '60000',
	}),
	'margin-ms': settings.setting({
		schema: ms,
		default: '1000',
		text: 'Milliseconds added to every wait that stands in for a proof.',
		example: '500',
	}),
	'unreachable-ms': settings.setting({
		schema: ms,
		default: '5000',
		text: 'Milliseconds without an answer after which a worker counts as unreachable.',
		example: '3000',
	}),
	'takeover-ms': settings.setting({
		schema: ms,
		default: '2000',
		text: 'Milliseconds that the set of schedulers must be unchanged before a shard is taken over.',
		example: '1000',
	}),
	'writes-per-s': settings.setting({
		schema: common.count,
		default: '300',
		text: "Writes a second to the platform that all shards' appends together may use.",
		example: '200',
	}),
	'request-wait-ms': settings.setting({
		schema: ms,
		default: '3000',
		text: 'Milliseconds a request waits for its entry before it is answered as not stored.',
		example: '2000',
	}),
	'quarantine-jobs': settings.setting({
		schema: zod.z.coerce.number<string>('expected a whole number').int().min(2),
		default: '3',
		text: 'Distinct jobs failing on a worker that put it in quarantine.',
		example: '4',
	}),
	'keep-ended-ms': settings.setting({
		schema: ms,
		default: '3600000',
		text: 'Milliseconds for which ended jobs are kept for status.',
		example: '86400000',
	}),
	'keep-claims-ms': settings.setting({
		schema: ms,
		default: '900000',
		text: "Milliseconds for which a caller's Idempotency-Key is remembered.",
		example: '3600000',
	}),
} as const satisfies settings.SettingTable;

/** Validated settings of the scheduler. */
export type SchedulerSettings = settings.Settings<typeof schedulerSettings>;

/** Clock rates are assumed to differ by at most this fraction. */
const maxClockDrift = 0.001;

/** Derives an owner's options from the settings. */
export function ownerOptions(given: SchedulerSettings): types.OwnerOptions {
	const shards = given.zones.length * given['shards-per-zone'];
	return {
		heartbeatMs: given['heartbeat-ms'],
		leaseMs: given['lease-ms'],
		horizonMs: given['horizon-ms'],
		marginMs: given['margin-ms'],
		maxClockDrift,
		unreachableMs: given['unreachable-ms'],
		minAppendIntervalMs: (shards * 1000) / given['writes-per-s'],
		requestTimeoutMs: given['request-wait-ms'],
		quarantineAfterJobs: given['quarantine-jobs'],
		keepEndedMs: given['keep-ended-ms'],
		keepClaimsMs: given['keep-claims-ms'],
	};
}
