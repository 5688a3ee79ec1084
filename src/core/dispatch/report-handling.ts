/** Applies a worker's report: updates running tasks, takes in exits and stops unwanted runs. */
import * as jobs from '../jobs/index.js';
import type * as fleet from '../fleet/types.js';
import type * as reportLog from './report-log.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** What the dispatcher provides for applying a report. */
export interface ReportContext {
	now: () => number;
	findTask: (name: string) => jobs.Task | undefined;
	/** The task of a reported run, even if its job ended long ago. */
	findTaskOfRun: (name: string) => jobs.Task | undefined;
	/** The worker on which a task is placed; undefined: it is not placed. */
	sessionOf: (task: jobs.Task) => sessions.WorkerSession | undefined;
	/** Makes a run found on a worker that task's current run. */
	adopt: (session: sessions.WorkerSession, task: jobs.Task, run: number) => types.Placement;
	/** Stops an orphaned run. */
	stopOrphan: (session: sessions.WorkerSession, task: string, run: number) => void;
	stop: (session: sessions.WorkerSession, placement: types.Placement) => void;
	finished: (task: jobs.Task) => void;
	failed: (session: sessions.WorkerSession, task: jobs.Task, run: number) => void;
	/** A placed run finished, as a report has just shown. */
	ran: (session: sessions.WorkerSession, placement: types.Placement) => void;
	/** A run exited without crashing its worker. */
	exitedWithoutCrash: (task: jobs.Task, run: number) => void;
	/** A run exited and neither finished nor failed. */
	abandoned: () => void;
	/** A placed run is known to be on its worker. */
	confirmed: (placement: types.Placement) => void;
	/** The task runs nowhere, as a worker's report has shown, and may be started again. */
	requeue: (task: jobs.Task, session: sessions.WorkerSession) => void;
	log: reportLog.ReportLog;
}

/** Jobs that a report concerns. */
export interface ReportedJobs {
	/** Jobs whose progress the report changed. */
	changed: Set<jobs.ActiveJob>;
	/** Jobs for which the report lists exits that may not be stored yet. Includes all of `changed`. */
	unstored: Set<jobs.ActiveJob>;
}

/** Applies a report. */
export function applyReport(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	report: fleet.WorkerReport,
	sentAt: number,
): ReportedJobs {
	const changed = new Set<jobs.ActiveJob>();
	const unstored = new Set<jobs.ActiveJob>();
	logUnreadExits(ctx, session, report);
	for (const exit of report.ended) {
		const task = ctx.findTask(exit.task);
		const job = task?.step.job;
		const isNew = exit.seq > session.seenUpTo;
		if (job !== undefined && !job.isEndStored) {
			// An exit that was seen before may still wait to be stored.
			unstored.add(job);
			if (isNew) changed.add(job);
		}
		if (!isNew) continue;
		session.seenUpTo = exit.seq;
		ctx.log.ended(session, exit);
		if (exit.how !== 'done' && exit.how !== 'failed') ctx.abandoned();
		if (task !== undefined) applyExit(ctx, session, task, exit);
	}
	session.orphanedRunCount = report.running.filter((running) => !applyRunning(ctx, session, running)).length;
	if (report.hasMoreExits) return { changed, unstored };
	const listedTasks = new Set(report.running.map((one) => one.task));
	for (const placement of [...session.placements.values()])
		if (!listedTasks.has(placement.task.name)) applyAbsence(ctx, session, placement, sentAt);
	return { changed, unstored };
}

/**
 * Applies only the runs of known tasks, for a report that also names unknown jobs. Serving tasks stay protected this way
 * even while the store can't tell what the unknown jobs are.
 */
export function applyKnownRuns(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	report: fleet.WorkerReport,
): void {
	for (const running of report.running) {
		const task = ctx.findTaskOfRun(running.task);
		if (task === undefined) continue;
		const at = ctx.sessionOf(task) ?? session;
		if (at === session) applyRunning(ctx, session, running);
	}
}

/**
 * Logs exits that were lost. Exits are numbered without gaps, so one that is missing between two reports was acknowledged
 * before this owner read it.
 */
function logUnreadExits(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	report: fleet.WorkerReport,
): void {
	const first = report.ended[0];
	const isKnown = session.seenUpTo > 0;
	if (isKnown && first !== undefined && first.seq > session.seenUpTo + 1) ctx.log.unreadExits(session, first);
}

