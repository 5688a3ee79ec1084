/**
 * Measures how long long-running tasks are without a run, by what workers carry out, and checks it against the users' rule
 * and against the bound that follows from it.
 */
import * as faultTimes from './fault-times.js';
import type * as checkers from './invariant-checker.js';
import type * as fleet from '../../src/core/fleet/types.js';
import type * as workers from '../../stand-ins/fleet/workers.js';

/**
 * The users' rule, in seconds: a task must not be without a run for `idleSeconds` that begin later than `graceSeconds` after
 * its last run, if they and the `calmBeforeSeconds` before them are calm.
 */
const graceSeconds = 6;
const idleSeconds = 3;
const calmBeforeSeconds = 4;

/** Maximum time without a run, calm or not, in seconds. */
const boundSeconds = graceSeconds + idleSeconds;

/**
 * The bound is not required if the store answered no box at a time that is less than this before the bound, in seconds: a
 * box then has to take over, to read what is stored, and to reach the workers.
 */
const minStoreSeconds = 3.5;

/** Lengths whose exceedances a summary counts, in seconds. */
export const countedSeconds = [6, 8, 9, 10, 13];

/** A time for which a task has no run, in seconds as the checker counts them. */
export interface Gap {
	task: string;
	from: number;
	/** Begin of the next run, cancellation of the job, or end of the soak. */
	to: number;
	/** How the last run ended. */
	cause: string;
	/** Worker of the last run. Undefined: the task had none. */
	worker: string | undefined;
	/** The run that ended the gap. Undefined: none did. */
	next: { run: number; worker: string; epoch: number } | undefined;
}

/** A gap, with the promises that it breaks. */
export interface JudgedGap extends Gap {
	seconds: number;
	broken: ('lasting' | 'lasting-bound')[];
	/** The bound is not required, as the store was away. */
	excused: boolean;
}

/** What is known of one task. */
interface LastingTask {
	milliCores: number;
	/** Workers of its runs under way, by run number. */
	readonly running: Map<number, string>;
	/** The gap under way. Undefined: the task runs, or its job is cancelled. */
	gap: Gap | undefined;
	cancelled: boolean;
}

/** A worker that is up and reached by the boxes. */
export interface UsableWorker {
	id: string;
	freeMilliCores: number;
}

export interface LastingTasksOptions {
	checker: Pick<checkers.InvariantChecker, 'now' | 'reportViolation'>;
	faults: Pick<faultTimes.FaultTimes, 'all' | 'storeOutages'>;
}

/** Observes the runs of all long-running tasks. */
export class LastingTasks {
	private readonly tasks = new Map<string, LastingTask>();
	private readonly gaps: Gap[] = [];

	private constructor(private readonly opts: LastingTasksOptions) {}

	static create(opts: LastingTasksOptions): LastingTasks {
		return new LastingTasks(opts);
	}

	/** Adds a task that is about to be submitted. */
	add(task: string, milliCores: number): void {
		this.tasks.set(task, { milliCores, running: new Map(), gap: undefined, cancelled: false });
	}

	has(task: string): boolean {
		return this.tasks.has(task);
	}

	/** Records that the tasks' job was accepted. A task without a run counts from here on. */
	accepted(tasks: readonly string[]): void {
		for (const name of tasks) {
			const task = this.tasks.get(name);
			if (task?.running.size === 0) this.openGap(name, task, 'not begun since its acceptance', undefined);
		}
	}

	/** Records that the cancellation of the tasks' job is about to be sent. From here on they need not run. */
	cancelled(tasks: readonly string[]): void {
		for (const name of tasks) {
			const task = this.tasks.get(name);
			if (task === undefined) continue;
			task.cancelled = true;
			this.closeGap(task, undefined);
		}
	}

	started({ task: name, run, worker, epoch }: workers.StartRecord): void {
		const task = this.tasks.get(name);
		if (task === undefined) return;
		task.running.set(run, worker);
		this.closeGap(task, { run, worker, epoch });
	}

	ended({ task: name, run, how }: fleet.RunExit): void {
		const task = this.tasks.get(name);
		const worker = task?.running.get(run);
		if (task === undefined || worker === undefined) return;
		task.running.delete(run);
		if (task.running.size === 0) this.openGap(name, task, `${how} on ${worker}`, worker);
	}

