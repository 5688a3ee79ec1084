/** Checks what must hold under any fault, from what callers see and what workers carry out. */
import * as crashing from './crashing.js';
import * as jobs from '../../src/core/jobs/index.js';
import * as lastingTasks from './lasting-tasks.js';
import type * as fleet from '../../src/core/fleet/types.js';
import type * as workers from '../../stand-ins/fleet/workers.js';

/** A promise that was broken. */
export interface Violation {
	/** Seconds from the start of the soak. */
	at: number;
	promise:
		| 'one-run'
		| 'not-after-done'
		| 'order'
		| 'room'
		| 'evacuated'
		| 'unasked'
		| 'refused-ran'
		| 'completed-early'
		| 'lost'
		| 'crashes'
		| 'cut'
		| 'configuration'
		| 'process-ended'
		| 'lasting'
		| 'lasting-bound'
		| 'lasting-room';
	detail: string;
}

/** One step of a job as its caller declared it. */
export interface SoakStep {
	tasks: number;
	milliCores: number;
	after: number[];
	/** Maximum number of its tasks on one worker; absent: no limit. */
	maxPerWorker?: number;
}

/** What a caller knows of a job. */
export interface SoakJob {
	id: string;
	steps: SoakStep[];
	/** An answer confirmed that the job is accepted. */
	accepted: boolean;
	/** An attempt got no answer, or an answer that leaves its outcome open. */
	mayBeAccepted: boolean;
	cancelled: boolean;
	completed: boolean;
	failed: boolean;
	/** Its tasks run until it is cancelled; absent: they exit by themselves. */
	lasting?: true;
	/**
	 * Times in seconds, as the checker counts them: when the job was first sent, when it was accepted, and when one of its
	 * runs last started or exited.
	 */
	sentAt: number;
	acceptedAt: number;
	lastProgressAt: number;
}

/** A task that is not done. */
export interface OpenTask {
	name: string;
	step: number;
	milliCores: number;
}

/** A crash of a worker. */
interface WorkerCrash {
	/** Seconds from the start of the soak. */
	at: number;
	worker: string;
	/** The tasks that ran there. */
	tasks: string[];
}

/** Records and checks everything that callers and workers see. */
export class InvariantChecker implements workers.FleetJournal {
	readonly violations: Violation[] = [];
	private readonly jobs = new Map<string, SoakJob>();
	/** Tasks that have a run that is done. */
	private readonly done = new Set<string>();
	/** Done tasks whose exit a worker no longer lists, as the boxes acknowledged it. */
	private readonly doneAcknowledged = new Set<string>();
	private readonly startedJobs = new Set<string>();
	/** The runs under way, according to the workers. Set once there are workers. */
	running: () => { worker: string; task: string }[] = () => [];
	/** Called for each start of a job's task, with the task's demand in thousandths of a core. */
	onStart: (job: SoakJob, milliCores: number) => void = () => undefined;
	/** The capacity of a worker now, in thousandths of a core. */
	capacityOf: (worker: string) => number = () => Infinity;
	/** Is told what happens to the runs of long-running tasks. Undefined: there are none. */
	lastingTasks: lastingTasks.LastingTasks | undefined;
	/** Whether a task may start on a worker now: the worker's zone may be evacuated. */
	mayStartAt: (worker: string) => boolean = () => true;
	/** For each task, the number of its starts after `crashesBeforeStartLimit` workers had crashed under it. */
	private readonly startsAfterLimit = new Map<string, number>();
	/** All crashes of workers, oldest first. */
	readonly workerCrashes: WorkerCrash[] = [];
	starts = 0;
	/** When a run last started or exited, in seconds from the start of the soak. */
	anyProgressAt = 0;

	private constructor(
		readonly now: () => number,
		private readonly hasCrashingJobs: boolean,
	) {}

	/** `now` returns the seconds from the start of the soak. `hasCrashingJobs`: some jobs crash their workers. */
	static create(now: () => number, hasCrashingJobs: boolean): InvariantChecker {
		return new InvariantChecker(now, hasCrashingJobs);
	}

