/** The workers that the owner deals with: one session each, the roster in the store, and who was heard of. */
import * as clocks from '../clock.js';
import * as incarnations from '../fleet/incarnations.js';
import * as sessions from './worker-session.js';
import * as settings from './settings.js';
import type * as unconfirmed from './unconfirmed-runs.js';
import type * as fleet from '../fleet/types.js';
import type * as ledger from '../ledger/index.js';
import type * as types from './types.js';

/** A takeover that waits for workers is told of no more often than this, in milliseconds. */
const waitingLogIntervalMs = 1_000;

/** Workers named in one line, at most. */
const maxNamedWorkers = 5;

/** Lives whose runs in doubt are remembered, at most: some hundred bytes each; each has died with a start under way. */
const maxRememberedIncarnations = 10_000;

/** Settings of a pool. */
export interface WorkerPoolOptions extends types.SessionDeps {
	saveRoster: (roster: ledger.RosterEntry[]) => Promise<ledger.WriteOutcome>;
	handlers: types.ReportHandlers;
	/** More workers may take work. */
	onWorkersAvailable: () => void;
	/** Clock time by which all leases at a worker are over, where the owner before said so. */
	leaseEnds: ReadonlyMap<string, number>;
}

/** All workers under one owner. */
export class WorkerPool {
	private readonly workers = new Map<string, sessions.WorkerSession>();
	/** The lives of each name that may not be over, by name. */
	private readonly byName = new Map<string, readonly sessions.WorkerSession[]>();
	private readonly handlers: types.SessionHandlers;
	/** Workers that may still run what an earlier owner started. */
	private readonly unreconciled = new Set<sessions.WorkerSession>();
	/** Workers of earlier owners that have told what they run. */
	private readonly reportedWorkers = new Set<string>();
	/** Runs in doubt on lives that left the list and may come back, by worker. */
	private readonly doubtful = new Map<string, readonly unconfirmed.UnconfirmedRun[]>();
	private rosterDirty = false;
	private rosterSaving = false;
	private confirming = false;
	private closed = false;
	/** Clock time from which the next line about unsettled workers may be written. */
	private nextWaitingLogAt: number;

	private constructor(private readonly opts: WorkerPoolOptions) {
		this.nextWaitingLogAt = opts.clock.now() + waitingLogIntervalMs;
		this.handlers = {
			...opts.handlers,
			otherIncarnations: (session) => this.incarnationsOf(session.id).filter((one) => one !== session),
			onSuperseded: (session, later) => {
				this.openLaterIncarnation(session, later);
			},
		};
	}

	/** Opens a session with every worker that earlier owners used. */
	static create(opts: WorkerPoolOptions, roster: ledger.RosterEntry[]): WorkerPool {
		const pool = new WorkerPool(opts);
		const longestLeaseMs = opts.maxLeaseMs / (1 - settings.maxClockDrift);
		const inheritedLeasesEndAt =
			opts.clock.now() + settings.renewalHorizonMs + longestLeaseMs + settings.leaseMarginMs;
		for (const entry of roster) {
			const isEmpty = entry.tasks?.length === 0;
			const leasesEndAt = Math.min(inheritedLeasesEndAt, opts.leaseEnds.get(entry.id) ?? Infinity);
			const session = pool.open(entry, undefined, isEmpty ? -Infinity : leasesEndAt);
			session.hasOpenRosterEntry = entry.tasks === undefined;
			session.rosteredTasks = entry.tasks && new Set(entry.tasks);
			if (!session.isReconciled) pool.unreconciled.add(session);
		}
		return pool;
	}

	/** A worker's session by its id. */
	get(id: string): sessions.WorkerSession | undefined {
		return this.workers.get(id);
	}

	/** The lives of a worker that may not be over, by its name. */
	named(name: string): readonly sessions.WorkerSession[] {
		return this.byName.get(name) ?? [];
	}

	/** All sessions. */
	all(): sessions.WorkerSession[] {
		return [...this.workers.values()];
	}