	/** Records that a worker crashed while tasks ran there. */
	crashed(worker: string, tasks: readonly string[]): void {
		for (const name of tasks) {
			const task = this.tasks.get(name);
			if (task === undefined) continue;
			for (const [run, one] of [...task.running]) if (one === worker) task.running.delete(run);
			if (task.running.size === 0) this.openGap(name, task, `${worker} crashed`, worker);
		}
	}

	/** Whether a worker runs any of the tasks. */
	hasRunOn(worker: string): boolean {
		return [...this.tasks.values()].some(({ running }) => [...running.values()].includes(worker));
	}

	/** Whether all tasks run that have to. */
	areAllRunning(): boolean {
		return [...this.tasks.values()].every((task) => task.gap === undefined);
	}

	/** Reports that the waiting tasks don't have capacity twice over, which the set of faults has to leave them. */
	checkCapacity(usable: readonly UsableWorker[]): void {
		const waiting = [...this.tasks.values()].filter((task) => task.gap !== undefined);
		if (waiting.length === 0) return;
		const largest = Math.max(...waiting.map((task) => task.milliCores));
		const places = usable.reduce(
			(sum, { freeMilliCores }) => sum + Math.max(0, Math.floor(freeMilliCores / largest)),
			0,
		);
		if (places < 2 * waiting.length)
			this.opts.checker.reportViolation(
				'lasting-room',
				`the faults leave ${places} places to ${waiting.length} long-running tasks`,
			);
	}

	/** All gaps so far, the longest first. Those under way count with the time so far. */
	judgedGaps(): JudgedGap[] {
		const now = this.opts.checker.now();
		const openGaps = [...this.tasks.values()].flatMap(({ gap }) => (gap ? [{ ...gap, to: now }] : []));
		const judged = [...this.gaps, ...openGaps].map((gap) => this.judge(gap));
		return judged.sort((a, b) => b.seconds - a.seconds);
	}

	private judge(gap: Gap): JudgedGap {
		const { faults } = this.opts;
		const seconds = gap.to - gap.from;
		const isTooLong = seconds > boundSeconds;
		const excused = isTooLong && isStoreAwayTooLong(gap, faults.storeOutages);
		const broken: JudgedGap['broken'] = [];
		if (breaksRule(gap, faults.all)) broken.push('lasting');
		if (isTooLong && !excused) broken.push('lasting-bound');
		return { ...gap, seconds, broken, excused };
	}

	private openGap(name: string, task: LastingTask, cause: string, worker: string | undefined): void {
		if (task.cancelled || task.gap !== undefined) return;
		task.gap = { task: name, from: this.opts.checker.now(), to: Infinity, cause, worker, next: undefined };
	}

	private closeGap(task: LastingTask, next: Gap['next']): void {
		if (task.gap === undefined) return;
		this.gaps.push({ ...task.gap, to: this.opts.checker.now(), next });
		task.gap = undefined;
	}
}

/** Whether a gap breaks the users' rule. `perSecond`: units of all times in a second. */
export function breaksRule(
	gap: Pick<Gap, 'from' | 'to'>,
	faults: readonly faultTimes.FaultTime[],
	perSecond = 1,
): boolean {
	return faultTimes.calmStretches(faults).some((calm) => {
		const idleFrom = Math.max(calm.from + calmBeforeSeconds * perSecond, gap.from + graceSeconds * perSecond);
		return idleFrom + idleSeconds * perSecond <= Math.min(calm.to, gap.to);
	});
}

/** Whether the store answered no box when too little was left of the bound, or until then. */
export function isStoreAwayTooLong(
	gap: Pick<Gap, 'from'>,
	storeOutages: readonly faultTimes.FaultTime[],
): boolean {
	const endsAt = gap.from + boundSeconds;
	return storeOutages.some(({ from, to }) => from < endsAt && to > endsAt - minStoreSeconds);
}

/** Describes a gap in a line. */
export function describe({ task, from, to, seconds, cause, next, excused }: JudgedGap): string {
	const end =
		next === undefined
			? 'no run follows'
			: `run ${next.run} on ${next.worker} in epoch ${next.epoch} follows`;
	const excuse = excused ? ', the store was away' : '';
	return `${task} has no run for ${seconds.toFixed(2)} s, from ${from} s (${cause}) to ${to} s (${end}${excuse})`;
}