	/** Whether a job crashes its workers, and may be abandoned. */
	isCrashing(job: SoakJob): boolean {
		return this.hasCrashingJobs && crashing.isCrashing(job.id);
	}

	/** Whether a job may be shown as failed: enough workers crashed under one of its tasks. */
	mayFail(job: SoakJob): boolean {
		const crashCounts = taskNames(job).map((name) => this.crashCountOf(name));
		return this.hasCrashingJobs && Math.max(...crashCounts) >= crashing.crashesBeforeAbandoning;
	}

	/** Records that a job is shown as failed. */
	noteReportedFailed(job: SoakJob): void {
		job.failed = true;
		if (this.mayFail(job)) return;
		const crashes = this.workerCrashes
			.map((crash) => ({ ...crash, tasks: crash.tasks.filter((task) => task.startsWith(`${job.id}.`)) }))
			.filter(({ tasks }) => tasks.length > 0)
			.map(({ at, worker, tasks }) => `${worker} at ${at} s under ${tasks.join(' ')}`);
		this.reportViolation(
			'lost',
			`${job.id} is shown as failed, workers crashed: ${crashes.join(', ') || 'none'}`,
		);
	}

	/** Records that a worker crashed while these tasks ran there. */
	crashed(worker: string, tasks: string[]): void {
		this.workerCrashes.push({ at: this.now(), worker, tasks });
		this.lastingTasks?.crashed(worker, tasks);
	}

	/** Number of workers that crashed under a task. */
	private crashCountOf(task: string): number {
		return this.workerCrashes.filter(({ tasks }) => tasks.includes(task)).length;
	}

	/** Records a job that a caller is about to submit. */
	noteSubmission(job: SoakJob): void {
		job.sentAt = this.now();
		this.jobs.set(job.id, job);
	}

	/** Records an answer that confirms that a job is accepted. */
	accepted(job: SoakJob): void {
		job.accepted = true;
		job.acceptedAt = this.now();
	}

	/** Jobs that have to complete and have not. */
	open(): SoakJob[] {
		const open = this.all().filter((job) => job.accepted && !job.cancelled && !job.completed && !job.failed);
		return open.filter((job) => !this.isCrashing(job) && job.lasting === undefined);
	}

	/** Tasks of a job that are not done. */
	openTasks(job: SoakJob): OpenTask[] {
		return job.steps.flatMap(({ milliCores }, step) =>
			taskNames(job, step)
				.filter((name) => !this.done.has(name))
				.map((name) => ({ name, step, milliCores })),
		);
	}

	/**
	 * The smallest demand among the tasks of a job that are ready and not running, in thousandths of a core. Infinity: there
	 * is none.
	 */
	minWaitingMilliCores(job: SoakJob): number {
		const running = new Set(this.running().map((one) => one.task));
		const open = this.openTasks(job);
		const isDue = (step: number): boolean =>
			(job.steps[step]?.after ?? []).every((before) => open.every((task) => task.step !== before));
		const waiting = open.filter((task) => isDue(task.step) && !running.has(task.name));
		return Math.min(...waiting.map((task) => task.milliCores));
	}

	/** Total demand of all runs, or of those on one worker, in thousandths of a core. */
	usedMilliCores(worker?: string): number {
		return this.running()
			.filter((one) => worker === undefined || one.worker === worker)
			.reduce((sum, one) => sum + this.milliCoresOf(one.task), 0);
	}

	/** All jobs that were submitted. */
	all(): SoakJob[] {
		return [...this.jobs.values()];
	}

	/** Records that a caller got the answer that a job has completed, and checks it. */
	noteReportedCompleted(job: SoakJob): void {
		job.completed = true;
		const open = taskNames(job).filter((name) => !this.done.has(name));
		if (open.length > 0)
			this.reportViolation('completed-early', `${job.id}: ${open.join(' ')} did not finish`);
	}

