/**
 * The workers of one owner: a session for each incarnation, the roster in the store, and which workers of earlier owners
 * have reported.
 */
import * as clocks from '../clock.js';
import * as lives from '../fleet/lives.js';
import * as sessions from './worker-session.js';
import * as settings from './settings.js';
import type * as doubts from './runs-in-doubt.js';
import type * as fleet from '../fleet/types.js';
import type * as ledger from '../ledger/index.js';
import type * as types from './types.js';

/** Minimum interval between log lines about a takeover that waits for workers, in milliseconds. */
const waitingLogGapMs = 1_000;

/** Maximum number of workers named in one log line. */
const mostNamed = 5;

/**
 * Maximum number of unlisted incarnations whose unconfirmed runs are remembered: a few hundred bytes each. Each of them
 * disappeared while a start to it was in flight.
 */
const mostDoubtful = 10_000;

/** Settings of a pool. */
export interface WorkerPoolOptions extends types.SessionDeps {
	saveRoster: (roster: ledger.RosterEntry[]) => Promise<ledger.WriteOutcome>;
	handlers: types.ReportHandlers;
	/** Called when more workers may take work. */
	onOpened: () => void;
	/** Clock time by which all leases at a worker have expired, by worker, where the previous owner published it. */
	leaseEnds: ReadonlyMap<string, number>;
}

/** All workers under one owner. */
export class WorkerPool {
	private readonly workers = new Map<string, sessions.WorkerSession>();
	/** The incarnations that have not been proved to have ended, by worker name. */
	private readonly byName = new Map<string, readonly sessions.WorkerSession[]>();
	private readonly handlers: types.SessionHandlers;
	/** Workers that may still run what an earlier owner started, unknown to this one. */
	private readonly unsettled = new Set<sessions.WorkerSession>();
	/** Ids of workers of earlier owners that have reported what they run. */
	private readonly answered = new Set<string>();
	/** Unconfirmed runs on incarnations that left the list and may come back, by worker id. */
	private readonly doubtful = new Map<string, readonly doubts.RunInDoubt[]>();
	private rosterDirty = false;
	private rosterSaving = false;
	private confirming = false;
	private closed = false;
	/** Clock time from which the next log line about unreconciled workers may be written. */
	private nextWaitingLogAt: number;

	private constructor(private readonly opts: WorkerPoolOptions) {
		this.nextWaitingLogAt = opts.clock.now() + waitingLogGapMs;
		this.handlers = {
			...opts.handlers,
			otherLives: (session) => this.livesOf(session.id).filter((one) => one !== session),
			onSuperseded: (session, later) => {
				this.meet(session, later);
			},
		};
	}

	/** Opens a session with every worker that earlier owners used. */
	static create(opts: WorkerPoolOptions, roster: ledger.RosterEntry[]): WorkerPool {
		const pool = new WorkerPool(opts);
		const longest = opts.maxLeaseMs / (1 - settings.clockSlowness);
		const inheritedUntil = opts.clock.now() + settings.renewalHorizonMs + longest + settings.leaseMarginMs;
		for (const entry of roster) {
			const isEmpty = entry.tasks?.length === 0;
			const until = Math.min(inheritedUntil, opts.leaseEnds.get(entry.id) ?? Infinity);
			const session = pool.open(entry, undefined, isEmpty ? -Infinity : until);
			session.rostered = entry.tasks === undefined;
			session.rosteredTasks = entry.tasks && new Set(entry.tasks);
			if (!session.settled) pool.unsettled.add(session);
		}
		return pool;
	}

	/** A worker's session by its id. */
	get(id: string): sessions.WorkerSession | undefined {
		return this.workers.get(id);
	}

	/** The incarnations of a worker name that have not been proved to have ended. */
	named(name: string): readonly sessions.WorkerSession[] {
		return this.byName.get(name) ?? [];
	}

	all(): sessions.WorkerSession[] {
		return [...this.workers.values()];
	}

	/** Number of workers listed in a zone, and number of runs placed there. */
	inZone(zone: string): { workers: number; runs: number } {
		const there = this.listedIn(zone);
		return { workers: there.length, runs: there.reduce((sum, one) => sum + one.placements.size, 0) };
	}

	/**
	 * Number of exits that workers list and that have not been acknowledged, and time since the oldest was first listed, in
	 * milliseconds.
	 */
	listedEnds(): { listedEnds: number; oldestEndMs: number } {
		const now = this.opts.clock.now();
		let listedEnds = 0;
		let oldestEndMs = 0;
		for (const { listed } of this.workers.values()) {
			listedEnds += listed.count;
			oldestEndMs = Math.max(oldestEndMs, now - (listed.oldestAt ?? now));
		}
		return { listedEnds, oldestEndMs: Math.round(oldestEndMs) };
	}

	/**
	 * Whether nothing runs in a zone. False while a worker there may run what an earlier owner started and has not reported
	 * it.
	 */
	isEmpty(zone: string): boolean {
		return this.listedIn(zone).every((one) => one.settled && one.placements.size === 0 && one.strays === 0);
	}

