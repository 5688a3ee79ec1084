/**
 * How tasks under suspicion of crashing their workers are started: one on a worker, where little would go down with it and
 * nothing else is started until it has outlived the moment at which it seemed to crash the last one. So a second crash
 * names the task alone, tasks that went down together do not meet again, and a job of a thousand such tasks takes down few
 * workers at a time.
 */
import * as clocks from '../clock.js';
import * as placement from './placement.js';
import type * as events from '../events/index.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** A run on probation is on its worker for so long before it has passed, and nothing was started there for so long before, in milliseconds. */
const probationMs = 500;

/** Workers with a run on probation at the same time: this part of those that may run it, and always one. */
const initialShare = 0.1;

/**
 * One more for each run that passes, up to this part, until one of them goes down with its worker. After many crashes by
 * chance there are more suspects than could be tried in time otherwise.
 */
const maxShare = 0.5;

/** Runs of a step on probation at the same time: one, and so many more for each that has passed. */
const extraPerPass = 2;

/** A step of which so many tasks are suspected is suspected whole. */
const suspectStepThreshold = 2;

/** After a second crash a task waits so long before its next start, after a third twice as long, in milliseconds. */
const crashBackoffMs = 250;

/** What is lost with a lasting task, or a member of a gang, as a multiple of its cores. */
const longRunningLossFactor = 4;
const gangLossFactor = 4;

/** What probations use. */
export interface ProbationOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	workers: () => sessions.WorkerSession[];
	/** What is stored of a job has changed. */
	onChanged: (job: jobs.ActiveJob) => void;
}

/** What is known of a step's suspects. */
interface StepProbation {
	suspects: Set<jobs.Task>;
	passed: number;
}

/** Tasks under suspicion, and the runs by which they are tried. */
export class Probations {
	private readonly steps = new WeakMap<jobs.StepInstance, StepProbation>();
	/** Runs that have passed since one on probation last went down with its worker. */
	private consecutivePasses = 0;

	private constructor(private readonly opts: ProbationOptions) {}

	static create(opts: ProbationOptions): Probations {
		return new Probations(opts);
	}

	/** A worker went down under a task, `onProbation` or not; the task is not started again for a while. */
	noteCrash(task: jobs.Task, onProbation: boolean): void {
		const { crashed = 0, blamed = 0 } = task.crashes ?? {};
		if (onProbation) this.consecutivePasses = 0;
		task.retryNotBefore = this.opts.clock.now() + crashBackoffMs * (crashed - 1);
		if (blamed > 0) this.recordOf(task.step).suspects.add(task);
	}

	/** Whether a task is to be started on probation. Gangs are not: their members need each other. */
	isSuspect(task: jobs.Task): boolean {
		if (task.step.spec.gang) return false;
		const { crashed = 0, blamed = 0 } = task.crashes ?? {};
		if (blamed > 0 || crashed > 1) return true;
		const record = this.steps.get(task.step);
		return record?.passed === 0 && record.suspects.size >= suspectStepThreshold;
	}

	/** Whether one more run of the step may be on probation now, in a pool of so many open workers. */
	mayStartOnProbation(step: jobs.StepInstance, workers: number): boolean {
		const withProbation = this.opts.workers().filter((one) => one.runOnProbation !== undefined);
		// A worker that has ceased to answer is tried by nobody any more, and may take long to be proved dead.
		const responsive = withProbation.filter((one) => one.firstFailureAt === undefined).length;
		if (responsive >= this.maxConcurrent(workers)) return false;
		const ofStep = withProbation.filter((one) => one.runOnProbation?.task.step === step).length;
		return ofStep <= (this.steps.get(step)?.passed ?? 0) * extraPerPass;
	}

	/** Runs that may be on probation at the same time in a pool of so many open workers. */
	private maxConcurrent(workers: number): number {
		const initial = Math.max(1, Math.floor(workers * initialShare));
		return Math.max(initial, Math.min(initial + this.consecutivePasses, Math.floor(workers * maxShare)));
	}

