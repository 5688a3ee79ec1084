/** A job that the owner works on: its steps and tasks, and what has to be stored of them. */
import * as crashes from './crash-history.js';
import * as types from './types.js';

/** Where a task stands. `stopping`: placed, and told to stop. */
export type TaskState = 'blocked' | 'ready' | 'placed' | 'stopping' | 'finished';

/** One task of one step at one of the job's times. */
export interface Task {
	/** `id.time.step.index`, as workers know it. */
	readonly name: string;
	readonly index: number;
	readonly step: StepRun;
	state: TaskState;
	/** Number of the newest run; 0 before the first. */
	run: number;
	/** Newest checkpoint; empty: none. */
	checkpoint: string;
	/** Numbers of the runs that ended as failed. */
	failures: Set<number>;
	/** Workers where it failed; taken again only if nothing else fits. */
	failedOn: Set<string>;
	/** What became of the workers under it; undefined: none went down. */
	crashes: crashes.CrashHistory | undefined;
	/** Clock time before which it is not started again. */
	pausedUntil: number;
	/** Clock time from which it may be started. */
	readyAt: number;
	/** Clock time from which it would have waited if all its waits were one. */
	waitingSince: number;
	/** How long it had waited in all when it was last placed, in milliseconds. */
	waitedMs: number;
	/** Worker where it may be; empty: none, as far as this owner and the store know. */
	worker: string;
}

/** One step at one of the job's times. */
export interface StepRun {
	readonly job: ActiveJob;
	readonly time: number;
	readonly number: number;
	readonly spec: types.StepSpec;
	readonly tasks: Task[];
	/** Tasks that have not finished. */
	unfinished: number;
}

/** From what a job goes on. */
export interface JobStart {
	/** A caller has asked to cancel it. */
	cancelled: boolean;
	/** A predecessor may have started tasks of it. */
	inherited: boolean;
	/** Every owner that may have started its lasting tasks stored their workers first. */
	workersStored: boolean;
	/** Clock time. */
	now: number;
	/** Milliseconds since the job was accepted. */
	age: number;
}

/** A job that takes more than this many times its objective is worth nothing to its caller (stated by the users). */
const latestInObjectives = 3;

/** One job under way. */
export class ActiveJob {
	readonly steps: StepRun[] = [];
	state: types.JobState = 'pending';
	/** The state as stored; callers are told nothing newer. */
	storedState: types.JobState = 'pending';
	/** A caller has asked to cancel it. */
	cancelled: boolean;
	/** Why it has failed, for people; empty: it has not. */
	failure = '';
	/** When it reached its end; 0 before. */
	endedAt: types.WallMs = 0;
	/** How many times of the schedule have come. */
	private timesOpen = 0;
	/** How many times an owner is known to have begun, whatever this owner's clock says: boxes share no clock. */
	private timesReached = 0;
	/** Whether a predecessor may have started tasks of it. */
	readonly inherited: boolean;
	/** Whether the workers of its lasting tasks are stored before each start. */
	readonly workersStored: boolean;
	/** Clock time by which it should be done. */
	readonly dueAt: number;
	/** Clock time after which being done is worth nothing more to its caller. */
	readonly worthlessAt: number;

	private constructor(
		readonly record: types.JobRecord,
		private readonly progress: types.ProgressRecord | undefined,
		start: JobStart,
	) {
		this.cancelled = start.cancelled;
		this.inherited = start.inherited;
		this.workersStored = start.workersStored && (progress === undefined || progress.workers !== undefined);
		const { dueMs, worthlessMs } = patienceOf(record);
		this.dueAt = start.now - start.age + dueMs;
		this.worthlessAt = start.now - start.age + worthlessMs;
		if (progress !== undefined) this.adopt(progress);
	}

	/** `progress`: what is stored of it, if anything is. */
	static create(
		record: types.JobRecord,
		progress: types.ProgressRecord | undefined,
		start: JobStart,
	): ActiveJob {
		return new ActiveJob(record, progress, start);
	}

	get id(): string {
		return this.record.id;
	}

	/** Whether nothing of it will ever run again. */
	get ended(): boolean {
		return types.isFinal(this.state);
	}

	/** Whether its end is stored: nothing that is still heard of its runs has to be. */
	get endStored(): boolean {
		return this.ended && this.storedState === this.state;
	}

	/** How many times the steps run. */
	get times(): number {
		return this.record.schedule?.times ?? 1;
	}

	/** Wall time at which the next time comes; undefined: all have come. */
	nextDue(): types.WallMs | undefined {
		if (this.timesOpen < this.timesReached) return 0;
		// None comes any more; those that were begun may still have runs.
		if (this.timesOpen >= this.times || this.ended) return undefined;
		const { schedule } = this.record;
		return schedule === undefined ? 0 : schedule.firstAt + this.timesOpen * schedule.intervalMs;
	}

	/** Makes the tasks of the next time; those that may start are returned. */
	openNextTime(now: number): Task[] {
		const time = this.timesOpen;
		this.timesOpen += 1;
		const steps = this.record.steps.map((spec, number) => this.createStep(time, number, spec));
		this.steps.push(...steps);
		return steps.flatMap((step) => this.unblock(step, now));
	}

