/** Summarises what an owner has accepted and what its workers can run, by step, for the forecast. */
import * as freeCapacity from './free-capacity.js';
import type * as interference from './interference.js';
import * as forecasts from '../forecast/index.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Preemptible tasks that have waited this long show that all cores open to them are in use, in milliseconds. */
const saturatedAfterMs = 500;

/** A run that takes longer than expected is taken to need this part of its run time again. */
const overtimePart = 0.1;

/** How long a run takes to stop, in milliseconds; it holds its cores until then. */
const stoppingMs = 200;

/** A new owner counts workers that have not answered it yet for this long, in milliseconds. */
const unheardCountsForMs = 3_000;

/** A step shows that cores are scarce only if at least this part of the pool's workers can hold one of its tasks. */
const usualWorkerPart = 0.5;

/**
 * Least part of the spare cores that counts as capacity. Tasks may wait for other reasons than cores, such as memory or
 * interference; the cores in use say nothing of the capacity then.
 */
const minSparePart = 0.25;

/** What the summary reads. */
export interface SummaryContext {
	now: number;
	/** How long this owner has dispatched, in milliseconds. */
	ownerAgeMs: number;
	jobs: Iterable<jobs.ActiveJob>;
	workers: readonly sessions.WorkerSession[];
	policyOf: (job: jobs.ActiveJob) => jobs.QueuePolicy;
	waitingOf: (step: jobs.StepInstance) => number;
	/** Whether nothing but free capacity keeps a waiting task from being started. */
	lacksOnlyCapacity: (task: jobs.Task) => boolean;
	/** Most cores that preemptible tasks of a pool used in the last seconds. */
	recentPreemptibleCores: (pool: string) => number;
	runTimes: forecasts.RunTimes;
	/**
	 * Share of a worker's cores up to which preemptible tasks are placed there: the limit of the placer, or where that adapts,
	 * the contention threshold from which it starts.
	 */
	maxPreemptibleUse: number;
	estimates: Pick<interference.InterferenceModel, 'expectedUtilization'>;
}

/** What is known of a step with running tasks. */
interface StepFacts {
	kind: forecasts.WorkKind;
	pool: string;
	priority: number;
	runMs: number;
	/** Expected time until the last of its running tasks ends, in milliseconds. */
	runningLeftMs: number;
}

/** Short work and long-running work of one pool. */
interface PoolSums {
	/** Cores that preemptible tasks use. */
	preemptibleCores: number;
	/** Some preemptible tasks have waited for long, for nothing but capacity. */
	isSaturated: boolean;
	workers: sessions.WorkerSession[];
	/** Whether a usual worker can hold a task, by its requirements. */
	holdable: Map<string, boolean>;
	/** Tasks and their cores of short work that reserves cores. */
	reservedTasks: number;
	reservedTaskCores: number;
	/** Cores of long-running tasks that an earlier owner may have placed. */
	inheritedLongRunningCores: number;
}

/** Summary of one moment. */
class Summary {
	readonly work: forecasts.StepWork[] = [];
	readonly running: forecasts.RunningWork[] = [];
	private readonly facts = new Map<jobs.StepInstance, StepFacts>();
	private readonly pools = new Map<string, PoolSums>();
	private readonly imageFactors = new Map<string, number>();
	private readonly queueFactors = new Map<string, number>();

	private constructor(private readonly ctx: SummaryContext) {}

	static create(ctx: SummaryContext): Summary {
		const summary = new Summary(ctx);
		for (const session of ctx.workers) summary.addWorker(session);
		for (const job of ctx.jobs) summary.addJob(job);
		return summary;
	}

	get capacity(): forecasts.ClassCapacity[] {
		return [...this.pools].flatMap(([pool, sums]) => [
			{ kind: 'reserved' as const, pool, cores: this.reservedCores(sums) },
			{ kind: 'preemptible' as const, pool, cores: this.preemptibleCores(pool, sums) },
		]);
	}

	/** Cores that preemptible tasks use, by pool. */
	get preemptibleUse(): Map<string, number> {
		return new Map([...this.pools].map(([pool, sums]) => [pool, sums.preemptibleCores]));
	}

	private addWorker(session: sessions.WorkerSession): void {
		if (session.hasEnded) return;
		if (session.entry !== undefined && this.takesWork(session))
			this.sumsOf(session.entry.pool).workers.push(session);
		for (const placement of session.placements.values())
			if (!placement.task.step.spec.lasting) this.addRunning(placement);
	}

	/** Whether a worker gets work, now or once it has reported to a new owner. */
	private takesWork(session: sessions.WorkerSession): boolean {
		const { closedReason } = session;
		if (closedReason === 'unheard' || closedReason === 'unrostered' || closedReason === 'paused') return true;
		const isUnheard = session.silentMs === undefined && closedReason === 'silent';
		return closedReason === undefined || (isUnheard && this.ctx.ownerAgeMs < unheardCountsForMs);
	}

