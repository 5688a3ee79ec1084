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
	findRunning: (name: string) => jobs.Task | undefined;
	/** The worker on which a task is placed; undefined: it is not placed. */
	sessionOf: (task: jobs.Task) => sessions.WorkerSession | undefined;
	/** Makes a run found on a worker that task's current run. */
	adopt: (session: sessions.WorkerSession, task: jobs.Task, run: number) => types.Placement;
	/** Stops an orphaned run. */
	stopStray: (session: sessions.WorkerSession, task: string, run: number) => void;
	stop: (session: sessions.WorkerSession, placement: types.Placement) => void;
	finished: (task: jobs.Task) => void;
	failed: (session: sessions.WorkerSession, task: jobs.Task, run: number) => void;
	/** A run exited without crashing its worker. */
	survived: (task: jobs.Task, run: number) => void;
	/** A run exited and neither finished nor failed. */
	abandoned: () => void;
	/** The task runs nowhere and may be started again. */
	again: (task: jobs.Task) => void;
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
export function takeReport(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	report: fleet.WorkerReport,
	sentAt: number,
): ReportedJobs {
	const changed = new Set<jobs.ActiveJob>();
	const unstored = new Set<jobs.ActiveJob>();
	noteUnread(ctx, session, report);
	for (const end of report.ended) {
		const task = ctx.findTask(end.task);
		const job = task?.step.job;
		const isNew = end.seq > session.seenUpTo;
		if (job !== undefined && !job.endStored) {
			// An exit that was seen before may still wait to be stored.
			unstored.add(job);
			if (isNew) changed.add(job);
		}
		if (!isNew) continue;
		session.seenUpTo = end.seq;
		ctx.log.ended(session, end);
		if (end.how !== 'done' && end.how !== 'failed') ctx.abandoned();
		if (task !== undefined) takeEnd(ctx, session, task, end);
	}
	session.strays = report.running.filter((running) => !takeRunning(ctx, session, running)).length;
	if (report.hasMoreEnds) return { changed, unstored };
	const listed = new Set(report.running.map((one) => one.task));
	for (const placement of [...session.placements.values()])
		if (!listed.has(placement.task.name)) takeAbsence(ctx, session, placement, sentAt);
	return { changed, unstored };
}

/**
 * Applies only the runs of known tasks, for a report that also names unknown jobs. Serving tasks stay protected this way
 * even while the store can't tell what the unknown jobs are.
 */
export function takeKnownRuns(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	report: fleet.WorkerReport,
): void {
	for (const running of report.running) {
		const task = ctx.findRunning(running.task);
		if (task === undefined) continue;
		const at = ctx.sessionOf(task) ?? session;
		if (at === session) takeRunning(ctx, session, running);
	}
}

/**
 * Logs exits that were lost. Exits are numbered without gaps, so one that is missing between two reports was acknowledged
 * before this owner read it.
 */
function noteUnread(ctx: ReportContext, session: sessions.WorkerSession, report: fleet.WorkerReport): void {
	const first = report.ended[0];
	const isKnown = session.seenUpTo > 0;
	if (isKnown && first !== undefined && first.seq > session.seenUpTo + 1) ctx.log.unread(session, first);
}

function takeEnd(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	task: jobs.Task,
	end: fleet.RunEnd,
): void {
	const placement = session.placements.get(task.name);
	const current = placement?.run === end.run;
	if (placement !== undefined && current) session.free(placement);
	task.run = Math.max(task.run, end.run);
	if (isOver(task)) return;
	ctx.survived(task, end.run);
	if (end.how === 'failed') ctx.failed(session, task, end.run);
	if (end.how === 'done') {
		session.health.noteSuccess();
		if (!task.step.spec.lasting) {
			finish(ctx, task);
			return;
		}
	}
	if (end.checkpoint !== '') task.checkpoint = end.checkpoint;
	const elsewhere = ctx.sessionOf(task);
	if (elsewhere === undefined) ctx.again(task);
}

function finish(ctx: ReportContext, task: jobs.Task): void {
	const other = ctx.sessionOf(task);
	const placement = other?.placements.get(task.name);
	if (other !== undefined && placement !== undefined) ctx.stop(other, placement);
	ctx.finished(task);
}

/** Applies one running task of a report; false: the run has no placement and is being stopped. */
function takeRunning(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	running: fleet.RunningTask,
): boolean {
	const task = ctx.findRunning(running.task);
	const placement = task && placeOf(ctx, session, task, running.run);
	if (task === undefined || placement === undefined || running.run < placement.run) {
		ctx.stopStray(session, running.task, running.run);
		return false;
	}
	if (placement.run === running.run) noteRunning(ctx, session, placement, running);
	return true;
}

/** The placement of a run. Creates one if the run has none and may have one; undefined: it may not. */
function placeOf(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	task: jobs.Task,
	run: number,
): types.Placement | undefined {
	const known = session.placements.get(task.name);
	if (known !== undefined) return known;
	return isOver(task) ? stopUnwanted(ctx, session, task, run) : adoptable(ctx, session, task, run);
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
	placement.progressAt = hasProgressed ? now : session.withoutUnheard(placement.progressAt);
	placement.percent = running.percent;
	placement.reading = running.reading;
	if (placement.phase === 'starting') placement.phase = 'running';
	if (placement.confirmedAt === 0) placement.confirmedAt = now;
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
	ctx.log.stray(session, task.name, run);
	const placement = session.place(task, run, 'running');
	ctx.stop(session, placement);
	return placement;
}

/** Whether the task needs no run any more. */
function isOver(task: jobs.Task): boolean {
	return task.state === 'finished' || task.step.job.ended;
}

/**
 * Adopts a run that an earlier owner started, unless its task is placed elsewhere. A run older than the task's newest is
 * stopped before the next start.
 */
function adoptable(
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
	ctx.log.stray(session, task.name, run);
	ctx.stop(session, placement);
	return placement;
}

/** Handles a placed run that a report lists neither as running nor as exited. */
function takeAbsence(
	ctx: ReportContext,
	session: sessions.WorkerSession,
	placement: types.Placement,
	sentAt: number,
): void {
	// A report requested before the run was known to be there does not prove its absence.
	const wasThere = placement.confirmedAt > 0 && placement.confirmedAt < sentAt;
	const isStopped = placement.stoppedAt > 0 && placement.stoppedAt < sentAt;
	if (!wasThere && !isStopped) return;
	ctx.log.absent(session, placement);
	session.free(placement);
	if (isOver(placement.task)) return;
	ctx.survived(placement.task, placement.run);
	ctx.again(placement.task);
}
