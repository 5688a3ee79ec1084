/**
 * Order of the waiting steps under overload. Without overload, it is that of due times.
 *
 * Load pattern: for several seconds batch work arrives at two to three times the rate at which it can be done. By due time
 * nearly every job would be served when it is just too late. So the capacity goes to jobs that can still be on time, first to
 * those that have begun, then to the most callers: small jobs before large ones, with a share for large jobs and for each queue.
 * Only the order within a priority differs, and only in priorities whose preemptible tasks are in overload.
 */
import * as detection from './overload-detection.js';
import * as remaining from './remaining-work.js';
import * as turns from './queue-turns.js';
import * as waitingOrder from './waiting-order.js';
import type * as jobs from '../jobs/index.js';

/**
 * A step that has waited this long goes first in its priority, in milliseconds. All accepted work is to be under way 14 s after
 * the last submission, and a job has two or three steps.
 */
export const maxPassedOverMs = 8_000;

/**
 * A step takes as long as its longest task. Without a margin, jobs
 * count as on time that miss their due time by a little.
 */
const chainMargin = 1.2;

/** How long the rank of a step is used at most, in milliseconds. Due times are seconds away. */
const rankKeptMs = 100;

/**
 * Ranks expire in so many groups, evenly spread over that time. If those of a burst expired together, one round in several would
 * compute them all.
 */
const rankGroups = 8;

export interface OverloadOrderOptions {
	priorityOf: (job: jobs.ActiveJob) => number;
	/** Expected time of one run of a step's tasks, in milliseconds. */
	expectedRunMs: remaining.ExpectedRunMs;
	/** The steps with waiting tasks, and how many wait. */
	waiting: () => Iterable<readonly [jobs.StepInstance, number]>;
	/** The order without overload. */
	usual: waitingOrder.WaitingOrder;
}

/** Bands before and after those of lateness, which are 0 to 2. */
const passedOverBand = -1;
const afterShortBand = 3;

/** Above all costs and clock times. */
const beforeAllCosts = 1e12;

/** Where a step comes in its priority. */
interface Rank {
	/** Clock time until which it is used. */
	usedUntil: number;
	/** Number of the group with which it expires; a step stays in its group. */
	group: number;
	/** Steps of one band take turns; the lower comes first: passed over, by lateness, long-running after short ones. */
	band: number;
	hasBegun: boolean;
	/** What is left of the job, in core-milliseconds; the less, the longer the step has waited. */
	cost: number;
	/** Work of the whole job, in core-milliseconds. */
	jobCoreMs: number;
	/** Work of the step's waiting tasks, in core-milliseconds. */
	waitingCoreMs: number;
}

interface RankedStep {
	waiting: waitingOrder.WaitingStep;
	rank: Rank;
}

/** The order under overload. */
export class OverloadOrder implements waitingOrder.WaitingOrder {
	private readonly overload: detection.OverloadDetection;
	private readonly turns = turns.Turns.create();
	private readonly ranks = new WeakMap<jobs.StepInstance, Rank>();
	/** Work of each job that was seen, in core-milliseconds. */
	private readonly jobSizes = new WeakMap<jobs.ActiveJob, number>();
	/** Jobs of which this owner has placed a task. */
	private readonly begun = new WeakSet<jobs.ActiveJob>();
	/** Number of steps that were seen. */
	private seen = 0;

	private constructor(private readonly opts: OverloadOrderOptions) {
		this.overload = detection.OverloadDetection.create(opts);
	}

	static create(opts: OverloadOrderOptions): OverloadOrder {
		return new OverloadOrder(opts);
	}

	sort(steps: waitingOrder.WaitingStep[], now: number): waitingOrder.WaitingStep[] {
		const byPriority = groupBy(steps, ({ step }) => this.opts.priorityOf(step.job));
		const groups = [...byPriority].sort(([a], [b]) => a - b);
		const sorted = groups.flatMap(([priority, group]) =>
			this.overload.isOverloaded(priority, now)
				? this.sortOverloaded(group, now)
				: this.opts.usual.sort(group, now),
		);
		steps.splice(0, steps.length, ...sorted);
		return steps;
	}

	notePlaced(task: jobs.Task, now: number): void {
		const { step } = task;
		if (!step.spec.fills) return;
		const { job } = step;
		const queue = job.record.queue.name;
		this.overload.notePlaced(task, now);
		const coreMs = remaining.coreMsOf(step, 1, this.opts.expectedRunMs);
		this.turns.noteServed(queue, coreMs, now);
		if (!this.hasBegun(job)) this.turns.noteBegun(queue, this.sizeOf(step));
		this.begun.add(job);
	}

