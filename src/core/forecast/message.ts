/** The forecast as an owner reports it to the boxes with its answers to pings. */
import * as zod from 'zod/mini';
import * as results from '../result.js';
import * as wire from '../wire/frame.js';
import type * as runTimes from './run-times.js';
import type * as types from './types.js';

const z = zod;

/** Largest encoded forecast, in bytes: it is sent to each box twice a second. */
export const maxMessageBytes = 600;

/** Largest plausible wait or factor; anything above is a fault of the sender. An hour is 360 times the longest accepted wait. */
const maxTimeMs = 3_600_000;
const maxFactor = 20;
const maxCores = 1e9;

/** Only factors that are off by this part or more are reported: smaller ones change no decision. */
const minDeviation = 0.25;

/** Maximum numbers of points of a class and of factors, from the largest message that is tried to the smallest. */
const sizes = [
	{ points: 8, factors: 16 },
	{ points: 6, factors: 8 },
	{ points: 4, factors: 8 },
	{ points: 3, factors: 4 },
	{ points: 2, factors: 0 },
] as const;

const imagePrefix = 'image ';

const time = z.number().check(z.gte(0), z.lte(maxTimeMs));
const name = z.string().check(z.maxLength(200));

/** A class as it is reported. */
const classSchema = z.object({
	kind: z.enum(['reserved', 'preemptible']),
	pool: z.optional(name),
	priority: z.number().check(z.int(), z.gte(0), z.lte(1_000)),
	cores: z.number().check(z.gt(0), z.lte(maxCores)),
	points: z
		.array(z.tuple([z.number().check(z.gte(-maxTimeMs), z.lte(maxTimeMs)), time]))
		.check(z.maxLength(8)),
	lateWaitMs: time,
	queues: z.optional(z.array(z.tuple([name, time])).check(z.maxLength(4))),
});

const queuesSchema = classSchema.shape.queues;

const factorSchema = z.tuple([name, z.number().check(z.gt(0), z.lte(maxFactor))]);

const message = z.object({
	generation: z.number().check(z.gte(0), z.lte(Number.MAX_SAFE_INTEGER)),
	known: z.boolean(),
	classes: z.array(classSchema).check(z.maxLength(32)),
	factors: z.array(factorSchema).check(z.maxLength(16)),
});

/** Why a forecast was rejected: the field, and the value that it has. */
export interface RejectedField {
	field: string;
	value: string;
}

/** Validates a received forecast; one wrong field rejects it as a whole. */
export function parseForecast(value: unknown): results.Result<types.Forecast, RejectedField> {
	const parsed = message.safeParse(value);
	if (parsed.success) return results.ok(parsed.data);
	const path = parsed.error.issues[0]?.path ?? [];
	return results.fail({ field: path.join('.'), value: describeValue(valueAt(value, path)).slice(0, 100) });
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
	let found = value;
	for (const key of path) found = (found as Record<PropertyKey, unknown> | undefined)?.[key];
	return found;
}

/** A received object may have a member `toString` that is no function, so objects are not converted. */
function describeValue(value: unknown): string {
	if (Array.isArray(value)) return 'an array';
	return typeof value === 'object' && value !== null ? 'an object' : String(value);
}

/** What was left out of a message, as a number of each. */
export interface Reduction {
	/** Classes whose waits by queue are left out, as the message would be too large or a queue's name is too long. */
	withoutQueues: number;
	/** Classes left out as the message would be too large: those with the shortest waits. */
	droppedClasses: number;
	/** Classes left out as the boxes would reject them, for their priority or the name of their pool. */
	invalidClasses: number;
}

/** A message, and what had to be left out of it. */
export interface ReducedMessage {
	message: types.Forecast;
	reduction: Reduction;
}

/**
 * The part of an owner's forecast that is reported, with as many points and factors as the size allows. If it is too large
 * even with the fewest, the waits by queue are left out, then the classes with the shortest waits.
 */
export function toMessage(
	forecast: types.OwnerForecast,
	generation: number,
	factors: runTimes.RunTimeFactors,
): ReducedMessage {
	const all = toReported(forecast);
	const classes = all.filter(isValid);
	const reported = reportedFactors(factors);
	const { known } = forecast;
	const fit = (from: types.ClassForecast[]): types.Forecast | undefined =>
		fitMessage({ generation, known, classes: from, factors: reported });
	const toReduced = (made: types.Forecast): ReducedMessage => ({
		message: made,
		reduction: countReduction(forecast.classes, all, classes, made.classes),
	});
	const whole = fit(classes);
	if (whole !== undefined) return toReduced(whole);
	const remaining = classes.map(withoutQueues);
	while (remaining.length > 0) {
		const made = fit(remaining);
		if (made !== undefined) return toReduced(made);
		remaining.splice(shortestWait(remaining), 1);
	}
	return toReduced({ generation, known, classes: [], factors: [] });
}