	started(start: workers.StartRecord): void {
		this.starts += 1;
		const parsed = jobs.parseTaskName(start.task);
		const job = parsed && this.jobs.get(parsed.job);
		if (parsed === undefined || job === undefined) {
			this.reportViolation('unasked', `${start.task}: nobody handed it in`);
			return;
		}
		this.startedJobs.add(job.id);
		this.lastingTasks?.started(start);
		this.checkCrashes(start.task);
		this.noteProgress(job);
		this.checkStart(start, job, parsed.step);
		this.onStart(job, this.milliCoresOf(start.task));
	}

	ended(end: fleet.RunExit): void {
		const parsed = jobs.parseTaskName(end.task);
		const job = parsed && this.jobs.get(parsed.job);
		if (job !== undefined) this.noteProgress(job);
		if (end.how === 'done') this.done.add(end.task);
		this.lastingTasks?.ended(end);
	}

	acknowledged(end: fleet.RunExit): void {
		if (end.how === 'done') this.doneAcknowledged.add(end.task);
	}

	/** Checks what can be checked only once nothing changes any more. */
	checkAtEnd(): void {
		for (const gap of this.lastingTasks?.judgedGaps() ?? [])
			for (const promise of gap.broken) this.reportViolation(promise, lastingTasks.describe(gap));
		for (const job of this.jobs.values()) {
			const isRefused = !job.accepted && !job.mayBeAccepted;
			if (isRefused && this.startedJobs.has(job.id)) this.reportViolation('refused-ran', job.id);
		}
	}

	/** Records a broken promise. */
	reportViolation(promise: Violation['promise'], detail: string): void {
		this.violations.push({ at: this.now(), promise, detail });
	}

	private noteProgress(job: SoakJob): void {
		job.lastProgressAt = this.now();
		this.anyProgressAt = job.lastProgressAt;
	}

	private checkStart(start: workers.StartRecord, job: SoakJob, step: number): void {
		const running = this.running();
		const copies = running.filter((one) => one.task === start.task);
		if (copies.length > 1)
			this.reportViolation(
				'one-run',
				`${start.task} runs on ${copies.map((one) => one.worker).join(' and ')}`,
			);
		if (this.doneAcknowledged.has(start.task))
			this.reportViolation('not-after-done', `${start.task} run ${start.run} on ${start.worker}`);
		for (const before of job.steps[step]?.after ?? []) this.checkOrder(start, job, before);
		if (!this.mayStartAt(start.worker))
			this.reportViolation('evacuated', `${start.task} run ${start.run} starts on ${start.worker}`);
		const runningHere = running.filter((one) => one.worker === start.worker);
		const milliCores = runningHere.reduce((sum, one) => sum + this.milliCoresOf(one.task), 0);
		if (milliCores > this.capacityOf(start.worker))
			this.reportViolation('room', `${start.worker} holds ${milliCores} thousandths of a core`);
	}

	private checkCrashes(task: string): void {
		if (!this.hasCrashingJobs || crashing.crashMsOf(task) === undefined) return;
		const count = this.crashCountOf(task);
		if (count < crashing.crashesBeforeStartLimit) return;
		const starts = (this.startsAfterLimit.get(task) ?? 0) + 1;
		this.startsAfterLimit.set(task, starts);
		if (starts > crashing.maxStartsAfterCrashes)
			this.reportViolation('crashes', `${task} is started after ${count} workers went down under it`);
	}

	private checkOrder(start: workers.StartRecord, job: SoakJob, preceding: number): void {
		const open = taskNames(job, preceding).filter((name) => !this.done.has(name));
		if (open.length > 0) this.reportViolation('order', `${start.task} before ${open.join(' ')}`);
	}

	private milliCoresOf(task: string): number {
		const parsed = jobs.parseTaskName(task);
		return (parsed && this.jobs.get(parsed.job)?.steps[parsed.step]?.milliCores) ?? 0;
	}
}

/** Names of the tasks of a job, or of one of its steps. */
export function taskNames(job: SoakJob, onlyStep?: number): string[] {
	return job.steps.flatMap((step, number) =>
		onlyStep === undefined || onlyStep === number
			? Array.from({ length: step.tasks }, (_, index) => `${job.id}.0.${number}.${index}`)
			: [],
	);
}