	/** Orders the steps of one priority. */
	private sortOverloaded(steps: waitingOrder.WaitingStep[], now: number): waitingOrder.WaitingStep[] {
		const ranked = steps.map((waiting) => ({ waiting, rank: this.rankOf(waiting, now) }));
		const byBand = groupBy(ranked, ({ rank }) => rank.band);
		const bands = [...byBand].sort(([a], [b]) => a - b);
		const sorted = bands.flatMap(([band, group]) =>
			band === passedOverBand ? group.sort(compareCost) : this.sortBand(group, now),
		);
		return sorted.map(({ waiting }) => waiting);
	}

	/** Orders the steps of one band: within each queue, then the queues by share. */
	private sortBand(band: RankedStep[], now: number): RankedStep[] {
		const byQueue = groupBy(band, ({ waiting }) => waiting.step.job.record.queue.name);
		const lines = [...byQueue].map(([queue, steps]) => ({
			name: queue,
			items: this.sortQueue(queue, steps),
		}));
		return this.turns.alternate(lines, workOf, now);
	}

	private sortQueue(queue: string, steps: RankedStep[]): RankedStep[] {
		const sorted = steps.sort(compareCost);
		const begun = sorted.filter(({ rank }) => rank.hasBegun);
		const others = sorted.filter(({ rank }) => !rank.hasBegun);
		return [...begun, ...this.turns.giveLargeTurns(queue, others, ({ rank }) => rank.jobCoreMs)];
	}

	private rankOf(waiting: waitingOrder.WaitingStep, now: number): Rank {
		const known = this.ranks.get(waiting.step);
		if (known !== undefined && now < known.usedUntil) return known;
		const group = known?.group ?? this.seen++ % rankGroups;
		const rank = this.computeRank(waiting, group, now);
		this.ranks.set(waiting.step, rank);
		return rank;
	}

	private computeRank(waiting: waitingOrder.WaitingStep, group: number, now: number): Rank {
		const { step, tasks } = waiting;
		const { chainMs, coreMs } = remaining.remainingWork(step, this.opts.expectedRunMs);
		const waitedMs = Math.max(...tasks.map((task) => waitingOrder.waitedMs(task, now)));
		const leftMs = Math.max(0, maxPassedOverMs - waitedMs);
		const isPassedOver = leftMs === 0 && !step.spec.lasting;
		const cost = isPassedOver ? -waitedMs : (coreMs * leftMs) / maxPassedOverMs;
		return {
			usedUntil: nextExpiry(group, now),
			group,
			band: isPassedOver ? passedOverBand : this.bandOf(waiting, now + chainMs * chainMargin, now),
			// An overdue long-running step goes before short ones, several of them by due time.
			hasBegun: step.spec.lasting || this.hasBegun(step.job),
			cost: step.spec.lasting ? step.job.dueAt - beforeAllCosts : cost,
			jobCoreMs: this.sizeOf(step),
			waitingCoreMs: remaining.coreMsOf(step, tasks.length, this.opts.expectedRunMs),
		};
	}

	/** The band of a step that may be completed at `finishAt` at the earliest. */
	private bandOf(waiting: waitingOrder.WaitingStep, finishAt: number, now: number): number {
		if (waitingOrder.comesAfterShort(waiting, now)) return afterShortBand;
		return waitingOrder.latenessClass(waiting.step, finishAt);
	}

	private hasBegun(job: jobs.ActiveJob): boolean {
		return job.state === 'running' || this.begun.has(job);
	}

	/** Work of a job when it was first seen, in core-milliseconds. */
	private sizeOf(step: jobs.StepInstance): number {
		const known = this.jobSizes.get(step.job);
		if (known !== undefined) return known;
		const { coreMs } = remaining.remainingWork(step, this.opts.expectedRunMs);
		this.jobSizes.set(step.job, coreMs);
		this.turns.addJob(step.job.record.queue.name, coreMs);
		return coreMs;
	}
}

/** Clock time at which the ranks of a group expire next, after `now`. */
function nextExpiry(group: number, now: number): number {
	const offsetMs = (group * rankKeptMs) / rankGroups;
	return now + rankKeptMs - ((now + offsetMs) % rankKeptMs);
}

/** Groups items by key, in the order of their first items. */
function groupBy<K, T>(items: readonly T[], keyOf: (item: T) => K): Map<K, T[]> {
	const groups = new Map<K, T[]>();
	for (const item of items) {
		const key = keyOf(item);
		const group = groups.get(key);
		if (group === undefined) groups.set(key, [item]);
		else group.push(item);
	}
	return groups;
}

function workOf({ rank }: RankedStep): number {
	return rank.waitingCoreMs;
}

function compareCost(a: RankedStep, b: RankedStep): number {
	return a.rank.cost - b.rank.cost;
}