	private addRunning(placement: types.Placement): void {
		const { step } = placement.task;
		const facts = this.factsOf(step);
		const pace = step.spec.fills ? placement.pace / 100 : 1;
		const cores = (step.spec.milliCores / 1_000) * pace;
		const leftMs = this.leftMs(placement, facts.runMs);
		const slowestLeftMs = this.leftMs(placement, facts.runMs * forecasts.slowestFactor);
		facts.runningLeftMs = Math.max(facts.runningLeftMs, slowestLeftMs);
		const { kind, pool, priority } = facts;
		this.running.push({ kind, pool, priority, cores, leftMs });
		const sums = this.sumsOf(pool);
		if (step.spec.fills) sums.preemptibleCores += cores;
		else this.addReservedTasks(sums, step, 1);
	}

	private leftMs({ phase, confirmedAt, placedAt }: types.Placement, runMs: number): number {
		if (phase === 'stopping') return stoppingMs;
		const ranMs = this.ctx.now - (confirmedAt > 0 ? confirmedAt : placedAt);
		return Math.max(runMs * overtimePart, runMs - ranMs);
	}

	private addReservedTasks(sums: PoolSums, step: jobs.StepInstance, tasks: number): void {
		sums.reservedTasks += tasks;
		sums.reservedTaskCores += (tasks * step.spec.milliCores) / 1_000;
	}

	private addJob(job: jobs.ActiveJob): void {
		const policy = this.ctx.policyOf(job);
		const dueInMs = job.dueAt - this.ctx.now;
		const indices: (number | undefined)[] = [];
		for (const [position, step] of job.steps.entries()) {
			if (step.unfinished === 0) continue;
			if (step.spec.lasting) this.addLongRunning(step);
			else indices[position] = this.addStep(step, policy, dueInMs, indices);
		}
	}

	private addLongRunning({ job, spec, unfinished }: jobs.StepInstance): void {
		if (!job.inherited || spec.fills) return;
		const { pool } = this.ctx.policyOf(job);
		this.sumsOf(pool).inheritedLongRunningCores += (unfinished * spec.milliCores) / 1_000;
	}

	/** Adds a step if it has waiting tasks; returns its index. `indices`: those of the job's earlier steps, by position. */
	private addStep(
		step: jobs.StepInstance,
		policy: jobs.QueuePolicy,
		dueInMs: number,
		indices: readonly (number | undefined)[],
	): number | undefined {
		const { spec } = step;
		const newest = step.tasks.at(-1);
		const isBlocked = newest?.state === 'blocked';
		const tasks = isBlocked ? step.unfinished : this.ctx.waitingOf(step);
		if (tasks === 0) return undefined;
		const { pool, priority, name: queue } = policy;
		const sums = this.sumsOf(pool);
		if (!spec.fills) this.addReservedTasks(sums, step, tasks);
		else if (!sums.isSaturated) sums.isSaturated = this.showsSaturation(step, sums);
		return (
			this.work.push({
				kind: spec.fills ? 'preemptible' : 'reserved',
				pool,
				priority,
				queue,
				dueInMs,
				tasks,
				cores: spec.milliCores / 1_000,
				runMs: this.expectedMs(queue, spec),
				...(isBlocked ? this.earlierWork(step, indices) : { readyInMs: 0, after: [] }),
			}) - 1
		);
	}

	/** Whether a preemptible step has waited for long although most workers could hold a task of it. */
	private showsSaturation(step: jobs.StepInstance, sums: PoolSums): boolean {
		const newest = step.tasks.at(-1);
		if (newest?.state !== 'ready' || this.ctx.now - newest.readyAt < saturatedAfterMs) return false;
		// A gang waits until all of its members fit, and a step with a limit per worker for more workers.
		const { gang, maxPerWorker } = step.spec;
		if (gang || maxPerWorker > 0 || !this.ctx.lacksOnlyCapacity(newest)) return false;
		return isUsuallyHoldable(step, sums);
	}

	/** What a blocked step waits for. */
	private earlierWork(
		step: jobs.StepInstance,
		indices: readonly (number | undefined)[],
	): Pick<forecasts.StepWork, 'readyInMs' | 'after'> {
		const { job, occurrence, spec } = step;
		const base = occurrence * job.record.steps.length;
		const after: number[] = [];
		let readyInMs = 0;
		for (const number of spec.after) {
			const earlier = job.steps[base + number];
			const index = indices[base + number];
			if (index !== undefined) after.push(index);
			if (earlier !== undefined) readyInMs = Math.max(readyInMs, this.facts.get(earlier)?.runningLeftMs ?? 0);
		}
		return { readyInMs, after };
	}

