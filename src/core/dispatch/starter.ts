/** Sends starts and stops, and follows each until its outcome is known. */
import * as clocks from '../clock.js';
import * as failures from '../fleet/failures.js';
import * as freeCapacity from './free-capacity.js';
import * as settings from './settings.js';
import * as windows from './start-window.js';
import type * as meters from './load-meter.js';
import type * as events from '../events/index.js';
import type * as fleet from '../fleet/types.js';
import type * as results from '../result.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Callbacks before a start and on its outcome. */
export interface StarterHandlers {
	/** Resolves once the start may be sent, as a successor could learn of it; undefined: it may be sent at once. */
	beforeStart: (session: sessions.WorkerSession, placement: types.Placement) => Promise<void> | undefined;
	/**
	 * The platform's list that has not been read recently, so that nothing may be started by it; undefined: all have been.
	 */
	unreadList: () => types.UnreadList | undefined;
	/** Another start may be sent. */
	onStartSlotFree: () => void;
	/** The run is known to be on its worker. */
	onStarted: (placement: types.Placement) => void;
	/** A start was not sent, as its worker no longer permits it; the placement is freed. */
	onWithdrawn: (session: sessions.WorkerSession, placement: types.Placement, reason: string) => void;
	/** The run is known never to start; its placement is freed. */
	onNotStarted: (
		session: sessions.WorkerSession,
		placement: types.Placement,
		err: fleet.WorkerFailure,
	) => void;
	/** A start is given up without knowing whether its run is there; the run is being stopped. */
	onGivenUp: (placement: types.Placement) => void;
}

/** What a starter depends on. */
export type StarterDeps = types.DispatchDeps & Pick<types.SessionDeps, 'takeover'>;

/** Sends start and stop commands to workers. */
export class Starter {
	private readonly window: windows.StartWindow;

	private constructor(
		private readonly deps: StarterDeps,
		private readonly meter: meters.LoadMeter,
		private readonly handlers: StarterHandlers,
	) {
		this.window = windows.StartWindow.create(() => deps.clock.now());
	}

	static create(deps: StarterDeps, meter: meters.LoadMeter, handlers: StarterHandlers): Starter {
		return new Starter(deps, meter, handlers);
	}

	/** Number of further starts that may be sent. */
	get room(): number {
		return this.window.free;
	}

	/** The limit of starts in flight, and their number. */
	get startsInFlight(): { limit: number; count: number } {
		return this.window.state;
	}

	/** Starts a placed run. The same start is repeated while there is no answer: a worker starts a run once. */
	async start(session: sessions.WorkerSession, placement: types.Placement, ticket = ''): Promise<void> {
		const stored = this.handlers.beforeStart(session, placement);
		// A start that waits for the store takes no slot: short tasks need no store, and continue during its outages.
		if (stored !== undefined) await stored;
		const slot = this.window.take();
		try {
			await this.startWithSlot(slot, session, placement, ticket);
		} finally {
			this.releaseSlot(slot);
		}
	}

	/** Frees the slot of a start. */
	private releaseSlot(slot: windows.StartSlot): void {
		this.window.release(slot);
		this.handlers.onStartSlotFree();
	}

	private async startWithSlot(
		slot: windows.StartSlot,
		session: sessions.WorkerSession,
		placement: types.Placement,
		ticket: string,
	): Promise<void> {
		if (!isStartPending(session, placement)) return;
		const reason = this.startObstacle(session, placement) ?? this.deps.takeover?.leaseObstacle(session);
		if (reason !== undefined) {
			session.free(placement);
			this.handlers.onWithdrawn(session, placement, reason);
			return;
		}
		// One lease for all attempts: each grant delays the time by which an unresponsive worker's tasks have ended.
		const leaseUntil = session.grantLeaseForStart();
		if (leaseUntil === undefined) {
			this.handleNotStarted(session, placement, { kind: 'too-late' });
			return;
		}
		this.meter.count('starts');
		placement.startSentAt = this.deps.clock.now();
		session.lastStartSentAt = placement.startSentAt;
		for (let tries = 0; tries < settings.maxStartAttempts; tries += 1) {
			const call = session.newCall();
			const res = await this.deps.calls.start(call.target, {
				task: placement.task.name,
				run: placement.run,
				text: placement.task.step.job.record.text,
				token: call.token,
				leaseUntil,
				checkpoint: placement.task.checkpoint,
				ticket,
				mayRetry: () =>
					isStartPending(session, placement) && this.startObstacle(session, placement) === undefined,
			});
			if (tries === 0) this.noteFirstAttempt(slot, res);
			if (!isPlaced(session, placement)) return;
			if (res.ok) {
				session.noteAnswer(res.value);
				this.markStarted(session, placement);
				return;
			}
			const { err } = res;
			const isFirst = tries === 0;
			// Another incarnation refused the start, so it did not crash the incarnation for which it was meant.
			if (isFirst && err.kind === 'other-life') placement.startSentAt = undefined;
			if (session.ended(err, call)) return;
			// After an attempt without an answer, no refusal proves that the run is not there or will not arrive.
			if (isFirst && failures.isNotCarriedOut(err)) {
				this.handleNotStarted(session, placement, err);
				return;
			}
			if (err.kind === 'in-doubt') this.logInDoubt(session, placement, err.refusal);
			if (!mayTakeNextAttempt(err)) break;
			await clocks.sleep(this.deps.clock, settings.commandRetryMs);
			if (!isStartPending(session, placement)) return;
			if (this.startObstacle(session, placement) !== undefined) break;
		}
		// The run may be there or arrive later; an acknowledged stop makes sure that it does not run.
		const stopping = this.stop(session, placement);
		this.handlers.onGivenUp(placement);
		await stopping;
	}