	/** How many workers are listed in a zone, and how many runs are placed there. */
	inZone(zone: string): { workers: number; runs: number } {
		const there = this.listedIn(zone);
		return { workers: there.length, runs: there.reduce((sum, one) => sum + one.placements.size, 0) };
	}

	/** Ends that workers list and have not been let forget, and how long ago the oldest was first listed, in milliseconds. */
	exitLoad(): { listedEnds: number; oldestEndMs: number } {
		const now = this.opts.clock.now();
		let listedEnds = 0;
		let oldestEndMs = 0;
		for (const { unacknowledgedExits: exits } of this.workers.values()) {
			listedEnds += exits.count;
			oldestEndMs = Math.max(oldestEndMs, now - (exits.oldestAt ?? now));
		}
		return { listedEnds, oldestEndMs: Math.round(oldestEndMs) };
	}

	/** Whether nothing runs in a zone; what an earlier owner started at a worker that has not answered yet may. */
	isEmpty(zone: string): boolean {
		return this.listedIn(zone).every(
			(one) => one.isReconciled && one.placements.size === 0 && one.orphanedRunCount === 0,
		);
	}

	private listedIn(zone: string): sessions.WorkerSession[] {
		return this.all().filter((one) => one.entry?.zone === zone && !one.isSessionOver);
	}

	/** Whether every worker of earlier owners was heard of, or is proved to run nothing. */
	get isReconciled(): boolean {
		return this.unreconciled.size === 0;
	}

	/** Whether a run that an earlier owner started may be on any worker, unknown to this owner. */
	mayHaveUnreportedRun(task: string): boolean {
		for (const session of this.unreconciled) if (session.mayHaveUnreportedRun(task)) return true;
		return false;
	}

	/** The platform's list of workers, in part or whole; `removed`: names. */
	setWorkers(entries: Iterable<fleet.WorkerEntry>, removed: Iterable<string>, whole: boolean): void {
		const listed = new Set<sessions.WorkerSession>();
		for (const entry of entries) listed.add(this.updateWorker(entry));
		for (const name of removed) for (const one of this.named(name)) one.isUnlisted = true;
		if (whole) for (const one of this.workers.values()) if (!listed.has(one)) one.isUnlisted = true;
		if (this.rosterDirty) void this.saveRoster();
	}

	/** What went down with a dead worker is stored, or is nothing: no successor has to hear of that worker. */
	forget(session: sessions.WorkerSession): void {
		if (!session.hasEnded || this.workers.get(session.id) !== session) return;
		this.workers.delete(session.id);
		this.rosterDirty = true;
	}

	/** A life is proved over. */
	private removeIncarnation(session: sessions.WorkerSession): void {
		const name = incarnations.nameOf(session.id);
		const others = this.named(name).filter((one) => one !== session);
		if (others.length > 0) this.byName.set(name, others);
		else this.byName.delete(name);
	}

	/** A worker reported, or is proved to run nothing. */
	noteReconciled(session: sessions.WorkerSession): void {
		if (session.hasEnded) this.removeIncarnation(session);
		if (!this.unreconciled.delete(session)) return;
		if (!session.lostBeforeFirstReport) this.reportedWorkers.add(session.id);
		if (this.unreconciled.size === 0) this.opts.events.emit('takeover.settled', { epoch: this.opts.epoch });
	}

	/** Whether a worker of earlier owners has told what it runs. */
	hasReported(worker: string): boolean {
		return this.reportedWorkers.has(worker);
	}

	/** By worker that is silent, or has not answered yet: how long until every lease there is over, in milliseconds. None is given meanwhile. */
	withholdUnresponsiveLeases(): Record<string, number> {
		const unresponsive = this.all().filter((one) => one.shouldPublishLeaseEnd);
		return Object.fromEntries(unresponsive.map((one) => [one.id, one.withholdLease()]));
	}