	/** An owner has begun this time, as its clock told; true: its tasks are not made yet. */
	reach(time: number): boolean {
		if (time >= this.times) return false;
		this.timesReached = Math.max(this.timesReached, time + 1);
		return time >= this.timesOpen;
	}

	/** The task of that name, if it is one of this job's; opens no new time. */
	findTask(time: number, step: number, index: number): Task | undefined {
		return this.steps[time * this.record.steps.length + step]?.tasks[index];
	}

	/** Notes that a task has finished; returns the tasks that may start because of it. */
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
		const sameTime = this.steps.filter((step) => step.time === task.step.time);
		return sameTime
			.filter((step) => step.spec.after.includes(task.step.number))
			.flatMap((step) => this.unblock(step, now));
	}

	/** What has to be stored of it now. */
	toProgress(): types.ProgressRecord {
		const finished: types.ProgressRecord['finished'] = {};
		const failures: types.ProgressRecord['failures'] = {};
		const checkpoints: types.ProgressRecord['checkpoints'] = {};
		const crashed: Record<string, crashes.StoredCrashes> = {};
		const workers: Record<string, string> = {};
		for (const step of this.steps) {
			const done = step.tasks.filter((task) => task.state === 'finished').map((task) => task.index);
			if (done.length > 0) finished[stepKey(step.time, step.number)] = step.unfinished === 0 ? 'all' : done;
			for (const task of step.tasks) {
				const key = taskKey(step, task.index);
				if (task.failures.size > 0) failures[key] = [...task.failures];
				if (task.crashes?.empty === false) crashed[key] = task.crashes.toStored();
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
			...(this.failure !== '' && { failure: this.failure }),
			endedAt: this.endedAt,
		};
		const hasLasting = this.record.steps.some((spec) => spec.lasting);
		return hasLasting && this.workersStored ? { ...progress, workers } : progress;
	}

	private allFinished(): boolean {
		return this.timesOpen >= this.times && this.steps.every((step) => step.unfinished === 0);
	}

	private adopt(progress: types.ProgressRecord): void {
		this.state = progress.state;
		this.storedState = progress.state;
		this.endedAt = progress.endedAt;
		this.failure = progress.failure ?? '';
		const { finished, failures, checkpoints, crashes: crashed = {}, workers = {} } = progress;
		for (const key of [finished, failures, checkpoints, crashed, workers].flatMap((one) => Object.keys(one)))
			this.reach(Number(key.split('.', 1)[0]));
	}

	private createStep(time: number, number: number, spec: types.StepSpec): StepRun {
		const step: StepRun = { job: this, time, number, spec, tasks: [], unfinished: spec.count };
		const done = this.progress?.finished[stepKey(time, number)];
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

	private createTask(step: StepRun, index: number): Task {
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
			pausedUntil: 0,
			readyAt: 0,
			waitingSince: 0,
			waitedMs: 0,
			worker: this.progress?.workers?.[key] ?? '',
		};
	}

	/** Makes the tasks of a step ready once the steps before it have finished. */
	private unblock(step: StepRun, now: number): Task[] {
		const base = step.time * this.record.steps.length;
		const open = step.spec.after.every((number) => this.steps[base + number]?.unfinished === 0);
		if (!open) return [];
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
	time: number;
	step: number;
	index: number;
}

/** The parts of a task's name; undefined if it has another form. */
export function parseTaskName(name: string): TaskName | undefined {
	const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/.exec(name);
	if (match === null) return undefined;
	return {
		job: match[1] ?? '',
		time: Number(match[2]),
		step: Number(match[3]),
		index: Number(match[4]),
	};
}

/** Name of a step in the progress of its job. */
function stepKey(time: number, number: number): string {
	return `${time}.${number}`;
}

/** Name of a task in the progress of its job. */
function taskKey(step: StepRun, index: number): string {
	return `${stepKey(step.time, step.number)}.${index}`;
}

/** How long a caller waits for a job, in milliseconds from its acceptance. */
export interface Patience {
	/** Its longest chain of work, as its caller estimates it. */
	chainMs: number;
	/** By then it should be done. */
	dueMs: number;
	/** Afterwards being done is worth nothing more. */
	worthlessMs: number;
}

/** How long the caller of a job waits for it. */
export function patienceOf(record: Pick<types.JobRecord, 'queue' | 'steps'>): Patience {
	const { stretch, objectiveMs } = record.queue;
	const chainMs = longestChainMs(record);
	const dueMs = stretch * chainMs + objectiveMs;
	return { chainMs, dueMs, worthlessMs: latestInObjectives * dueMs };
}

/** Longest chain of estimated run times through the steps, in milliseconds. */
function longestChainMs(record: Pick<types.JobRecord, 'steps'>): number {
	const ends: number[] = [];
	for (const step of record.steps) {
		const start = Math.max(0, ...step.after.map((number) => ends[number] ?? 0));
		ends.push(start + step.estimateMs);
	}
	return Math.max(0, ...ends);
}
