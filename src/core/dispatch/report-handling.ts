/** What a worker's report changes: runs that go on, runs that ended, and runs that nobody wants. */
import * as jobs from '../jobs/index.js';
import type * as fleet from '../fleet/types.js';
import type * as reportLog from './report-log.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** The dispatcher's part in taking in a report. */
export interface ReportContext {
	now: () => number;
	findTask: (name: string) => jobs.Task | undefined;
	/** The task of a run that is there, also of a job that has long ended. */
	findTaskOfRun: (name: string) => jobs.Task | undefined;
	/** Where a task is placed. */
	sessionOf: (task: jobs.Task) => sessions.WorkerSession | undefined;
	/** A run found on a worker is that task's run from now on. */
	adopt: (session: sessions.WorkerSession, task: jobs.Task, run: number) => types.Placement;
	/** Stops a run that nobody wants, of a task that is not known. */
	stopOrphan: (session: sessions.WorkerSession, task: string, run: number) => void;
	stop: (session: sessions.WorkerSession, placement: types.Placement) => void;
	finished: (task: jobs.Task) => void;
	failed: (session: sessions.WorkerSession, task: jobs.Task, run: number) => void;
	/** A run is over, and its worker lives. */
	exitedWithoutCrash: (task: jobs.Task, run: number) => void;
	/** A run ended and neither finished nor failed. */
	abandoned: () => void;
	/** The task runs nowhere and may be started again. */
	requeue: (task: jobs.Task) => void;
	log: reportLog.ReportLog;
}

/** Jobs that a report is about. */
export interface ReportedJobs {
	/** Their progress has changed by it. */
	changed: Set<jobs.ActiveJob>;
	/** It lists ends of them that may not be stored yet; those that have changed are among them. */
	unstored: Set<jobs.ActiveJob>;
}

/** Takes in a report. */
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
			// An end that was seen before may still wait to be stored.
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
 * Takes in the runs of tasks that are known, of a report that names unknown jobs as well: what serves users is protected
 * though the store does not say what those are.
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

/** Ends are numbered without gaps, so one that is missing between two reports was forgotten before anybody read it. */
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
		if (!task.step.spec.lasting) {
			finishTask(ctx, task);
			return;
		}
	}
	if (exit.checkpoint !== '') task.checkpoint = exit.checkpoint;
	const otherSession = ctx.sessionOf(task);
	if (otherSession === undefined) ctx.requeue(task);
}

function finishTask(ctx: ReportContext, task: jobs.Task): void {
	const other = ctx.sessionOf(task);
	const placement = other?.placements.get(task.name);
	if (other !== undefined && placement !== undefined) ctx.stop(other, placement);
	ctx.finished(task);
}

/** Takes in one run that is there; false: it is stopped, and has no place. */
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

/** The place of a run, taken now if it has none and may have one. */
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
	if (placement.confirmedAt === 0) placement.confirmedAt = now;
	if (running.checkpoint !== '') task.checkpoint = running.checkpoint;
}

/** Stops a run of a task that is over. It keeps its place until it has ended, or the worker would be filled again. */
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

/** Whether no run of the task is wanted any more. */
function isTaskOver(task: jobs.Task): boolean {
	return task.state === 'finished' || task.step.job.ended;
}

/** A run that an earlier owner started, unless its task is placed elsewhere; an old one is stopped before the next start. */
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

/** A run that a report does not list, neither as running nor as ended. */
function applyAbsence(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	placement: types.Placement,
	sentAt: number,
): void {
	// A report asked for before the run was known to be there says nothing about it.
	const wasThere = placement.confirmedAt > 0 && placement.confirmedAt < sentAt;
	const isStopped = placement.stopConfirmedAt > 0 && placement.stopConfirmedAt < sentAt;
	if (!wasThere && !isStopped) return;
	ctx.log.notListed(session, placement);
	session.free(placement);
	if (isTaskOver(placement.task)) return;
	ctx.exitedWithoutCrash(placement.task, placement.run);
	ctx.requeue(placement.task);
}
