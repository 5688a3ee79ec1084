/**
 * Decodes stored records. Only the boxes write them, so an epoch, owner or roster record that does not decode breaks an
 * invariant. Job records are many, contain callers' data, and are read by each owner in turn: one that can't be decoded is
 * skipped and does not affect the others.
 */
import * as zod from 'zod/mini';
import * as jobSize from '../jobs/size.js';
import * as results from '../result.js';
import * as wire from '../wire/frame.js';
import type * as jobs from '../jobs/types.js';
import type * as types from './types.js';

const z = zod;

/** Fields of a job's record that are needed to create its tasks. */
const jobSchema = z.looseObject({
	id: z.string(),
	queue: z.looseObject({ name: z.string(), pool: z.string() }),
	steps: z.array(z.looseObject({ count: z.int(), after: z.array(z.int()) })).check(z.minLength(1)),
	acceptedAt: z.number(),
});

/** Fields of a job's progress that are needed. */
const progressSchema = z.looseObject({
	state: z.enum(['pending', 'running', 'completed', 'failed', 'cancelled']),
	finished: z.record(z.string(), z.unknown()),
	failures: z.record(z.string(), z.array(z.number())),
	checkpoints: z.record(z.string(), z.string()),
});

/** Whether a value has the fields of an accepted job from which its tasks are created. */
export function isJobRecord(value: unknown): value is jobs.JobRecord {
	return jobSchema.safeParse(value).success;
}

/** Decodes an accepted job; the error says why it can't be run. */
export function decodeJob(bytes: Uint8Array): results.Result<jobs.JobRecord, string> {
	const decoded = decodeWithSchema(bytes, jobSchema);
	if (!decoded.ok) return decoded;
	const record = decoded.value as unknown as jobs.JobRecord;
	const tooLarge = jobSize.tooLargeReason(record);
	return tooLarge === undefined ? results.ok(record) : results.fail(tooLarge);
}

/** Decodes a job's progress; the error says why it can't be read. */
export function decodeProgress(bytes: Uint8Array): results.Result<jobs.ProgressRecord, string> {
	const decoded = decodeWithSchema(bytes, progressSchema);
	return decoded.ok ? results.ok(decoded.value as unknown as jobs.ProgressRecord) : decoded;
}

/** Decodes what owners have learned; undefined: it can't be read. */
export function decodeLearnedModels(bytes: Uint8Array): unknown {
	const value = wire.decodeValue(bytes);
	return value.ok ? value.value : undefined;
}

function decodeWithSchema<T>(bytes: Uint8Array, schema: zod.ZodMiniType<T>): results.Result<T, string> {
	const value = wire.decodeValue(bytes);
	if (!value.ok) return value;
	const parsed = schema.safeParse(value.value);
	if (parsed.success) return results.ok(parsed.data);
	const issue = parsed.error.issues[0];
	return results.fail(`field ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
}

/** Decodes the epoch record. */
export function decodeEpoch(bytes: Uint8Array): types.EpochRecord {
	return decodeOrThrow(bytes) as types.EpochRecord;
}

/** Decodes the owner's record. */
export function decodeOwner(bytes: Uint8Array): types.OwnerRecord {
	return decodeOrThrow(bytes) as types.OwnerRecord;
}

/** Decodes a heartbeat. */
export function decodeHeartbeat(bytes: Uint8Array): types.HeartbeatRecord {
	return decodeOrThrow(bytes) as types.HeartbeatRecord;
}

/** Decodes the roster. */
export function decodeRoster(bytes: Uint8Array): types.RosterEntry[] {
	return decodeOrThrow(bytes) as types.RosterEntry[];
}

function decodeOrThrow(bytes: Uint8Array): unknown {
	const value = wire.decodeValue(bytes);
	results.invariant(value.ok, 'a stored record decodes');
	return value.value;
}
