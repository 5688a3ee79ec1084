/** A job that the owner works on: its steps and tasks, and the progress to be stored. */
import * as crashes from './crash-history.js';
import * as types from './types.js';

/** State of a task. `stopping`: placed, and a stop was sent to its worker. */
export type TaskState = 'blocked' | 'ready' | 'placed' | 'stopping' | 'finished';

/** One task of one step in one of the job's occurrences. */
export interface Task {
	/** `id.occurrence.step.index`, as workers know it. */
	readonly name: string;
	readonly index: number;
	readonly step: StepInstance;
	state: TaskState;
	/** Number of the latest run; 0 before the first. */
	run: number;
	/** Latest checkpoint; empty: none. */
	checkpoint: string;
	/** Numbers of the runs that failed. */
	failures: Set<number>;
	/** Workers where it failed; used again only if no other worker fits. */
	failedOn: Set<string>;
	/** Crashes of workers under its runs; undefined: there were none. */
	crashes: crashes.CrashHistory | undefined;
	/** Clock time before which it is not started again. */
	retryNotBefore: number;
	/** Clock time from which it may be started. */
	readyAt: number;
	/** Clock time at which its waiting would have begun if all its waits were one uninterrupted wait. */
	waitingSince: number;
	/** Its total waiting time when it was last placed, in milliseconds. */
	waitedMs: number;
	/** Worker that may run it; empty: none, as far as this owner and the store know. */
	worker: string;
}

/** One step in one of the job's occurrences. */
export interface StepInstance {
	readonly job: ActiveJob;
	readonly occurrence: number;
	readonly number: number;
	readonly spec: types.StepSpec;
	readonly tasks: Task[];
	/** Number of tasks that have not finished. */
	unfinished: number;
	/** Number of runs of suspected tasks that did not crash their workers. */
	passedProbations: number;
}

/** State of the owner and of the job from which an `ActiveJob` is created. */
export interface ActiveJobOptions {
	/** A caller has requested its cancellation. */
	cancelled: boolean;
	/** An earlier owner may have started some of its tasks. */
	inherited: boolean;
	/** Every owner that may have started its long-running tasks stored their workers first. */
	workersStored: boolean;
	/** Clock time. */
	now: number;
	/** Milliseconds since the job was accepted. */
	age: number;
}

/** A job that takes more than this many times its objective is worth nothing to its caller. */
const maxObjectiveMultiple = 3;

/**
 * A job that the owner works on. A job with a schedule has several occurrences, each with tasks of its own; any other job
 * has one.
 */
export class ActiveJob {
	readonly steps: StepInstance[] = [];
	state: types.JobState = 'pending';
	/** The state as stored. Callers are never given a newer one. */
	storedState: types.JobState = 'pending';
	/** A caller has requested its cancellation. */
	cancelled: boolean;
	/** Why it failed, for people; empty: it has not failed. */
	failure = '';
	/** Wall time at which it reached its final state; 0 before. */
	endedAt: types.UnixMs = 0;
	/** Number of occurrences whose tasks have been created. */
	private occurrencesOpened = 0;
	/**
	 * Number of occurrences that some owner is known to have started. It may be ahead of this owner's clock, because boxes
	 * share no clock.
	 */
	private occurrencesStarted = 0;
	/** Whether an earlier owner may have started some of its tasks. */
	readonly inherited: boolean;
	/** Whether the workers of its long-running tasks are stored before each start. */
	readonly workersStored: boolean;
	/** Clock time by which it should be completed. */
	readonly dueAt: number;
	/** Clock time after which its completion is worth nothing to its caller. */
	readonly worthlessAt: number;

	private constructor(
		readonly record: types.JobRecord,
		private readonly progress: types.ProgressRecord | undefined,
		options: ActiveJobOptions,
	) {
		this.cancelled = options.cancelled;
		this.inherited = options.inherited;
		this.workersStored = options.workersStored && (progress === undefined || progress.workers !== undefined);
		const { dueMs, worthlessMs } = deadlinesOf(record);
		this.dueAt = options.now - options.age + dueMs;
		this.worthlessAt = options.now - options.age + worthlessMs;
		if (progress !== undefined) this.restore(progress);
	}

	/** `progress`: the stored progress, if there is any. */
	static create(
		record: types.JobRecord,
		progress: types.ProgressRecord | undefined,
		start: ActiveJobOptions,
	): ActiveJob {
		return new ActiveJob(record, progress, start);
	}