	/** The worker that takes a suspect at the least loss to others. */
	chooseWorker(
		task: jobs.Task,
		choice: placement.PlacementContext,
	): sessions.WorkerSession | placement.PlacementFailure {
		const terms = placement.limitsOf(task, choice.now);
		const eligible = choice.workers.filter(
			(one) => one.open && placement.score(task, one, choice, terms) < Infinity,
		);
		const [first, ...others] = eligible;
		if (first === undefined) return choice.workers.length > 0 ? 'no-room' : 'no-worker-open';
		return others.reduce((best, one) => (potentialLossOn(one) < potentialLossOn(best) ? one : best), first);
	}

	/** Until then a run on probation is not sent: a crash would be held against what was started there before it. */
	waitForQuiet(session: sessions.WorkerSession): Promise<void> {
		const ms = session.lastStartSentAt + probationMs - this.opts.clock.now();
		return ms > 0 ? clocks.sleep(this.opts.clock, ms) : Promise.resolve();
	}

	/** A worker has just reported: runs that have outlived what they were suspected of are cleared. */
	checkRuns(session: sessions.WorkerSession): void {
		const { runOnProbation } = session;
		if (runOnProbation !== undefined && this.hasRunFor(runOnProbation, probationMs)) {
			session.runOnProbation = undefined;
			runOnProbation.onProbation = false;
			this.notePassed(runOnProbation, 'probation');
		}
		for (const place of session.placements.values()) {
			const { crashes } = place.task;
			if (crashes !== undefined && this.hasRunFor(place, crashes.clearedAfterMs)) this.clearSuspicion(place);
		}
	}

	/** Whether a run has been at work for so long. */
	private hasRunFor(place: types.Placement, ms: number): boolean {
		const isAtWork = place.phase === 'running' && place.confirmedAt > 0 && place.pace > 0;
		return isAtWork && this.opts.clock.now() - place.confirmedAt > ms;
	}

	private notePassed(place: types.Placement, reason: string): void {
		const { task, run } = place;
		const record = this.recordOf(task.step);
		record.passed += 1;
		this.consecutivePasses += 1;
		record.suspects.delete(task);
		task.crashes?.clearAttribution();
		this.opts.events.emit('task.cleared', { task: task.name, run, reason });
		this.opts.onChanged(task.step.job);
	}

	private clearSuspicion(place: types.Placement): void {
		place.task.crashes = undefined;
		this.notePassed(place, 'at work');
	}

	private recordOf(step: jobs.StepInstance): StepProbation {
		const known = this.steps.get(step) ?? { suspects: new Set(), passed: 0 };
		this.steps.set(step, known);
		return known;
	}
}

/** Tasks of a step in the order in which they are tried: one more crash of the most suspect tells most. */
export function sortBySuspicion(tasks: jobs.Task[]): jobs.Task[] {
	if (tasks.every((task) => task.crashes === undefined)) return tasks;
	return [...tasks].sort((a, b) => suspicionOf(b) - suspicionOf(a));
}

function suspicionOf({ crashes }: jobs.Task): number {
	return crashes === undefined ? 0 : crashes.blamed + crashes.crashed;
}

/** What would be lost with a worker, in thousandths of a core: tasks that can't go on elsewhere weigh by how far they are. */
function potentialLossOn(session: sessions.WorkerSession): number {
	let loss = 0;
	for (const { task, percent } of session.placements.values())
		loss += potentialLossOf(task.step.spec, percent);
	return loss;
}

function potentialLossOf(spec: jobs.StepSpec, percent: number): number {
	if (spec.lasting) return spec.milliCores * longRunningLossFactor;
	const share = spec.checkpoints ? 0.1 : 0.5 + percent / 200;
	return spec.milliCores * share * (spec.gang ? gangLossFactor : 1);
}
