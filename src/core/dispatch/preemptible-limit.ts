/**
 * The adaptive limit on preemptible work beside the serving tasks of one worker: how it follows reports, and whether a task
 * stays within it. Pure functions, without clock or log.
 *
 * Load: serving tasks reserve four fifths of the cores and use half of them, in waves; preemptible work wants nearly all of
 * the rest, and of the pairs of images a third interfere strongly. Whoever uses a service notices when its tail latency is
 * over the target for seconds, so the limit aims at serving tasks that are under target for 97% of their time.
 */
import * as interference from './interference.js';
import type * as overloads from './recent-overloads.js';
import type * as outlooks from './serving-outlook.js';

/** A worker's limit. */
export interface WorkerLimit {
	/** Share of the worker's cores that may be in use. */
	maxUse: number;
	/** How far the predicted busy part of each serving task has to stay below the one that its target allows. */
	margin: number;
}

/** A preemptible task as its neighbours notice it. */
export interface Load {
	image: string;
	/** Share of the worker's cores that it asks for. */
	share: number;
	/** Number of points of the outlook that its expected run reaches. */
	points: number;
}

/** What a task would cause on a worker. */
export interface Effect {
	/** Highest share of the worker's cores in use, over the points. */
	use: number;
	/** Highest excess of a busy part over the one that the target allows, among the serving tasks that it affects. */
	excess: number;
	/** Number of serving tasks that it pushes over their targets; one for a part of the time counts for that part. */
	violations: number;
	/** Sum of what it adds to busy parts, at the worst point of each serving task. */
	added: number;
}

/**
 * First limit of a worker without data: the cores left at the contention threshold, and a margin at which a sixth of the tasks
 * exceed their targets (docs/decisions/0014-loads.md).
 */
export const initialLimit: WorkerLimit = { maxUse: interference.contentionThreshold, margin: 0.09 };

/**
 * Bounds of the limit. Interference beyond 1.3 of the cores in use is unknown. From a margin of 0.16 on no excess is expected;
 * a worker whose tasks react more strongly than predicted needs more.
 */
const maxUseBounds = [interference.contentionThreshold, 1.3] as const;
const marginBounds = [0, 0.3] as const;

/** The limit of a worker without serving tasks: all of its cores. More would disturb serving tasks that come meanwhile. */
export const unsharedLimit: WorkerLimit = { maxUse: 1, margin: marginBounds[0] };

/** Rise of the use with a report: from the contention threshold to the upper bound in four seconds of full load. */
const useStep = 0.04;

/**
 * Change of the margin with a report and with a cut. With reports every 0.4 s the two balance where the serving tasks of a
 * worker, four to seven, have one excess of two seconds every 24 s: 1% to 2% of their time.
 */
const marginStep = 0.001;
const marginCut = 0.06;

/** Part of the use beyond the contention threshold that remains after a cut. */
const useKept = 0.5;

/** What a task adds to a busy part counts as nothing up to this value: a fifth of the prediction's usual error. */
const negligible = 0.015;

/** The limit after a report in which all serving tasks are under target although preemptible work was turned away. */
export function raise(limit: WorkerLimit): WorkerLimit {
	return bounded({ maxUse: limit.maxUse + useStep, margin: limit.margin - marginStep });
}

/** The limit after a serving task went over its target, with this share of the cores in use. */
export function cut(limit: WorkerLimit, use: number): WorkerLimit {
	const { contentionThreshold } = interference;
	const beyond = Math.min(limit.maxUse, use) - contentionThreshold;
	return bounded({ maxUse: contentionThreshold + beyond * useKept, margin: limit.margin + marginCut });
}

/** The limit moved by a part of the way towards another. */
export function blend(limit: WorkerLimit, other: WorkerLimit, part: number): WorkerLimit {
	return {
		maxUse: limit.maxUse + (other.maxUse - limit.maxUse) * part,
		margin: limit.margin + (other.margin - limit.margin) * part,
	};
}

/** The stricter of two limits in each respect. */
export function stricter(one: WorkerLimit, other: WorkerLimit): WorkerLimit {
	return { maxUse: Math.min(one.maxUse, other.maxUse), margin: Math.max(one.margin, other.margin) };
}

/** A limit from a stored record; undefined: it is none. */
export function parse(value: unknown): WorkerLimit | undefined {
	if (typeof value !== 'object' || value === null) return undefined;
	const { maxUse, margin } = value as Record<string, unknown>;
	if (typeof maxUse !== 'number' || typeof margin !== 'number') return undefined;
	if (!Number.isFinite(maxUse) || !Number.isFinite(margin)) return undefined;
	return bounded({ maxUse, margin });
}

/** What a task would cause on a worker with this outlook, in time linear in its serving tasks. */
export function effectOf(outlook: outlooks.WorkerOutlook, load: Load, upperSlope: overloads.SlopeOf): Effect {
	const effect: Effect = { use: 0, excess: -Infinity, violations: 0, added: 0 };
	for (let i = 0; i < load.points; i += 1)
		effect.use = Math.max(effect.use, (outlook.use[i] ?? 0) + load.share);
	for (const task of outlook.tasks)
		addEffectOn(task, outlook, load, upperSlope(task.image, load.image), effect);
	return effect;
}

/** Adds what a task would cause for one serving task. */
function addEffectOn(
	task: outlooks.ServingOutlook,
	outlook: outlooks.WorkerOutlook,
	{ share, points }: Load,
	slope: number,
	effect: Effect,
): void {
	let mostAdded = 0;
	let mostViolations = 0;
	for (let i = 0; i < points; i += 1) {
		const load = task.loads[i] ?? 0;
		const use = outlook.use[i] ?? 0;
		const contention = interference.contentionAt(use);
		const moreContention = interference.contentionAt(use + share) - contention;
		const added = load * (slope * share + task.contentionSlope * moreContention);
		const present = (task.interference[i] ?? 0) + task.contentionSlope * contention;
		const excess = load * (1 + present) - task.busyLimit;
		const violations = interference.violationShareAt(excess + added) - interference.violationShareAt(excess);
		mostAdded = Math.max(mostAdded, added);
		mostViolations = Math.max(mostViolations, violations);
		if (added > negligible) effect.excess = Math.max(effect.excess, excess + added);
	}
	effect.added += mostAdded;
	effect.violations += mostViolations;
}

/** Highest excess of a serving task's busy part over the one that its target allows, with what runs there now. */
export function highestExcess(task: outlooks.ServingOutlook, use: readonly number[], points: number): number {
	let highest = -Infinity;
	for (let i = 0; i < points; i += 1) {
		const contention = task.contentionSlope * interference.contentionAt(use[i] ?? 0);
		const raised = 1 + (task.interference[i] ?? 0) + contention;
		highest = Math.max(highest, (task.loads[i] ?? 0) * raised - task.busyLimit);
	}
	return highest;
}

function bounded({ maxUse, margin }: WorkerLimit): WorkerLimit {
	return { maxUse: clamp(maxUse, maxUseBounds), margin: clamp(margin, marginBounds) };
}

function clamp(value: number, [min, max]: readonly [number, number]): number {
	return Math.min(max, Math.max(min, value));
}