	get id(): string {
		return this.record.id;
	}

	/** Whether the job is in a final state: none of its tasks will run again. */
	get ended(): boolean {
		return types.isFinal(this.state);
	}

	/** Whether its final state is stored. Later reports of its runs need not be stored then. */
	get isEndStored(): boolean {
		return this.ended && this.storedState === this.state;
	}

	/** Number of the job's occurrences. */
	get times(): number {
		return this.record.schedule?.times ?? 1;
	}

	/** Wall time at which the next occurrence is due, 0: at once; undefined: there is none. */
	nextDueAt(): types.UnixMs | undefined {
		if (this.occurrencesOpened < this.occurrencesStarted) return 0;
		// No further occurrence is due. Those that were started before may still have runs.
		if (this.occurrencesOpened >= this.times || this.ended) return undefined;
		const { schedule } = this.record;
		return schedule === undefined ? 0 : schedule.firstAt + this.occurrencesOpened * schedule.intervalMs;
	}

	/** Creates the tasks of the next occurrence, and returns those that are ready. */
	openNextOccurrence(now: number): Task[] {
		const occurrence = this.occurrencesOpened;
		this.occurrencesOpened += 1;
		const steps = this.record.steps.map((spec, number) => this.createStep(occurrence, number, spec));
		this.steps.push(...steps);
		return steps.flatMap((step) => this.unblock(step, now));
	}

	/** Notes that an owner has started this occurrence by its own clock; true: its tasks are not created yet. */
	noteOccurrenceStarted(occurrence: number): boolean {
		if (occurrence >= this.times) return false;
		this.occurrencesStarted = Math.max(this.occurrencesStarted, occurrence + 1);
		return occurrence >= this.occurrencesOpened;
	}

	/** The task with these numbers, if it has been created. Does not open an occurrence. */
	findTask(occurrence: number, step: number, index: number): Task | undefined {
		return this.steps[occurrence * this.record.steps.length + step]?.tasks[index];
	}

	/** Notes that a task has finished, and returns the tasks that become ready because of it. */
	finish(task: Task, now: number): Task[] {
		if (task.state === 'finished') return [];
		task.state = 'finished';
		task.checkpoint = '';
		task.crashes = undefined;
		task.step.unfinished -= 1;
		if (task.step.unfinished > 0) return [];
		if (this.allFinished()) {
			this.state = 'completed';
			return [];
		}
		const sameTime = this.steps.filter((step) => step.occurrence === task.step.occurrence);
		return sameTime
			.filter((step) => step.spec.after.includes(task.step.number))
			.flatMap((step) => this.unblock(step, now));
	}

	/** The progress to be stored. */
	toProgress(): types.ProgressRecord {
		const finished: types.ProgressRecord['finished'] = {};
		const failures: types.ProgressRecord['failures'] = {};
		const checkpoints: types.ProgressRecord['checkpoints'] = {};
		const crashed: Record<string, crashes.StoredCrashes> = {};
		const workers: Record<string, string> = {};
		const passed: Record<string, number> = {};
		for (const step of this.steps) {
			const { passedProbations } = step;
			if (passedProbations > 0) passed[stepKey(step.occurrence, step.number)] = passedProbations;
			const done = step.tasks.filter((task) => task.state === 'finished').map((task) => task.index);
			if (done.length > 0)
				finished[stepKey(step.occurrence, step.number)] = step.unfinished === 0 ? 'all' : done;
			for (const task of step.tasks) {
				const key = taskKey(step, task.index);
				if (task.failures.size > 0) failures[key] = [...task.failures];
				if (task.crashes?.isEmpty === false) crashed[key] = task.crashes.toStored();
				if (task.checkpoint !== '' && task.state === 'ready') checkpoints[key] = task.checkpoint;
				if (task.worker !== '' && step.spec.lasting) workers[key] = task.worker;
			}
		}
		const progress: types.ProgressRecord = {
			state: this.state,
			finished,
			failures,
			checkpoints,
			...(Object.keys(crashed).length > 0 && { crashes: crashed }),
			...(Object.keys(passed).length > 0 && { passed }),
			...(this.failure !== '' && { failure: this.failure }),
			endedAt: this.endedAt,
		};
		const hasLongRunning = this.record.steps.some((spec) => spec.lasting);
		return hasLongRunning && this.workersStored ? { ...progress, workers } : progress;
	}

