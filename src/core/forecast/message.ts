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

const message = z.object({
	generation: z.number().check(z.gte(0), z.lte(Number.MAX_SAFE_INTEGER)),
	known: z.boolean(),
	classes: z
		.array(
			z.object({
				kind: z.enum(['reserved', 'preemptible']),
				pool: z.optional(name),
				priority: z.number().check(z.int(), z.gte(0), z.lte(1_000)),
				cores: z.number().check(z.gt(0), z.lte(1e9)),
				points: z
					.array(z.tuple([z.number().check(z.gte(-maxTimeMs), z.lte(maxTimeMs)), time]))
					.check(z.maxLength(8)),
				lateWaitMs: time,
				queues: z.optional(z.array(z.tuple([name, time])).check(z.maxLength(4))),
			}),
		)
		.check(z.maxLength(32)),
	factors: z.array(z.tuple([name, z.number().check(z.gt(0), z.lte(maxFactor))])).check(z.maxLength(16)),
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
	return results.fail({ field: path.join('.'), value: String(valueAt(value, path)).slice(0, 100) });
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
	let found = value;
	for (const key of path) found = (found as Record<PropertyKey, unknown> | undefined)?.[key];
	return found;
}

/** The part of an owner's forecast that is reported, with as many points and factors as the size allows. */
export function toMessage(
	forecast: types.OwnerForecast,
	generation: number,
	factors: runTimes.RunTimeFactors,
): types.Forecast {
	const pools = new Set(forecast.free.map((one) => one.pool));
	const classes = forecast.classes.map(({ pool, ...one }) => (pools.size > 1 ? { pool, ...one } : one));
	const reported = reportedFactors(factors);
	for (const size of sizes) {
		const candidate: types.Forecast = {
			generation,
			known: forecast.known,
			classes: classes.map((one) => ({
				...one,
				cores: Math.max(1, Math.round(one.cores)),
				points: selectPoints(one.points, size.points),
			})),
			factors: reported.slice(0, size.factors),
		};
		if (wire.encodeValue(candidate).length <= maxMessageBytes) return candidate;
	}
	// With this many classes none is reported: without a forecast everything is accepted.
	return { generation, known: false, classes: [], factors: [] };
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
		selected.push([Math.round(Math.min(maxTimeMs, Math.max(-maxTimeMs, point[0]))), Math.round(point[1])]);
	}
	return selected;
}

/** The factors by image that change decisions, those furthest off first. */
function reportedFactors(factors: runTimes.RunTimeFactors): [string, number][] {
	return Object.entries(factors)
		.filter(([key, factor]) => key.startsWith(imagePrefix) && Math.abs(factor - 1) >= minDeviation)
		.map(([key, factor]): [string, number] => [key.slice(imagePrefix.length), Math.round(factor * 100) / 100])
		.sort((a, b) => Math.abs(Math.log(b[1])) - Math.abs(Math.log(a[1])));
}
