/**
 * Forecasts when accepted work is placed.
 *
 * Load pattern: for some seconds more work arrives than its kind has cores. It is handled by laying all accepted work out in
 * the order in which it is placed: by priority, then what is on time by due time, then what is late. A job that arrives next
 * waits until the work that comes before it has been placed. Jobs that arrive after it are not foreseen.
 */
import * as layouts from './pool-layout.js';
import type * as sequences from './placing-sequence.js';
import type * as types from './types.js';

/** How far ahead the free capacity is given, in seconds. */
const freeSeconds = 16;

/** Maximum number of queues of a class whose own bounds are given. */
const maxQueues = 4;

/** A class whose waits are all below this is left out, in milliseconds: they are within the age of the forecast. */
const minWaitMs = 200;

/** The work that competes for the same cores. */
interface CorePool extends types.ClassCapacity {
	work: sequences.PendingStep[];
	running: types.RunningWork[];
}

/**
 * Forecasts the waits of each class and the capacity left. `hasShares`: queues of one priority take turns, so that none
 * waits for more than its own work.
 */
export function forecastWaits(
	snapshot: types.WorkSnapshot,
	at: number,
	hasShares: boolean,
): types.OwnerForecast {
	const classes: types.ClassForecast[] = [];
	const free: types.FreeCapacity[] = [];
	for (const pool of groupByPool(snapshot)) {
		// Without cores there is no estimate: the workers may only be out of reach for a moment.
		if (pool.cores <= 0) continue;
		const layout = layOut(pool);
		const waits = layout.run();
		let aheadMs = 0;
		for (const one of waits) {
			const queues = hasShares ? boundsByQueue(pool, one.priority, aheadMs) : undefined;
			aheadMs = maxWaitMs(one);
			if (aheadMs < minWaitMs) continue;
			const { kind, pool: name, cores } = pool;
			classes.push({ kind, pool: name, cores, ...one, ...(queues !== undefined && { queues }) });
		}
		free.push({ kind: pool.kind, pool: pool.pool, coreMs: layout.freeBySecond(freeSeconds) });
	}
	return { at, known: snapshot.known, classes, free };
}

function groupByPool(snapshot: types.WorkSnapshot): CorePool[] {
	const pools = { reserved: new Map<string, CorePool>(), preemptible: new Map<string, CorePool>() };
	for (const capacity of snapshot.capacity)
		pools[capacity.kind].set(capacity.pool, { ...capacity, work: [], running: [] });
	for (const step of linkSteps(snapshot.work)) pools[step.work.kind].get(step.work.pool)?.work.push(step);
	for (const one of snapshot.running) pools[one.kind].get(one.pool)?.running.push(one);
	return [...pools.reserved.values(), ...pools.preemptible.values()];
}

function layOut(pool: CorePool): layouts.PoolLayout {
	const layout = layouts.PoolLayout.create(pool.cores);
	for (const one of pool.running) layout.addRunning(one);
	for (const step of pool.work.sort((a, b) => a.work.dueInMs - b.work.dueInMs)) layout.addWaiting(step);
	return layout;
}

/** Links steps to those that wait for them. A step comes after those that it depends on. */
function linkSteps(work: readonly types.StepWork[]): sequences.PendingStep[] {
	const pending = work.map(toPending);
	const earliestEndsMs: number[] = [];
	for (const [index, step] of pending.entries()) {
		const { after, readyInMs, runMs } = step.work;
		const readyMs = Math.max(readyInMs, ...after.map((number) => earliestEndsMs[number] ?? 0));
		earliestEndsMs[index] = readyMs + runMs;
		for (const number of after) {
			const earlier = pending[number];
			if (earlier !== undefined) link(earlier, step, earliestEndsMs[number] ?? 0);
		}
	}
	return pending;
}

/** Makes `step` wait for `earlier`, which ends after `earliestEndMs` if it need not wait. */
function link(earlier: sequences.PendingStep, step: sequences.PendingStep, earliestEndMs: number): void {
	// Preemptible work is laid out after reserved work, so its waits are not known when the reserved step is placed.
	if (earlier.work.kind === 'preemptible' && step.work.kind === 'reserved') {
		step.readyAtMs = Math.max(step.readyAtMs, earliestEndMs);
		return;
	}
	earlier.dependents.push(step);
	step.blockedBy += 1;
}

function toPending(work: types.StepWork): sequences.PendingStep {
	const { tasks, cores, readyInMs } = work;
	return { work, coresLeft: tasks * cores, blockedBy: 0, dependents: [], readyAtMs: readyInMs };
}

function maxWaitMs({ points, lateWaitMs }: layouts.ClassWaits): number {
	return Math.max(lateWaitMs, points.at(-1)?.[1] ?? 0);
}

/** What each queue waits at most if queues have equal shares; undefined: too many queues have work. */
function boundsByQueue(
	{ work, cores }: CorePool,
	priority: number,
	aheadMs: number,
): types.ClassForecast['queues'] {
	const coreMs = new Map<string, number>();
	for (const { work: one } of work) {
		if (one.priority !== priority) continue;
		coreMs.set(one.queue, (coreMs.get(one.queue) ?? 0) + one.tasks * one.cores * one.runMs);
	}
	if (coreMs.size > maxQueues) return undefined;
	// One more queue may have work by the time that a job of it is decided on.
	const share = cores / Math.max(2, coreMs.size);
	return [...coreMs].map(([queue, own]) => [queue, Math.round(aheadMs + own / share)] as const);
}