/** The classes with all their points, in the range that boxes accept; the pool is only named if there are several. */
function toReported(forecast: types.OwnerForecast): types.ClassForecast[] {
	const pools = new Set(forecast.free.map((one) => one.pool));
	return forecast.classes.map(({ pool, queues, ...one }) => {
		const bounds = queues?.map(([queue, waitMs]) => [queue, clampWait(waitMs)] as const);
		return {
			...one,
			...(pools.size > 1 && { pool }),
			cores: Math.min(maxCores, Math.max(1, Math.round(one.cores))),
			lateWaitMs: clampWait(one.lateWaitMs),
			// Without one of its queues a class would say that this queue has no work.
			...(queuesSchema.safeParse(bounds).success && bounds !== undefined && { queues: bounds }),
		};
	});
}

function isValid(one: types.ClassForecast): boolean {
	return classSchema.safeParse({ ...one, points: selectPoints(one.points, sizes[0].points) }).success;
}

/** The message with the most points and factors that the size allows; undefined: it is too large with the fewest. */
function fitMessage(whole: types.Forecast): types.Forecast | undefined {
	for (const size of sizes) {
		const candidate: types.Forecast = {
			...whole,
			classes: whole.classes.map((one) => ({ ...one, points: selectPoints(one.points, size.points) })),
			factors: whole.factors.slice(0, size.factors),
		};
		if (wire.encodeValue(candidate).length <= maxMessageBytes) return candidate;
	}
	return undefined;
}

function withoutQueues(one: types.ClassForecast): types.ClassForecast {
	const { kind, pool, priority, cores, points, lateWaitMs } = one;
	return { kind, ...(pool !== undefined && { pool }), priority, cores, points, lateWaitMs };
}

/** Index of the class with the shortest wait. */
function shortestWait(classes: readonly types.ClassForecast[]): number {
	const waits = classes.map((one) => Math.max(one.lateWaitMs, one.points.at(-1)?.[1] ?? 0));
	return waits.indexOf(Math.min(...waits));
}

function countReduction(
	forecast: readonly types.ClassForecast[],
	all: readonly types.ClassForecast[],
	valid: readonly types.ClassForecast[],
	sent: readonly types.ClassForecast[],
): Reduction {
	const withQueues = (classes: readonly types.ClassForecast[]): number =>
		classes.filter((one) => one.queues !== undefined).length;
	return {
		withoutQueues: withQueues(forecast) - withQueues(sent),
		droppedClasses: valid.length - sent.length,
		invalidClasses: all.length - valid.length,
	};
}

function clampWait(waitMs: number): number {
	return Math.round(Math.min(maxTimeMs, Math.max(0, waitMs)));
}

/** At most `count` points of a curve: the first, the last, and those between at about equal steps of the wait. */
function selectPoints(points: readonly types.WaitPoint[], count: number): types.WaitPoint[] {
	const last = points.at(-1);
	if (last === undefined) return [];
	const selected: types.WaitPoint[] = [];
	for (const point of points) {
		const stepMs = (last[1] * selected.length) / (count - 1);
		if (point !== last && point[1] < stepMs) continue;
		if (point !== last && selected.length === count - 1) continue;
		selected.push([Math.round(Math.min(maxTimeMs, Math.max(-maxTimeMs, point[0]))), clampWait(point[1])]);
	}
	return selected;
}

/** The factors by image that change decisions, those furthest off first. */
function reportedFactors(factors: runTimes.RunTimeFactors): [string, number][] {
	return Object.entries(factors)
		.filter(([key, factor]) => key.startsWith(imagePrefix) && Math.abs(factor - 1) >= minDeviation)
		.map(([key, factor]): [string, number] => [key.slice(imagePrefix.length), Math.round(factor * 100) / 100])
		.filter((reported) => factorSchema.safeParse(reported).success)
		.sort((a, b) => Math.abs(Math.log(b[1])) - Math.abs(Math.log(a[1])));
}