	/** Expected run time of a task. Tasks of one image or queue have one factor, so each is looked up once. */
	private expectedMs(queue: string, spec: jobs.StepSpec): number {
		const key = spec.image === '' ? queue : spec.image;
		const known = spec.image === '' ? this.queueFactors : this.imageFactors;
		let factor = known.get(key);
		if (factor === undefined) {
			factor = this.ctx.runTimes.factor(queue, spec);
			known.set(key, factor);
		}
		return spec.estimateMs * factor;
	}

	private factsOf(step: jobs.StepInstance): StepFacts {
		const known = this.facts.get(step);
		if (known !== undefined) return known;
		const { pool, priority, name } = this.ctx.policyOf(step.job);
		const facts: StepFacts = {
			kind: step.spec.fills ? 'preemptible' : 'reserved',
			pool,
			priority,
			runMs: this.expectedMs(name, step.spec),
			runningLeftMs: 0,
		};
		this.facts.set(step, facts);
		return facts;
	}

	private sumsOf(pool: string): PoolSums {
		const known = this.pools.get(pool);
		if (known !== undefined) return known;
		const created: PoolSums = {
			preemptibleCores: 0,
			isSaturated: false,
			workers: [],
			holdable: new Map(),
			reservedTasks: 0,
			reservedTaskCores: 0,
			inheritedLongRunningCores: 0,
		};
		this.pools.set(pool, created);
		return created;
	}

	/**
	 * Cores for short work that reserves them. What a worker has left beside long-running tasks holds a whole number of
	 * tasks.
	 */
	private reservedCores({ workers, reservedTasks, reservedTaskCores, ...sums }: PoolSums): number {
		const taskCores = reservedTasks === 0 ? 0 : reservedTaskCores / reservedTasks;
		let usable = 0;
		let total = 0;
		for (const { entry, longRunningMilliCores, isReconciled } of workers) {
			const cores = (entry?.capacity.milliCores ?? 0) / 1_000;
			const left = Math.max(0, cores - longRunningMilliCores / 1_000);
			usable += taskCores === 0 ? left : Math.floor(left / taskCores) * taskCores;
			total += isReconciled ? left : cores;
		}
		// Until the workers have reported, long-running tasks of earlier owners are somewhere on them.
		const isReconciled = workers.every((one) => one.isReconciled);
		return isReconciled ? usable : Math.max(0, Math.min(usable, total - sums.inheritedLongRunningCores));
	}

	/**
	 * Cores for preemptible work: what it uses if more of it waits, else what the others are expected to leave it. Until all
	 * workers have reported, runs that an earlier owner started are missing from its use.
	 */
	private preemptibleCores(pool: string, { isSaturated, preemptibleCores, workers }: PoolSums): number {
		const spare = this.spareCores(workers);
		if (!isSaturated || preemptibleCores === 0 || workers.some((one) => !one.isReconciled))
			return Math.max(spare, preemptibleCores);
		return Math.max(preemptibleCores, this.ctx.recentPreemptibleCores(pool), minSparePart * spare);
	}

	/** Cores that other work is expected to leave to preemptible tasks. */
	private spareCores(workers: readonly sessions.WorkerSession[]): number {
		let spare = 0;
		for (const session of workers) {
			const cores = (session.entry?.capacity.milliCores ?? 0) / 1_000;
			const use = this.ctx.estimates.expectedUtilization(session) * cores;
			const others = use - session.preemptibleMilliCores / 1_000;
			spare += Math.max(0, this.ctx.maxPreemptibleUse * cores - others);
		}
		return spare;
	}
}

/** Whether at least half of a pool's workers, if empty, could hold a task of a step. */
function isUsuallyHoldable(step: jobs.StepInstance, { workers, holdable }: PoolSums): boolean {
	const { requiredLabel, milliCores, memoryMb, accelerators } = step.spec;
	const key = [requiredLabel, milliCores, memoryMb, accelerators].join(' ');
	let known = holdable.get(key);
	if (known === undefined) {
		const count = workers.filter((one) => freeCapacity.couldHold(step.spec, one)).length;
		known = count >= workers.length * usualWorkerPart;
		holdable.set(key, known);
	}
	return known;
}

/** The summary, and the cores that preemptible tasks use, by pool. */
export interface SummarisedWork {
	snapshot: forecasts.WorkSnapshot;
	preemptibleUse: ReadonlyMap<string, number>;
}

/** Summarises the accepted work and the capacity. */
export function summarise(ctx: SummaryContext): SummarisedWork {
	const summary = Summary.create(ctx);
	const { work, running, capacity, preemptibleUse } = summary;
	const known = ctx.workers.some((one) => one.entry !== undefined);
	return { snapshot: { known, work, running, capacity }, preemptibleUse };
}
