/** Sends starts and stops, and follows each until it is known what became of it. */
import * as clocks from '../clock.js';
import * as freeCapacity from './free-capacity.js';
import * as settings from './settings.js';
import * as windows from './start-window.js';
import type * as meters from './load-meter.js';
import type * as events from '../events/index.js';
import type * as fleet from '../fleet/types.js';
import type * as results from '../result.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** What comes before a start, and what it came to. */
export interface StarterHandlers {
	/** Resolves once the start may be sent, as a successor could know of it; undefined: there is nothing to wait for. */
	beforeStart: (session: sessions.WorkerSession, placement: types.Placement) => Promise<void> | undefined;
	/** What of the platform has not been read lately, so that nothing may be started by it; undefined: all has been. */
	unreadList: () => types.UnreadList | undefined;
	/** Another start may be sent. */
	onStartSlotFree: () => void;
	/** The run is known to be there. */
	onStarted: (placement: types.Placement) => void;
	/** A start was not sent, as its place is not what it was; it is free again. */
	onWithdrawn: (session: sessions.WorkerSession, placement: types.Placement, reason: string) => void;
	/** The run is known never to start; its place is free again. */
	onNotStarted: (
		session: sessions.WorkerSession,
		placement: types.Placement,
		err: fleet.WorkerFailure,
	) => void;
}

/** Orders to workers. */
export class Starter {
	private readonly window: windows.StartWindow;

	private constructor(
		private readonly deps: types.DispatchDeps,
		private readonly meter: meters.LoadMeter,
		private readonly handlers: StarterHandlers,
	) {
		this.window = windows.StartWindow.create(() => deps.clock.now());
	}

	static create(deps: types.DispatchDeps, meter: meters.LoadMeter, handlers: StarterHandlers): Starter {
		return new Starter(deps, meter, handlers);
	}

	/** How many more starts may be on their way now. */
	get room(): number {
		return this.window.free;
	}

	/** How many starts may be on their way, and how many are. */
	get startsInFlight(): { limit: number; count: number } {
		return this.window.state;
	}

	/** Starts a placed run. The same run is repeated while there is no answer: a worker starts it once. */
	async start(session: sessions.WorkerSession, placement: types.Placement, ticket = ''): Promise<void> {
		const stored = this.handlers.beforeStart(session, placement);
		// What waits for the store is not on its way: short tasks need no store, and go on in its outages.
		if (stored !== undefined) await stored;
		const slot = this.window.take();
		try {
			await this.startWithSlot(slot, session, placement, ticket);
		} finally {
			this.releaseSlot(slot);
		}
	}

	/** A start takes up no more room. */
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
		const reason = this.startObstacle(session, placement);
		if (reason !== undefined) {
			session.free(placement);
			this.handlers.onWithdrawn(session, placement, reason);
			return;
		}
		// One lease for all tries: each grant puts off the time by which a silent worker's tasks have ended.
		const leaseUntil = session.grantLease();
		if (leaseUntil === undefined) {
			this.handleNotStarted(session, placement, { kind: 'too-late' });
			return;
		}
		this.meter.count('starts');
		placement.startSentAt = this.deps.clock.now();
		session.lastStartSentAt = placement.startSentAt;
		for (let tries = 0; tries < settings.maxStartAttempts; tries += 1) {
			const { target } = session;
			const stamp = session.stamp();
			const res = await this.deps.calls.start(target, {
				task: placement.task.name,
				run: placement.run,
				text: placement.task.step.job.record.text,
				token: stamp.token,
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
			const isFirst = tries === 0;
			// Another life turned it away, so it was not what ended the life that it was meant for.
			if (isFirst && res.err.kind === 'other-life') placement.startSentAt = undefined;
			if (session.ended(res.err, target, stamp)) return;
			if (res.err.kind !== 'no-answer') {
				// After a try without an answer no refusal proves that the run is not there, or does not come yet.
				if (!isFirst) break;
				this.handleNotStarted(session, placement, res.err);
				return;
			}
			await clocks.sleep(this.deps.clock, settings.commandRetryMs);
			if (!isStartPending(session, placement)) return;
			if (this.startObstacle(session, placement) !== undefined) break;
		}
		// It may be there, or come later: a stop that is acknowledged settles it.
		await this.stop(session, placement);
	}

	/**
	 * Why a start may not be sent any more, though its place was taken: it may have waited for the store, or been sent once
	 * without an answer, and the worker may have begun to drain or lost room since.
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

	/** Stops a run, and logs why; `more`: what else the log line tells. */
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

	/** Stops a run; repeated until the worker acknowledges it or the place is free for another reason. */
	async stop(session: sessions.WorkerSession, placement: types.Placement): Promise<void> {
		if (placement.phase === 'stopping') return;
		placement.phase = 'stopping';
		while (isPlaced(session, placement)) {
			const { task, run } = placement;
			const { target } = session;
			const stamp = session.stamp();
			const res = await this.deps.calls.stop(target, task.name, run, stamp.token);
			if (res.ok) {
				session.noteAnswer(res.value);
				placement.stopConfirmedAt = this.deps.clock.now();
				return;
			}
			if (session.ended(res.err, target, stamp)) return;
			await clocks.sleep(this.deps.clock, settings.commandRetryMs);
		}
	}

	/** After its first try a start is answered, or its worker is silent: neither is on its way any more. */
	private noteFirstAttempt(slot: windows.StartSlot, res: results.Result<unknown, fleet.WorkerFailure>): void {
		if (!res.ok && res.err.kind === 'no-answer') {
			this.releaseSlot(slot);
			return;
		}
		this.window.noteAnswered(slot);
		this.meter.count('answers');
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

/** Whether a start is still wanted, and not known to have been carried out. */
function isStartPending(session: sessions.WorkerSession, placement: types.Placement): boolean {
	return placement.phase === 'starting' && isPlaced(session, placement);
}

/** Whether a run may still be there. What another life has of it is known by that one's report. */
function isPlaced(session: sessions.WorkerSession, placement: types.Placement): boolean {
	return !session.isSessionOver && session.placements.get(placement.task.name) === placement;
}