	/** To be called now and then: silent workers lose what they held once their leases are over. */
	tick(): void {
		// After a suspension nothing is started until the epoch is shown in force, and the next question is due late.
		if (this.opts.epochConfirmedAt() <= this.opts.clock.resumedAt()) this.confirmEpoch();
		for (const session of this.all()) {
			if (session.checkLease()) this.confirmEpoch();
			// What it holds is asked last: it has to be gathered.
			const hasLeft = session.isUnlisted && !session.answering && session.isReconciled;
			if (hasLeft && session.tasksForSuccessor.length === 0) this.endUnlisted(session);
		}
		this.logUnreconciled();
		if (this.all().some(isRosterOutdated)) this.rosterDirty = true;
		if (this.rosterDirty) void this.saveRoster();
	}

	close(): void {
		this.closed = true;
		for (const session of this.workers.values()) session.close();
	}

	/** A life left the list and holds nothing. The list may be wrong, so what is in doubt there is kept for its return. */
	private endUnlisted(session: sessions.WorkerSession): void {
		if (session.unconfirmedRuns.hasAny) this.doubtful.set(session.id, session.unconfirmedRuns.all());
		const [oldestId] = this.doubtful.keys();
		if (oldestId !== undefined && this.doubtful.size > maxRememberedIncarnations)
			this.doubtful.delete(oldestId);
		session.end('it left the list and holds nothing');
	}

	/** Asks the store whether the epoch is in force, one question at a time. */
	private confirmEpoch(): void {
		if (this.confirming) return;
		this.confirming = true;
		void this.opts.confirmEpoch().finally(() => {
			this.confirming = false;
		});
	}

	/** Names the workers that hold up what was inherited. */
	private logUnreconciled(): void {
		const { clock, events, epoch } = this.opts;
		const now = clock.now();
		if (this.isReconciled || now < this.nextWaitingLogAt) return;
		this.nextWaitingLogAt = now + waitingLogIntervalMs;
		const ids = [...this.unreconciled].slice(0, maxNamedWorkers).map((session) => session.id);
		const leftMs = Math.max(...[...this.unreconciled].map((session) => session.leaseLeftMs));
		events.emit('takeover.waiting', {
			epoch,
			workers: this.unreconciled.size,
			named: ids.join(' '),
			leftMs: Math.round(leftMs),
		});
	}

	/** The platform lists a worker so; returns the life that it lists. */
	private updateWorker(entry: fleet.WorkerEntry): sessions.WorkerSession {
		const known = this.incarnationOf(entry);
		if (known !== undefined) {
			if (entry.draining && known.entry?.draining !== true) this.noteDrain(known, entry);
			if (entry.address !== known.target.address) this.rosterDirty = true;
			known.updateEntry({ ...entry, id: known.id });
			return known;
		}
		// A name has one entry: the lives before are listed no more, and only an answer tells that they are over.
		for (const other of this.incarnationsOf(entry.id)) other.isUnlisted = true;
		this.checkReusedAddress(entry);
		const session = this.open(entry, entry, -Infinity);
		if (entry.draining) this.noteDrain(session, entry);
		this.rosterDirty = true;
		return session;
	}

	/** The known life that an entry lists; one that does not tell its start lists whichever life answers. */
	private incarnationOf(entry: fleet.WorkerEntry): sessions.WorkerSession | undefined {
		const known = this.workers.get(entry.id);
		if (known?.hasEnded === false) return known;
		return incarnations.isStartKnown(entry.id)
			? undefined
			: this.incarnationsOf(entry.id).findLast((one) => !one.isSessionOver);
	}

	/**
	 * Addresses are used again before the entry of the life that ended there lapses: the list may name either of them last,
	 * and taking the living one for gone would start its tasks a second time. Only an answer tells.
	 */
	private checkReusedAddress(entry: fleet.WorkerEntry): void {
		const name = incarnations.nameOf(entry.id);
		for (const other of this.all())
			if (other.target.address === entry.address && incarnations.nameOf(other.id) !== name)
				void other.checkIncarnation();
	}

	private incarnationsOf(id: string): readonly sessions.WorkerSession[] {
		return this.named(incarnations.nameOf(id));
	}