function applyExit(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	task: jobs.Task,
	exit: fleet.RunExit,
): void {
	const placement = session.placements.get(task.name);
	const isCurrent = placement?.run === exit.run;
	if (placement !== undefined && isCurrent) session.free(placement);
	task.run = Math.max(task.run, exit.run);
	if (isTaskOver(task)) return;
	ctx.exitedWithoutCrash(task, exit.run);
	if (exit.how === 'failed') ctx.failed(session, task, exit.run);
	if (exit.how === 'done') {
		session.health.noteSuccess();
		if (placement !== undefined && isCurrent) ctx.ran(session, placement);
		if (!task.step.spec.lasting) {
			finishTask(ctx, task);
			return;
		}
	}
	if (exit.checkpoint !== '') task.checkpoint = exit.checkpoint;
	const otherSession = ctx.sessionOf(task);
	if (otherSession === undefined) ctx.requeue(task, session);
}

function finishTask(ctx: ReportContext, task: jobs.Task): void {
	const other = ctx.sessionOf(task);
	const placement = other?.placements.get(task.name);
	if (other !== undefined && placement !== undefined) ctx.stop(other, placement);
	ctx.finished(task);
}

/** Applies one running task of a report; false: the run has no placement and is being stopped. */
function applyRunning(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	running: fleet.RunningTask,
): boolean {
	const task = ctx.findTaskOfRun(running.task);
	const placement = task && findOrCreatePlacement(ctx, session, task, running.run);
	if (task === undefined || placement === undefined || running.run < placement.run) {
		ctx.stopOrphan(session, running.task, running.run);
		return false;
	}
	if (placement.run === running.run) noteRunning(ctx, session, placement, running);
	return true;
}

/** The placement of a run. Creates one if the run has none and may have one; undefined: it may not. */
function findOrCreatePlacement(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	task: jobs.Task,
	run: number,
): types.Placement | undefined {
	const known = session.placements.get(task.name);
	if (known !== undefined) return known;
	return isTaskOver(task) ? stopUnwanted(ctx, session, task, run) : adoptIfUnplaced(ctx, session, task, run);
}

function noteRunning(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	placement: types.Placement,
	running: fleet.RunningTask,
): void {
	const { task } = placement;
	const now = ctx.now();
	const hasProgressed = placement.percent !== running.percent || placement.phase === 'starting';
	placement.progressChangedAt = hasProgressed
		? now
		: session.excludeUnansweredTime(placement.progressChangedAt);
	placement.percent = running.percent;
	placement.reading = running.reading;
	if (placement.phase === 'starting') placement.phase = 'running';
	if (placement.confirmedAt === 0) {
		placement.confirmedAt = now;
		ctx.confirmed(placement);
	}
	if (running.checkpoint !== '') task.checkpoint = running.checkpoint;
}

/**
 * Stops a run of a task that is over. The run keeps its placement until it has exited; otherwise the worker would get more
 * work than it has capacity for.
 */
function stopUnwanted(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	task: jobs.Task,
	run: number,
): types.Placement {
	ctx.log.orphanedRun(session, task.name, run);
	const placement = session.place(task, run, 'running');
	ctx.stop(session, placement);
	return placement;
}

/** Whether the task needs no run any more. */
function isTaskOver(task: jobs.Task): boolean {
	return task.state === 'finished' || task.step.job.ended;
}

/**
 * Adopts a run that an earlier owner started, unless its task is placed elsewhere. A run older than the task's newest is
 * stopped before the next start.
 */
function adoptIfUnplaced(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	task: jobs.Task,
	run: number,
): types.Placement | undefined {
	if (ctx.sessionOf(task) !== undefined) return undefined;
	const newest = task.run;
	const placement = ctx.adopt(session, task, run);
	if (run >= newest) return placement;
	task.run = newest;
	ctx.log.orphanedRun(session, task.name, run);
	ctx.stop(session, placement);
	return placement;
}

/** Handles a placed run that a report lists neither as running nor as exited. */
function applyAbsence(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	placement: types.Placement,
	sentAt: number,
): void {
	// A report requested before the run was known to be there does not prove its absence.
	const wasThere = placement.confirmedAt > 0 && placement.confirmedAt < sentAt;
	const isStopped = placement.stopConfirmedAt > 0 && placement.stopConfirmedAt < sentAt;
	if (!wasThere && !isStopped) return;
	ctx.log.notListed(session, placement);
	session.free(placement);
	if (isTaskOver(placement.task)) return;
	ctx.exitedWithoutCrash(placement.task, placement.run);
	ctx.requeue(placement.task, session);
}