	private listedIn(zone: string): sessions.WorkerSession[] {
		return this.all().filter((one) => one.entry?.zone === zone && !one.isOver);
	}

	/** Whether every worker of earlier owners has reported, or is proved to run nothing. */
	get settled(): boolean {
		return this.unsettled.size === 0;
	}

	/** Whether a run of the task that an earlier owner started may be on any worker, unknown to this owner. */
	mayHide(task: string): boolean {
		for (const session of this.unsettled) if (session.mayHide(task)) return true;
		return false;
	}

	/**
	 * Takes in the platform's list of workers, in part or `whole`; `removed`: names of workers that are not listed any more.
	 */
	setWorkers(entries: Iterable<fleet.WorkerEntry>, removed: Iterable<string>, whole: boolean): void {
		const listed = new Set<sessions.WorkerSession>();
		for (const entry of entries) listed.add(this.setWorker(entry));
		for (const name of removed) for (const one of this.named(name)) one.unlisted = true;
		if (whole) for (const one of this.workers.values()) if (!listed.has(one)) one.unlisted = true;
		if (this.rosterDirty) void this.saveRoster();
	}

	/**
	 * Drops an incarnation that has ended. The losses that it caused are stored, or there were none, so no successor has to
	 * know of it.
	 */
	forget(session: sessions.WorkerSession): void {
		if (!session.gone || this.workers.get(session.id) !== session) return;
		this.workers.delete(session.id);
		this.rosterDirty = true;
	}

	/** Removes an incarnation that is proved to have ended from those of its name. */
	private bury(session: sessions.WorkerSession): void {
		const name = lives.nameOf(session.id);
		const others = this.named(name).filter((one) => one !== session);
		if (others.length > 0) this.byName.set(name, others);
		else this.byName.delete(name);
	}

	/** Notes that a worker has reported, or is proved to run nothing. */
	heard(session: sessions.WorkerSession): void {
		if (session.gone) this.bury(session);
		if (!this.unsettled.delete(session)) return;
		if (!session.lostUnheard) this.answered.add(session.id);
		if (this.unsettled.size === 0) this.opts.events.emit('takeover.settled', { epoch: this.opts.epoch });
	}

	/** Whether a worker of earlier owners has reported what it runs. */
	hasAnswered(worker: string): boolean {
		return this.answered.has(worker);
	}

	/**
	 * For each worker that is unresponsive or has not reported yet: time until every lease there has expired, in
	 * milliseconds, by worker id. None is granted from then on.
	 */
	withholdSilent(): Record<string, number> {
		const stated = this.all().filter((one) => one.isLeaseStated);
		return Object.fromEntries(stated.map((one) => [one.id, one.withholdLease()]));
	}

	/** Called periodically. Unresponsive workers lose what they held once their leases have expired. */
	tick(): void {
		// After a suspension nothing is started until the epoch is confirmed, and the next regular confirmation is far off.
		if (this.opts.confirmedAt() <= this.opts.clock.resumedAt()) this.confirm();
		for (const session of this.all()) {
			if (session.checkLease()) this.confirm();
			// `tasksForSuccessor` is checked last, as it is costly to compute.
			const hasLeft = session.unlisted && !session.answering && session.settled;
			if (hasLeft && session.concerned.length === 0) this.dismiss(session);
		}
		this.logUnsettled();
		if (this.all().some(isRosterOutdated)) this.rosterDirty = true;
		if (this.rosterDirty) void this.saveRoster();
	}

	close(): void {
		this.closed = true;
		for (const session of this.workers.values()) session.close();
	}

	/**
	 * Ends the session with an incarnation that left the list and holds nothing. The list may be wrong, so its unconfirmed
	 * runs are kept for its return.
	 */
	private dismiss(session: sessions.WorkerSession): void {
		if (session.inDoubt.any) this.doubtful.set(session.id, session.inDoubt.all());
		const [oldest] = this.doubtful.keys();
		if (oldest !== undefined && this.doubtful.size > mostDoubtful) this.doubtful.delete(oldest);
		session.end('it is no longer listed and holds nothing');
	}

	/** Asks the store whether the epoch is still in force, one call at a time. */
	private confirm(): void {
		if (this.confirming) return;
		this.confirming = true;
		void this.opts.confirm().finally(() => {
			this.confirming = false;
		});
	}

	/** Logs the workers that delay the reconciliation of inherited tasks. */
	private logUnsettled(): void {
		const { clock, events, epoch } = this.opts;
		const now = clock.now();
		if (this.settled || now < this.nextWaitingLogAt) return;
		this.nextWaitingLogAt = now + waitingLogGapMs;
		const ids = [...this.unsettled].slice(0, mostNamed).map((session) => session.id);
		const leftMs = Math.max(...[...this.unsettled].map((session) => session.leaseLeftMs));
		events.emit('takeover.waiting', {
			epoch,
			workers: this.unsettled.size,
			named: ids.join(' '),
			leftMs: Math.round(leftMs),
		});
	}