	/**
	 * A life answered in place of another that was known before, so it is the later one. Its token has to be above the
	 * other's, which it may have seen. What it is like the list tells, unless lists don't tell lives apart.
	 */
	private openLaterIncarnation(earlier: sessions.WorkerSession, id: string): void {
		const known = this.workers.get(id);
		if (known?.hasEnded === false) {
			if (known.hasLowerTokenThan(earlier)) known.renewToken();
			return;
		}
		const { entry } = earlier;
		const isListed = entry !== undefined && !incarnations.isStartKnown(earlier.id);
		this.open({ id, address: earlier.target.address }, isListed ? { ...entry, id } : undefined, -Infinity);
		this.rosterDirty = true;
	}

	private noteDrain(session: sessions.WorkerSession, entry: fleet.WorkerEntry): void {
		const { clock, events } = this.opts;
		session.drainEndsAt = clock.now() + (entry.remainingMs ?? 0);
		events.emit('worker.draining', { worker: session.id, remainingMs: entry.remainingMs });
	}

	private open(
		target: fleet.WorkerTarget,
		entry: fleet.WorkerEntry | undefined,
		inheritedLeasesEndAt: number,
	): sessions.WorkerSession {
		const { id, address } = target;
		const session = sessions.WorkerSession.create(
			{ id, address },
			entry,
			this.opts,
			this.handlers,
			inheritedLeasesEndAt,
			this.doubtful.get(id),
		);
		this.doubtful.delete(id);
		this.workers.set(id, session);
		this.byName.set(incarnations.nameOf(id), [...this.incarnationsOf(id), session]);
		return session;
	}

	private async saveRoster(): Promise<void> {
		if (this.rosterSaving) return;
		this.rosterSaving = true;
		while (this.rosterDirty && !this.closed) {
			this.rosterDirty = false;
			const listed = this.all();
			const entries = listed.map(toRosterEntry);
			const outcome = await this.opts.saveRoster(entries);
			if (outcome === 'committed') {
				listed.forEach((session, index) => {
					session.rosteredTasks = entries[index]?.tasks && new Set(entries[index].tasks);
					session.hasOpenRosterEntry = session.rosteredTasks === undefined;
					session.allowLease();
				});
				this.opts.onWorkersAvailable();
				continue;
			}
			if (outcome === 'superseded') {
				this.opts.onFenced();
				break;
			}
			this.rosterDirty = true;
			await clocks.sleep(this.opts.clock, settings.commandRetryMs);
		}
		this.rosterSaving = false;
	}
}

/**
 * A worker's entry for the roster. One that gets no new work is closed: it names what may run there, so that a successor
 * has to wait for nothing else. From now on nothing is started there until the entry is open again.
 */
function toRosterEntry(session: sessions.WorkerSession): ledger.RosterEntry {
	if (session.hasEnded) return { ...session.target, tasks: session.lostTasks };
	if (session.shouldCloseRosterEntry) {
		session.hasOpenRosterEntry = false;
		return { ...session.target, tasks: session.tasksForSuccessor };
	}
	// Nothing new is known of a worker that has not answered yet.
	if (!session.isReconciled && session.rosteredTasks !== undefined)
		return { ...session.target, tasks: [...session.rosteredTasks] };
	return session.target;
}

/**
 * Whether a worker's stored entry should be closed, or opened again, or names many tasks that are not there any more; or
 * the roster has to change for the worker to get leases again.
 */
function isRosterOutdated(session: sessions.WorkerSession): boolean {
	const { rosteredTasks } = session;
	if (session.hasEnded) return false;
	if (session.answersWithoutLease) return true;
	if (!session.isReconciled) return false;
	if (session.shouldCloseRosterEntry !== (rosteredTasks !== undefined)) return true;
	// Not for each task that leaves it: as often as their number has halved.
	return rosteredTasks !== undefined && session.tasksForSuccessor.length < rosteredTasks.size / 2;
}