	private allFinished(): boolean {
		return this.occurrencesOpened >= this.times && this.steps.every((step) => step.unfinished === 0);
	}

	private restore(progress: types.ProgressRecord): void {
		this.state = progress.state;
		this.storedState = progress.state;
		this.endedAt = progress.endedAt;
		this.failure = progress.failure ?? '';
		const { finished, failures, checkpoints, crashes: crashed = {}, workers = {} } = progress;
		for (const key of [finished, failures, checkpoints, crashed, workers].flatMap((one) => Object.keys(one)))
			this.noteOccurrenceStarted(Number(key.split('.', 1)[0]));
	}

	private createStep(occurrence: number, number: number, spec: types.StepSpec): StepInstance {
		const key = stepKey(occurrence, number);
		const step: StepInstance = {
			job: this,
			occurrence,
			number,
			spec,
			tasks: [],
			unfinished: spec.count,
			passedProbations: this.progress?.passed?.[key] ?? 0,
		};
		const done = this.progress?.finished[key];
		for (let index = 0; index < spec.count; index += 1) {
			const task = this.createTask(step, index);
			if (done === 'all' || done?.includes(index)) {
				task.state = 'finished';
				step.unfinished -= 1;
			}
			step.tasks.push(task);
		}
		return step;
	}

	private createTask(step: StepInstance, index: number): Task {
		const key = taskKey(step, index);
		const crashed = this.progress?.crashes?.[key];
		return {
			name: `${this.id}.${key}`,
			index,
			step,
			state: 'blocked',
			run: 0,
			checkpoint: this.progress?.checkpoints[key] ?? '',
			failures: new Set(this.progress?.failures[key]),
			failedOn: new Set(),
			crashes: crashed && crashes.CrashHistory.create(crashed),
			retryNotBefore: 0,
			readyAt: 0,
			waitingSince: 0,
			waitedMs: 0,
			worker: this.progress?.workers?.[key] ?? '',
		};
	}

	/** Makes the tasks of a step ready if all steps that it depends on have finished. */
	private unblock(step: StepInstance, now: number): Task[] {
		const base = step.occurrence * this.record.steps.length;
		const isUnblocked = step.spec.after.every((number) => this.steps[base + number]?.unfinished === 0);
		if (!isUnblocked) return [];
		const tasks = step.tasks.filter((task) => task.state === 'blocked');
		for (const task of tasks) {
			task.state = 'ready';
			task.readyAt = now;
		}
		return tasks;
	}
}

/** The parts of a task's name. */
export interface TaskName {
	job: string;
	occurrence: number;
	step: number;
	index: number;
}

/** Splits a task's name; undefined: it has another form. */
export function parseTaskName(name: string): TaskName | undefined {
	const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/.exec(name);
	if (match === null) return undefined;
	return {
		job: match[1] ?? '',
		occurrence: Number(match[2]),
		step: Number(match[3]),
		index: Number(match[4]),
	};
}

/** Key of a step in its job's progress. */
function stepKey(occurrence: number, number: number): string {
	return `${occurrence}.${number}`;
}

/** Key of a task in its job's progress. */
function taskKey(step: StepInstance, index: number): string {
	return `${stepKey(step.occurrence, step.number)}.${index}`;
}

/** Deadlines of a job, in milliseconds from its acceptance. */
export interface JobDeadlines {
	/** Length of its critical path, by its caller's estimates. */
	criticalPathMs: number;
	/** When it should be completed. */
	dueMs: number;
	/** After this its completion is worth nothing to its caller. */
	worthlessMs: number;
}

/** Computes a job's deadlines from its queue's objective. */
export function deadlinesOf(record: Pick<types.JobRecord, 'queue' | 'steps'>): JobDeadlines {
	const { stretch, objectiveMs } = record.queue;
	const criticalPathMs = estimateCriticalPathMs(record);
	const dueMs = stretch * criticalPathMs + objectiveMs;
	return { criticalPathMs, dueMs, worthlessMs: maxObjectiveMultiple * dueMs };
}

/** Estimated run time of the longest chain of dependent steps, in milliseconds. */
function estimateCriticalPathMs(record: Pick<types.JobRecord, 'steps'>): number {
	const finishTimes: number[] = [];
	for (const step of record.steps) {
		const start = Math.max(0, ...step.after.map((number) => finishTimes[number] ?? 0));
		finishTimes.push(start + step.estimateMs);
	}
	return Math.max(0, ...finishTimes);
}