	/**
	 * Why a start may not be sent any more, though its placement was reserved; undefined: it may. The start may have waited
	 * for the store, or been sent once without an answer, and the worker may have begun to drain or lost capacity since.
	 */
	private startObstacle(session: sessions.WorkerSession, placement: types.Placement): string | undefined {
		const { runOnProbation } = session;
		if (!session.hasReportedUnderToken) return 'unheard';
		if (session.leaving) return 'leaving';
		if (freeCapacity.isOverCapacity(session)) return 'room-shrunk';
		if (runOnProbation !== undefined && runOnProbation !== placement) return 'probation';
		if (session.isInEvacuatedZone) return 'zone-evacuated';
		return this.handlers.unreadList();
	}

	/** Stops a run and logs the reason. `extraFields`: further fields of the log line. */
	stopFor(
		reason: string,
		session: sessions.WorkerSession,
		placement: types.Placement,
		extraFields: events.EventFields = {},
	): void {
		this.deps.events.emit('task.stop', {
			task: placement.task.name,
			worker: session.id,
			reason,
			...extraFields,
		});
		void this.stop(session, placement);
	}

	/** Stops a run; repeats the command until the worker acknowledges it or the placement is freed for another reason. */
	async stop(session: sessions.WorkerSession, placement: types.Placement): Promise<void> {
		if (placement.phase === 'stopping') return;
		placement.phase = 'stopping';
		while (isPlaced(session, placement)) {
			const { task, run } = placement;
			const call = session.newCall();
			const res = await this.deps.calls.stop(call.target, task.name, run, call.token);
			if (res.ok) {
				session.noteAnswer(res.value);
				placement.stopConfirmedAt = this.deps.clock.now();
				return;
			}
			if (session.ended(res.err, call)) return;
			await clocks.sleep(this.deps.clock, settings.commandRetryMs);
		}
	}

	/**
	 * After its first attempt a start is answered, or its worker is unresponsive: in both cases it is not in flight any
	 * more.
	 */
	private noteFirstAttempt(slot: windows.StartSlot, res: results.Result<unknown, fleet.WorkerFailure>): void {
		if (!res.ok && res.err.kind === 'no-answer') {
			this.releaseSlot(slot);
			return;
		}
		this.window.noteAnswered(slot);
		this.meter.count('answers');
	}

	private logInDoubt(
		session: sessions.WorkerSession,
		{ task, run }: types.Placement,
		refusal: fleet.WorkerFailure,
	): void {
		this.deps.events.emit('start.in-doubt', {
			task: task.name,
			run,
			worker: session.id,
			reason: refusal.kind,
		});
	}

	private markStarted(session: sessions.WorkerSession, placement: types.Placement): void {
		if (placement.phase === 'starting') placement.phase = 'running';
		placement.confirmedAt = this.deps.clock.now();
		session.neighboursChangedAt = placement.confirmedAt;
		this.handlers.onStarted(placement);
	}

	private handleNotStarted(
		session: sessions.WorkerSession,
		placement: types.Placement,
		err: fleet.WorkerFailure,
	): void {
		session.free(placement);
		this.handlers.onNotStarted(session, placement, err);
	}
}

/** Whether another attempt may find the run there, or start it. */
function mayTakeNextAttempt(err: fleet.WorkerFailure): boolean {
	if (err.kind === 'no-answer') return true;
	return err.kind === 'in-doubt' && (err.refusal.kind === 'refused' || err.refusal.kind === 'no-room');
}

/** Whether a start is still wanted and not known to have been carried out. */
function isStartPending(session: sessions.WorkerSession, placement: types.Placement): boolean {
	return placement.phase === 'starting' && isPlaced(session, placement);
}

/** Whether a run may still be there. Runs of another incarnation are known by that one's report. */
function isPlaced(session: sessions.WorkerSession, placement: types.Placement): boolean {
	return !session.isSessionOver && session.placements.get(placement.task.name) === placement;
}