	/** Takes in one entry of the platform's list. Returns the session with the incarnation that it lists. */
	private setWorker(entry: fleet.WorkerEntry): sessions.WorkerSession {
		const known = this.lifeOf(entry);
		if (known !== undefined) {
			if (entry.draining && known.entry?.draining !== true) this.noteDrain(known, entry);
			if (entry.address !== known.target.address) this.rosterDirty = true;
			known.list({ ...entry, id: known.id });
			return known;
		}
		// A name has one entry, so earlier incarnations are not listed any more. Only an answer proves that they have ended.
		for (const other of this.livesOf(entry.id)) other.unlisted = true;
		this.checkAddress(entry);
		const session = this.open(entry, entry, -Infinity);
		if (entry.draining) this.noteDrain(session, entry);
		this.rosterDirty = true;
		return session;
	}

	/** The known incarnation that an entry lists. An entry without a start time lists whichever incarnation answers. */
	private lifeOf(entry: fleet.WorkerEntry): sessions.WorkerSession | undefined {
		const known = this.workers.get(entry.id);
		if (known?.gone === false) return known;
		return lives.isBornKnown(entry.id) ? undefined : this.livesOf(entry.id).findLast((one) => !one.isOver);
	}

	/**
	 * Checks the other workers known at the address of an entry. An address may be reused before the entry of the
	 * incarnation that ended there expires, so the list may name either of them last. To presume that the living one has
	 * ended would start its tasks a second time, so only an answer counts as proof.
	 */
	private checkAddress(entry: fleet.WorkerEntry): void {
		const name = lives.nameOf(entry.id);
		for (const other of this.all())
			if (other.target.address === entry.address && lives.nameOf(other.id) !== name) void other.checkLife();
	}

	private livesOf(id: string): readonly sessions.WorkerSession[] {
		return this.named(lives.nameOf(id));
	}

	/**
	 * Handles an answer from another incarnation than the one known before, so the one that answers is the later. Its token
	 * has to be above the earlier one's, which it may have seen. The list describes it, unless lists do not tell
	 * incarnations apart: then the earlier one's entry applies.
	 */
	private meet(before: sessions.WorkerSession, id: string): void {
		const known = this.workers.get(id);
		if (known?.gone === false) {
			if (known.isBelow(before)) known.renewToken();
			return;
		}
		const { entry } = before;
		const isListed = entry !== undefined && !lives.isBornKnown(before.id);
		this.open({ id, address: before.target.address }, isListed ? { ...entry, id } : undefined, -Infinity);
		this.rosterDirty = true;
	}

	private noteDrain(session: sessions.WorkerSession, entry: fleet.WorkerEntry): void {
		const { clock, events } = this.opts;
		session.endsAt = clock.now() + (entry.remainingMs ?? 0);
		events.emit('worker.draining', { worker: session.id, remainingMs: entry.remainingMs });
	}

	private open(
		target: fleet.WorkerTarget,
		entry: fleet.WorkerEntry | undefined,
		inheritedUntil: number,
	): sessions.WorkerSession {
		const { id, address } = target;
		const session = sessions.WorkerSession.create(
			{ id, address },
			entry,
			this.opts,
			this.handlers,
			inheritedUntil,
			this.doubtful.get(id),
		);
		this.doubtful.delete(id);
		this.workers.set(id, session);
		this.byName.set(lives.nameOf(id), [...this.livesOf(id), session]);
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
					session.rostered = session.rosteredTasks === undefined;
					session.releaseLease();
				});
				this.opts.onOpened();
				continue;
			}
			if (outcome === 'superseded') {
				this.opts.onFenced();
				break;
			}
			this.rosterDirty = true;
			await clocks.sleep(this.opts.clock, settings.orderRetryMs);
		}
		this.rosterSaving = false;
	}
}

/**
 * A worker's entry for the roster. The entry of a worker that gets no new work is closed: it names what may run there, so
 * that a successor has to wait for nothing else. From then on nothing is started there until the entry is open again.
 */
function toRosterEntry(session: sessions.WorkerSession): ledger.RosterEntry {
	if (session.gone) return { ...session.target, tasks: session.lostTasks };
	if (session.withdrawn) {
		session.rostered = false;
		return { ...session.target, tasks: session.concerned };
	}
	// Nothing new is known of a worker that has not reported yet.
	if (!session.settled && session.rosteredTasks !== undefined)
		return { ...session.target, tasks: [...session.rosteredTasks] };
	return session.target;
}

/**
 * Whether a worker's stored entry has to be closed or opened, or names many tasks that are not there any more, or has to be
 * written for the worker to get leases again.
 */
function isRosterOutdated(session: sessions.WorkerSession): boolean {
	const { rosteredTasks } = session;
	if (session.gone) return false;
	if (session.lacksLease) return true;
	if (!session.settled) return false;
	if (session.withdrawn !== (rosteredTasks !== undefined)) return true;
	// Rewritten when the number of its tasks has halved, not for each task that leaves.
	return rosteredTasks !== undefined && session.concerned.length < rosteredTasks.size / 2;
}
