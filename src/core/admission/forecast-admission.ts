/**
 * Decides by the owner's forecast whether a job is accepted.
 *
 * Load pattern: bursts of some seconds that bring up to three times what one class of work can do, while other classes have
 * capacity left. Each job is judged by when it would itself finish, so that no class is refused for the work of another, and
 * the first job that is too late is refused in the first second of a burst. Nothing is refused without a forecast.
 */
import * as decisions from './decide.js';
import * as jobs from '../jobs/index.js';
import type * as forecasts from '../forecast/index.js';
import type * as types from './types.js';

/** Age from which a forecast counts as absent, in milliseconds: ten of its intervals, and longer than a change of owner. */
export const maxForecastAgeMs = 5_000;

/** By how much a forecast may be too high. A job is refused only if it would be too late even then. */
export const forecastErrorFactor = 1.5;

/**
 * Work that would be placed just before its due time is taken to be late: a forecast that is too low by a tenth makes it so,
 * and it then waits behind all that is on time, far longer than forecast.
 */
const lateMargin = 1.1;

/** A run time factor below a quarter off is not reported. */
const defaultFactor = 1;

/** Decides on a job; without a usable forecast it is admitted. */
export function decideByForecast(
	record: types.DecidedJob,
	aged: forecasts.AgedForecast | undefined,
): types.Verdict {
	if (aged === undefined || aged.ageMs >= maxForecastAgeMs || !aged.forecast.known) return { type: 'admit' };
	// A long-running job is of value whenever it runs.
	if (record.steps.some((step) => step.lasting)) return { type: 'admit' };
	const forecast = forecastJob(record, aged);
	const { waitMs, finishMs } = forecast;
	const worthlessMs = Math.round(jobs.deadlinesOf(record).worthlessMs);
	const limitMs = Math.round(worthlessMs * forecastErrorFactor);
	if (finishMs > limitMs)
		return { type: 'refuse', cause: 'too-late', waitMs, limitMs, worthlessMs, forecast };
	if (waitMs > decisions.maxWaitMs)
		return { type: 'refuse', cause: 'long-wait', waitMs, limitMs: decisions.maxWaitMs, forecast };
	return { type: 'admit', forecast };
}

/** Forecasts a job's own chain of steps. */
export function forecastJob(
	record: types.DecidedJob,
	{ forecast, ageMs }: forecasts.AgedForecast,
): types.JobForecast {
	const { schedule, acceptedAt, queue } = record;
	const plannedInMs = schedule === undefined ? 0 : Math.max(0, schedule.firstAt - acceptedAt);
	const dueInMs = plannedInMs + jobs.deadlinesOf(record).dueMs + ageMs;
	const factors = new Map(forecast.factors);
	const ends: number[] = [];
	let waitMs = 0;
	for (const step of record.steps) {
		const readyMs = Math.max(0, ...step.after.map((number) => ends[number] ?? 0));
		const found = findClass(forecast, queue, step);
		const placedMs = found === undefined ? 0 : classWaitMs(forecast, found, queue, dueInMs) - plannedInMs;
		const startMs = Math.max(readyMs, placedMs);
		if (step.after.length === 0) waitMs = Math.max(waitMs, startMs);
		const runMs = step.estimateMs * (factors.get(step.image) ?? defaultFactor);
		ends.push(startMs + runMs * wavesOf(step, found));
	}
	const finishMs = Math.max(0, ...ends);
	return { waitMs: Math.round(waitMs), finishMs: Math.round(finishMs), ageMs: Math.round(ageMs) };
}

/** The class that a step waits in; if none of its priority has work, the last one before it, as that comes first. */
function findClass(
	forecast: forecasts.AgedForecast['forecast'],
	queue: jobs.QueuePolicy,
	step: jobs.StepSpec,
): forecasts.ClassForecast | undefined {
	const kind = step.fills ? 'preemptible' : 'reserved';
	return lastClass(forecast, kind, queue, (priority) => priority <= queue.priority);
}

/** The least urgent class of a kind in a queue's pool whose priority matches. */
function lastClass(
	forecast: forecasts.AgedForecast['forecast'],
	kind: forecasts.WorkKind,
	queue: jobs.QueuePolicy,
	matches: (priority: number) => boolean,
): forecasts.ClassForecast | undefined {
	let found: forecasts.ClassForecast | undefined;
	for (const one of forecast.classes) {
		if (one.kind !== kind || !matches(one.priority)) continue;
		if (one.pool !== undefined && one.pool !== queue.pool) continue;
		if (found === undefined || one.priority > found.priority) found = one;
	}
	return found;
}

/** How long work of a queue waits that is due then. */
function classWaitMs(
	forecast: forecasts.AgedForecast['forecast'],
	one: forecasts.ClassForecast,
	queue: jobs.QueuePolicy,
	dueInMs: number,
): number {
	// All work of a more urgent class comes first.
	if (one.priority < queue.priority) return longestWaitMs(one);
	const waitMs = waitAt(one.points, dueInMs);
	const orderedMs = waitMs * lateMargin > dueInMs ? Math.max(waitMs, one.lateWaitMs) : waitMs;
	if (one.queues === undefined) return orderedMs;
	const own = one.queues.find(([name]) => name === queue.name);
	if (own !== undefined) return Math.min(orderedMs, own[1]);
	// The queue has no work that waits, but that of more urgent classes comes first.
	const ahead = lastClass(forecast, one.kind, queue, (priority) => priority < queue.priority);
	return ahead === undefined ? 0 : Math.min(orderedMs, longestWaitMs(ahead));
}

/** How long all work of a class takes to be placed. */
function longestWaitMs({ lateWaitMs, points }: forecasts.ClassForecast): number {
	return Math.max(lateWaitMs, points.at(-1)?.[1] ?? 0);
}

/** Reads a curve, with straight lines between its points. */
function waitAt(points: readonly forecasts.WaitPoint[], dueInMs: number): number {
	let previous: forecasts.WaitPoint | undefined;
	for (const point of points) {
		if (dueInMs <= point[0]) {
			if (previous === undefined) return point[1];
			const part = (dueInMs - previous[0]) / (point[0] - previous[0]);
			return previous[1] + part * (point[1] - previous[1]);
		}
		previous = point;
	}
	return previous?.[1] ?? 0;
}

/** How many times in a row the cores of its class are filled by a step that is wider than they are. */
function wavesOf(step: jobs.StepSpec, found: forecasts.ClassForecast | undefined): number {
	if (found === undefined) return 1;
	return Math.max(1, Math.ceil((step.count * step.milliCores) / 1_000 / found.cores));
}
