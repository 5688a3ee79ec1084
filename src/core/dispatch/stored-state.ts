/**
 * Decodes the scheduling state that an earlier owner stored, field by field: one that is missing, of another format or not
 * valid is absent, with a reason, and the others count. The record is advice, so that nothing about it may stop a takeover.
 */
import * as zod from 'zod/mini';
import * as learnedModels from './learned-models.js';
import * as loadWave from './load-wave.js';
import type * as forecast from '../forecast/index.js';
import type * as limitTypes from './limit-types.js';

const z = zod;

/** Format version with run time factors, limits and age. A record of version 1 has the models only. */
export const format = 2;

/** Everything that an owner stores for the next one. */
export interface StoredState extends learnedModels.LearnedModels {
	/** When it was stored, in Unix milliseconds on the storing box's clock. */
	storedAt: number;
	/** Run times over estimates, by key of `RunTimes`. The newest come last. */
	runTimes: forecast.RunTimeFactors;
	limits: limitTypes.ImageLimits;
}

/** Why a field is not adopted. */
export type AbsenceReason =
	'no-record' | 'other-format' | 'missing' | 'invalid' | 'too-old' | 'from-the-future';

/** The fields of a record that an owner adopts. */
export type StateField = 'images' | 'periods' | 'loads' | 'runTimes' | 'limits';

/** What can be adopted of a record. */
export interface DecodedState {
	state: Partial<Pick<StoredState, StateField>>;
	/** Reasons why the other fields are absent. */
	absent: Partial<Record<StateField, AbsenceReason>>;
	/** Age of the record in milliseconds, by the clocks of two boxes; undefined: it names no time. */
	ageMs: number | undefined;
}

/**
 * Limits older than this are not adopted, in milliseconds: the serving loads that they were found under oscillate with
 * periods of up to 20 s.
 */
const maxLimitAgeMs = 20_000;

/** Largest factor that `RunTimes` gives. */
const maxFactor = 20;

/** Maximum size of the run time factors and of the limits in a record, in bytes. */
const maxRunTimeBytes = 16_384;
const maxLimitBytes = 4_096;

/** Bytes of an encoded entry beside its key: a number and two headers; for a limit, two named numbers. */
const factorBytes = 14;
const limitBytes = 40;

const finite = z.number();
const nonNegative = z.number().check(z.minimum(0));

/** The lowest latency is infinite until one was measured. */
const lowestSchema = z.union([nonNegative, z.literal(Infinity)]);

const imageSchema = z
	.object({
		lowest: lowestSchema,
		images: z.array(z.string()),
		products: z.array(z.array(finite)),
		results: z.array(finite),
	})
	.check(z.refine(({ images, products, results }) => isSquare(images.length, [...products, results])));

const sumsSchema = z.object({
	products: z.array(finite).check(z.length(6)),
	results: z.array(finite).check(z.length(3)),
	squares: nonNegative,
	updatedAt: z.optional(finite),
});

const schemas = {
	images: z.record(z.string(), imageSchema),
	periods: z.record(z.string(), z.int().check(z.minimum(0), z.maximum(loadWave.periodsMs.length - 1))),
	loads: z.record(z.string(), sumsSchema),
	runTimes: z.record(z.string(), z.number().check(z.positive(), z.maximum(maxFactor))),
	limits: z.record(z.string(), z.object({ maxUse: nonNegative, margin: finite })),
} satisfies Record<StateField, unknown>;

/** Decodes a stored record; undefined: there is none, or it could not be read. `now`: Unix milliseconds. */
export function decodeState(stored: unknown, now: number): DecodedState {
	if (stored === undefined) return { state: {}, absent: allAbsent('no-record'), ageMs: undefined };
	const parsed = z.looseObject({ format: finite }).safeParse(stored);
	const isKnown = parsed.success && [learnedModels.format, format].includes(parsed.data.format);
	if (!isKnown) return { state: {}, absent: allAbsent('other-format'), ageMs: undefined };
	return decodeFields(parsed.data, now);
}

function decodeFields(record: Record<string, unknown>, now: number): DecodedState {
	const storedAt = finite.safeParse(record.storedAt);
	const ageMs = storedAt.success ? now - storedAt.data : undefined;
	const decoded: DecodedState = { state: {}, absent: {}, ageMs };
	adopt(decoded, 'images', parseField(schemas.images, record.images));
	adopt(decoded, 'periods', parseField(schemas.periods, record.periods));
	adopt(decoded, 'loads', parseField(schemas.loads, record.loads));
	adopt(decoded, 'runTimes', parseField(schemas.runTimes, record.runTimes));
	adopt(decoded, 'limits', ageFault(ageMs) ?? parseField(schemas.limits, record.limits));
	return decoded;
}

function parseField<T>(schema: zod.ZodMiniType<T>, value: unknown): T | AbsenceReason {
	if (value === undefined) return 'missing';
	const parsed = schema.safeParse(value);
	return parsed.success ? parsed.data : 'invalid';
}

function adopt<F extends StateField>(
	decoded: DecodedState,
	field: F,
	value: StoredState[F] | AbsenceReason,
): void {
	if (typeof value === 'string') decoded.absent[field] = value;
	else decoded.state[field] = value;
}

/** Why the age of a record rules its limits out; undefined: it does not. Boxes' clocks may differ a little. */
function ageFault(ageMs: number | undefined): AbsenceReason | undefined {
	if (ageMs === undefined) return 'missing';
	if (ageMs > maxLimitAgeMs) return 'too-old';
	return ageMs < -maxLimitAgeMs ? 'from-the-future' : undefined;
}

/** The newest run time factors that fit into a record. */
export function boundRunTimes(factors: forecast.RunTimeFactors): forecast.RunTimeFactors {
	return newestWithin(factors, factorBytes, maxRunTimeBytes);
}

/** The newest limits that fit into a record. */
export function boundLimits(limits: limitTypes.ImageLimits): limitTypes.ImageLimits {
	return newestWithin(limits, limitBytes, maxLimitBytes);
}

/** The last entries of a record whose encoded size is within `maxBytes`, in their order. `entryBytes`: size beside the key. */
function newestWithin<T>(values: Record<string, T>, entryBytes: number, maxBytes: number): Record<string, T> {
	const entries = Object.entries(values);
	let bytes = 0;
	let first = entries.length;
	while (first > 0) {
		bytes += Buffer.byteLength(entries[first - 1]?.[0] ?? '') + entryBytes;
		if (bytes > maxBytes) break;
		first -= 1;
	}
	return Object.fromEntries(entries.slice(first));
}

function allAbsent(reason: AbsenceReason): Record<StateField, AbsenceReason> {
	return { images: reason, periods: reason, loads: reason, runTimes: reason, limits: reason };
}

/** Whether each row has this length, and there are as many rows and one more for the results. */
function isSquare(length: number, rows: readonly (readonly unknown[])[]): boolean {
	return rows.length === length + 1 && rows.every((row) => row.length === length);
}
