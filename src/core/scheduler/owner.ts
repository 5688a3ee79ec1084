/**
 * The task that owns one shard: it takes requests and workers' reports, decides, stores the decisions as one entry,
 * and only then replies and gives orders. One append is in flight at a time; whatever arrives meanwhile rides in the
 * next one (group commit). docs/decisions/0002-shard-log.md weighs it against one write a decision.
 */
import * as clocks from '../clock.js';
import * as errors from '../errors/index.js';
import * as results from '../result.js';
import * as shards from '../shard/index.js';
import * as boxes from './boxes.js';
import * as commands from './commands.js';
import * as effects from './effects.js';
import * as links from './link.js';
import * as placement from '../placement/index.js';
import * as report from './report.js';
import * as retention from './retention.js';
import * as reports from './reports.js';
import * as requests from './requests.js';
import * as silence from './silence.js';
import * as types from './types.js';
import type * as events from '../events/index.js';
import type * as platform from '../platform/index.js';
import type * as workers from '../worker/index.js';

/** What an owner needs. */
export interface OwnerDeps {
	shard: string;
	/** Box and boot of this process. */
	owner: string;
	store: platform.Store;
	clock: clocks.Clock;
	events: events.EventLog;
	exchange: workers.Exchange;
	opts: types.OwnerOptions;
	/** Rates workers for placement. */
	score: placement.Score;
	nextShard: (part: shards.JobRecord['part']) => string | undefined;
	holderGone: (holder: string) => boolean;
	/** Called once when the shard turns out to be someone else's. */
	onLost: () => void;
	metrics: OwnerMetrics;
}

/** Counters of all owners of a process. */
export interface OwnerMetrics {
	appends: number;
	decisions: number;
	bytes: number;
	exchanges: number;
	starts: number;
	recordCommitMs: (ms: number) => void;
}

interface Waiter {
	req: requests.ShardReq;
	resolve: (reply: results.Result<unknown, errors.Failure>) => void;
	/** `queued`: not decided yet; `deciding`: its entry is being stored; `gone`: it has been answered. */
	stage: 'queued' | 'deciding' | 'gone';
}

interface Batch {
	changes: shards.Change[];
	replies: { waiter: Waiter; reply: results.Result<unknown, errors.Failure> }[];
}

/** How often silence and placement are looked at without being asked, in milliseconds. */
const tickMs = 200;

/** Places given in one round at most: keeps an entry well under the platform's value limit. */
const maxPlacesPerRound = 1_000;

/** Answers of claimed requests held in memory, at most. */
const maxAnswers = 1_000;

/** How often retention is looked at, in milliseconds. */
const retentionMs = 60_000;

/** One owned shard. */
export class ShardOwner {
	readonly views = new Map<string, types.WorkerView>();
	private readonly links = new Map<string, links.WorkerLink>();
	private readonly queue: Waiter[] = [];
	private readonly uncommitted = new Set<string>();
	private readonly answers = new Map<string, requests.ClaimAnswer>();
	private readonly evictions = new Map<string, string>();
	private throttles = new Map<string, number>();
	private waitsFor = new Map<string, string>();
	private listRead = false;
	private seq = 0;
	private pastHorizon = false;
	private lastRetention = -Infinity;
	private stage: 'owning' | 'releasing' | 'lost' = 'owning';
	private beatNow = false;
	private dirty = false;
	private wake: () => void = () => undefined;
	private readonly loop: Promise<void>;

	private constructor(
		private readonly deps: OwnerDeps,
		private readonly log: shards.ShardLog,
		private readonly takeover: silence.Takeover,
	) {
		this.loop = this.run();
	}

	/** Reads the shard's log and takes it over under the next epoch. */
	static async take(deps: OwnerDeps): Promise<results.Result<ShardOwner, string>> {
		const { shard, owner, store, clock } = deps;
		const onWrite = (bytes: number): void => {
			deps.metrics.bytes += bytes;
		};
		const log = await shards.ShardLog.read({ shard, owner, store, clock, events: deps.events, onWrite });
		if (!log.ok) return results.fail(log.err.reason);
		const { state } = log.value;
		const released = state.released;
		const epoch = state.epoch + 1;
		const taken: shards.Change = { type: 'shard.taken', owner, epoch };
		if (log.value.full) {
			const kept = await log.value.snapshot();
			if (kept !== 'committed') return results.fail(`snapshot ${kept}`);
		}
		const outcome = await log.value.append(epoch, [taken]);
		if (outcome !== 'committed') return results.fail(outcome);
		shards.applyChange(state, taken, clock.wall());
		effects.logChange(deps.events, shard, taken, state);
		return results.ok(new ShardOwner(deps, log.value, { at: clock.now(), released }));
	}

	get epoch(): number {
		return this.log.state.epoch;
	}

	/** The platform's newest list of this shard's workers. */
	setWorkers(listed: types.ListedWorker[]): void {
		this.listRead = true;
		const ids = new Set(listed.map((one) => one.id));
		for (const view of this.views.values()) {
			if (!ids.has(view.listed.id)) this.dropListed(view);
		}
		for (const one of listed) {
			const known = this.views.get(one.id);
			if (known?.listed.address === one.address) {
				known.listed = one;
				known.present = true;
			} else {
				this.addWorker(one, known);
			}
		}
		this.signal();
	}

	/** Answers a request; waits for its entry where it needs one. */
	request(req: requests.ShardReq): Promise<results.Result<unknown, errors.Failure>> {
		if (this.stage !== 'owning') return Promise.resolve(results.fail(this.notOwner()));
		this.holdAnswer(req);
		return new Promise((resolve) => {
			const waiter: Waiter = { req, resolve, stage: 'queued' };
			this.queue.push(waiter);
			this.deps.clock.after(this.deps.opts.requestWaitMs, () => {
				this.giveUp(waiter);
			});
			this.signal();
		});
	}

	status(): report.ShardStatus {
		const { state } = this.log;
		return {
			shard: this.deps.shard,
			owner: this.deps.owner,
			epoch: state.epoch,
			entries: state.n,
			jobs: report.jobStatuses(state, this.views, this.uncommitted),
			workers: this.boxes().map((box) => ({
				id: box.id,
				state: box.closed ?? 'live',
				tasks: box.residents.length,
				silentMs: Math.round(this.deps.clock.now() - (this.views.get(box.id)?.answeredAt ?? -Infinity)),
			})),
		};
	}

	explain(task: string): report.TaskExplanation | undefined {
		const { state } = this.log;
		const record = state.tasks.get(task);
		if (record === undefined) return undefined;
		return report.explainTask(this.deps.shard, record, this.views, this.waitsFor, this.uncommitted);
	}

	/** Planned stop: gives no more orders, says so in the log, and resolves. */
	async release(): Promise<void> {
		if (this.stage !== 'owning') return;
		this.stage = 'releasing';
		this.signal();
		await this.loop;
		await this.stopLinks();
		if (this.stageNow() === 'lost') return;
		const change: shards.Change = { type: 'shard.released' };
		this.deps.clock.after(this.deps.opts.requestWaitMs, () => {
			this.log.abandon();
		});
		const outcome = await this.log.append(this.epoch, [change]);
		if (outcome === 'committed') effects.logChange(this.deps.events, this.deps.shard, change, this.log.state);
		this.stage = 'lost';
	}

	/** Stops at once, as a killed process would; for tests and for a shard that is someone else's. */
	async drop(): Promise<void> {
		this.stage = 'lost';
		this.log.abandon();
		this.signal();
		await this.stopLinks();
	}

	/** Something is to be decided: now if the loop waits, else as soon as the append in flight is settled. */
	private signal(): void {
		this.dirty = true;
		this.wake();
	}

	private stageNow(): 'owning' | 'releasing' | 'lost' {
		return this.stage;
	}

	private notOwner(): errors.Failure {
		return errors.failure('NotOwner', this.deps.shard, { retryAfterMs: 500, run: 'not-run' });
	}

	private addWorker(listed: types.ListedWorker, known: types.WorkerView | undefined): void {
		void this.links.get(listed.id)?.stop();
		// The same box under another address keeps what is known of its leases.
		const view = known ?? types.newView(listed);
		view.listed = listed;
		view.present = true;
		this.views.set(listed.id, view);
		const link = links.WorkerLink.create({
			address: listed.address,
			heartbeatMs: this.deps.opts.heartbeatMs,
			clock: this.deps.clock,
			exchange: this.deps.exchange,
			compose: () => this.compose(view),
			onAnswer: (req, res) => {
				this.onAnswer(view, req, res);
			},
		});
		this.links.set(listed.id, link);
	}

	/** The list alone proves nothing: a worker that left it stays in view while tasks may hold places on it. */
	private dropListed(view: types.WorkerView): void {
		view.present = false;
		const { id } = view.listed;
		const needed = [...this.log.state.tasks.values()].some(
			(task) => task.worker === id || task.held.some((place) => place.worker === id),
		);
		if (needed) return;
		void this.links.get(id)?.stop();
		this.links.delete(id);
		this.views.delete(id);
	}

	private async stopLinks(): Promise<void> {
		const stopping = [...this.links.values()].map((link) => link.stop());
		this.links.clear();
		await Promise.all(stopping);
	}

	private compose(view: types.WorkerView): workers.ExchangeReq {
		this.seq += 1;
		this.deps.metrics.exchanges += 1;
		const base = { shard: this.deps.shard, epoch: this.epoch, seq: this.seq };
		if (!view.fenced || view.incarnation === undefined) return { ...base, commands: [] };
		const { state } = this.log;
		const until = view.workerNow + this.deps.opts.leaseMs;
		const wishes = { evictions: this.evictions, throttles: this.throttles };
		const orders = commands.ordersFor(state, view, wishes, this.uncommitted, this.mayRenew(), until);
		for (const command of orders.commands) {
			if (command.type !== 'start') continue;
			view.startSeq.set(types.attemptKey(command.task, command.attempt), this.seq);
			this.deps.metrics.starts += 1;
		}
		if (orders.renew.length > 0 || orders.commands.some((command) => command.type === 'start')) {
			const end = view.answeredAt + silence.leaseSpan(this.deps.opts);
			view.leaseEndsBy = Math.max(view.leaseEndsBy, end);
		}
		const renew = orders.renew.length > 0 ? { until, tasks: orders.renew } : undefined;
		return { ...base, incarnation: view.incarnation, renew, commands: orders.commands };
	}

	/** Leases are renewed only within the horizon of the last committed entry, counted from its send. */
	private mayRenew(): boolean {
		const age = this.deps.clock.now() - this.log.lastCommitSentAt;
		const may = age <= this.deps.opts.horizonMs;
		if (!may && !this.pastHorizon)
			this.deps.events.emit('shard.horizon', { shard: this.deps.shard, ageMs: Math.round(age) });
		this.pastHorizon = !may;
		return may;
	}

	private onAnswer(
		view: types.WorkerView,
		req: workers.ExchangeReq,
		res: results.Result<workers.ExchangeRes, string>,
	): void {
		if (!res.ok) return;
		const answer = res.value;
		if (!answer.accepted) {
			this.refused(view, answer);
			return;
		}
		const now = this.deps.clock.now();
		const first = !view.fenced || view.incarnation !== answer.incarnation;
		const back = silence.isUnreachable(view, this.takeover, this.deps.opts, now);
		if (first) view.leaseEndsBy = Math.max(view.leaseEndsBy, now + silence.leaseSpan(this.deps.opts));
		if (first || back) this.reached(view, answer.incarnation);
		view.fenced = true;
		view.incarnation = answer.incarnation;
		view.answeredAt = now;
		view.workerNow = answer.now;
		view.answeredSeq = req.seq;
		view.fresh = true;
		this.noteThrottles(view, req);
		this.takeReports(view, answer.tasks);
		if (first || answer.tasks.some((one) => one.state !== 'running')) this.signal();
		if (first) this.links.get(view.listed.id)?.kick();
	}

	private reached(view: types.WorkerView, incarnation: string): void {
		this.deps.events.emit('worker.reached', { shard: this.deps.shard, worker: view.listed.id, incarnation });
	}

	/** The worker has seen a newer epoch, or has another incarnation than the message was for. */
	private refused(view: types.WorkerView, answer: workers.ExchangeRes): void {
		if (answer.epoch > this.epoch) {
			this.beatNow = true;
			this.signal();
			return;
		}
		view.fenced = false;
		this.links.get(view.listed.id)?.kick();
	}

	private noteThrottles(view: types.WorkerView, req: workers.ExchangeReq): void {
		for (const command of req.commands) {
			if (command.type !== 'throttle') continue;
			view.throttled.set(types.attemptKey(command.task, command.attempt), command.share);
		}
	}

	private takeReports(view: types.WorkerView, reported: workers.TaskReport[]): void {
		const before = view.reports;
		view.reports = new Map(reported.map((one) => [one.task, one]));
		for (const one of reported) {
			const old = before.get(one.task);
			const fresh = old?.attempt !== one.attempt || old.state !== 'running';
			if (one.state === 'running' && fresh) this.noteRunning(view, one);
			if (one.usage !== undefined) notePeak(view, one.task, one.usage);
		}
		for (const task of view.peaks.keys()) if (!view.reports.has(task)) view.peaks.delete(task);
		for (const key of view.startSeq.keys()) {
			const known = reported.some((one) => types.attemptKey(one.task, one.attempt) === key);
			if (known || (view.startSeq.get(key) ?? 0) < view.answeredSeq) view.startSeq.delete(key);
		}
	}

	private noteRunning(view: types.WorkerView, one: workers.TaskReport): void {
		this.deps.events.emit('task.running', {
			shard: this.deps.shard,
			task: one.task,
			attempt: one.attempt,
			worker: view.listed.id,
		});
	}

	private async run(): Promise<void> {
		let lastAppendAt = -Infinity;
		while (this.stage === 'owning') {
			await this.nextTurn(lastAppendAt);
			if (this.stageNow() !== 'owning') break;
			const batch = this.decide();
			if (batch.changes.length === 0) {
				this.answerAll(batch);
				continue;
			}
			lastAppendAt = this.deps.clock.now();
			if (!(await this.commit(batch))) break;
			await this.keepSnapshots();
		}
		for (const waiter of this.queue.splice(0)) this.settle(waiter, results.fail(this.notOwner()));
	}

	/** Waits for something to do, and then for the shard's turn at the platform's write rate. */
	private async nextTurn(lastAppendAt: number): Promise<void> {
		await new Promise<void>((resolve) => {
			const timer = this.deps.clock.after(tickMs, resolve);
			this.wake = () => {
				timer.cancel();
				resolve();
			};
			if (this.dirty) this.wake();
		});
		this.dirty = false;
		const wait = lastAppendAt + this.deps.opts.appendGapMs - this.deps.clock.now();
		if (wait > 0) await clocks.sleep(this.deps.clock, wait);
	}

	private async commit(batch: Batch): Promise<boolean> {
		const { clock, metrics } = this.deps;
		const startedAt = clock.now();
		const outcome = await this.log.append(this.epoch, batch.changes);
		if (outcome !== 'committed') {
			for (const { waiter } of batch.replies) this.settle(waiter, results.fail(this.undecided(waiter.req)));
			this.loseShard();
			return false;
		}
		metrics.appends += 1;
		metrics.decisions += batch.changes.length;
		metrics.recordCommitMs(clock.now() - startedAt);
		this.uncommitted.clear();
		for (const change of batch.changes)
			effects.logChange(this.deps.events, this.deps.shard, change, this.log.state);
		effects.logEnded(this.deps.events, this.deps.shard, batch.changes, this.log.state);
		this.answerAll(batch);
		this.kickFor(batch.changes);
		return true;
	}

	private async keepSnapshots(): Promise<void> {
		if (!this.log.snapshotDue) return;
		let outcome = await this.log.snapshot();
		while (this.log.full && outcome !== 'superseded' && this.stageNow() === 'owning') {
			await clocks.sleep(this.deps.clock, tickMs);
			outcome = await this.log.snapshot();
		}
		if (outcome === 'superseded') this.loseShard();
	}

	private loseShard(): void {
		if (this.stage === 'lost') return;
		this.stage = 'lost';
		this.deps.events.emit('shard.lost', { shard: this.deps.shard, epoch: this.epoch });
		void this.stopLinks();
		this.deps.onLost();
	}

	private decide(): Batch {
		const batch: Batch = { changes: [], replies: [] };
		const { state } = this.log;
		for (const waiter of this.queue.splice(0)) {
			if (waiter.stage === 'gone') continue;
			const decision = requests.decideRequest(state, waiter.req, {
				views: this.views,
				listRead: this.listRead,
				nextShard: this.deps.nextShard,
				answers: this.answers,
				holderGone: this.deps.holderGone,
			});
			waiter.stage = 'deciding';
			this.adopt(batch, decision.changes);
			batch.replies.push({ waiter, reply: decision.reply });
		}
		const byWorker = tasksByWorker(state);
		for (const view of this.views.values()) {
			if (!view.fresh) continue;
			view.fresh = false;
			this.adopt(batch, reports.reportChanges(state, view, byWorker.get(view.listed.id) ?? []));
		}
		this.adopt(batch, this.silenceChanges());
		this.adopt(batch, reports.quarantineChanges(state, this.views, this.deps.opts.quarantineJobs));
		this.adopt(batch, this.place());
		this.adopt(batch, this.retention());
		if (batch.changes.length === 0 && this.beatDue()) this.adopt(batch, [{ type: 'beat' }]);
		this.beatNow = false;
		return batch;
	}

	/** Applies changes at once, so that the next decision of the batch sees them; orders wait for the commit. */
	private adopt(batch: Batch, changes: shards.Change[]): void {
		const at = this.deps.clock.wall();
		for (const change of changes) {
			shards.applyChange(this.log.state, change, at);
			batch.changes.push(change);
			if ('task' in change) this.uncommitted.add(change.task);
			if ('task' in change) this.evictions.delete(change.task);
			if (change.type === 'job.submitted') this.uncommitted.add(change.part.id);
			if (change.type === 'job.cancelled') this.markJob(change.job);
		}
	}

	private markJob(id: string): void {
		this.uncommitted.add(id);
		const part = this.log.state.jobs.get(id)?.part;
		if (part === undefined) return;
		for (const task of shards.taskIds(part)) this.uncommitted.add(task);
	}

	private silenceChanges(): shards.Change[] {
		const now = this.deps.clock.now();
		const { state } = this.log;
		return [...this.views.values()].flatMap((view) =>
			silence.silenceChanges(state, view, this.takeover, this.deps.opts, now),
		);
	}

	private boxes(): placement.Box[] {
		return boxes.boxesOf(this.log.state, this.views, {
			takeover: this.takeover,
			waits: this.deps.opts,
			now: this.deps.clock.now(),
		});
	}

	private place(): shards.Change[] {
		const all = this.boxes();
		this.relieve(all);
		const waiting = boxes.waitingOf(this.log.state);
		if (waiting.length === 0) {
			this.waitsFor = new Map();
			return [];
		}
		const evicting = new Set(this.evictions.keys());
		const round = placement.placeRound(waiting, all, {
			score: this.deps.score,
			maxPlaces: maxPlacesPerRound,
			evicting,
		});
		this.waitsFor = round.waiting;
		for (const one of round.evictions) this.evict(one.task, one.reason);
		return round.places.flatMap((place) => this.placedChange(place));
	}

	private placedChange(place: placement.Place): shards.Change[] {
		const task = this.log.state.tasks.get(place.task);
		const incarnation = this.views.get(place.box)?.incarnation;
		if (task === undefined || incarnation === undefined) return [];
		const attempt = task.attempt + 1;
		return [{ type: 'task.placed', task: task.id, attempt, worker: place.box, incarnation, why: place.why }];
	}

	private relieve(all: placement.Box[]): void {
		const throttles = new Map<string, number>();
		for (const box of all) {
			const relief = placement.relieve(box, (task) => this.progressOf(task));
			for (const [task, share] of relief.throttles) throttles.set(task, share);
			for (const one of relief.evictions) this.evict(one.task, one.reason);
		}
		this.throttles = throttles;
	}

	/** Attempts started before; a stand-in for work lost until workers report the age of a checkpoint. */
	private progressOf(task: string): number {
		return this.log.state.tasks.get(task)?.attempt ?? 0;
	}

	private evict(task: string, reason: string): void {
		if (this.evictions.has(task)) return;
		this.evictions.set(task, reason);
		const worker = this.log.state.tasks.get(task)?.worker;
		if (worker !== undefined) this.links.get(worker)?.kick();
	}

	/** Drops what has been kept long enough, ended jobs also when the snapshot grows large, the oldest first. */
	private retention(): shards.Change[] {
		const { state } = this.log;
		const now = this.deps.clock.now();
		const tight = shards.stateBytes(state) > shards.tightStateBytes;
		if (!tight && now - this.lastRetention < retentionMs) return [];
		this.lastRetention = now;
		const wall = this.deps.clock.wall();
		const changes = retention.droppedJobs(state, tight ? wall : wall - this.deps.opts.keepEndedMs);
		const before = wall - this.deps.opts.keepClaimsMs;
		const expired = [...state.claims.values()].some((claim) => claim.at < before);
		return expired ? [...changes, { type: 'claims.expired', before }] : changes;
	}

	private beatDue(): boolean {
		const age = this.deps.clock.now() - this.log.lastCommitSentAt;
		return this.beatNow || age > this.deps.opts.horizonMs / 3;
	}

	private kickFor(changes: shards.Change[]): void {
		const kicked = new Set<string>();
		for (const change of changes) {
			if (change.type === 'task.placed') kicked.add(change.worker);
			if (change.type === 'job.cancelled')
				for (const worker of this.workersOf(change.job)) kicked.add(worker);
		}
		for (const worker of kicked) this.links.get(worker)?.kick();
	}

	private workersOf(job: string): string[] {
		const part = this.log.state.jobs.get(job)?.part;
		const ids = part === undefined ? [] : shards.taskIds(part);
		return ids.flatMap((id) => this.log.state.tasks.get(id)?.worker ?? []);
	}

	private answerAll(batch: Batch): void {
		for (const { waiter, reply } of batch.replies) this.settle(waiter, reply);
	}

	private settle(waiter: Waiter, reply: results.Result<unknown, errors.Failure>): void {
		if (waiter.stage === 'gone') {
			this.undoLateClaim(waiter.req, reply);
			return;
		}
		waiter.stage = 'gone';
		waiter.resolve(reply);
	}

	/** A claim was granted after its asker had been told that the request was not run: say so in the log too. */
	private undoLateClaim(req: requests.ShardReq, reply: results.Result<unknown, errors.Failure>): void {
		if (req.type !== 'claim.begin' || !reply.ok) return;
		const { shard, key, holder } = req;
		void this.request({ type: 'claim.end', shard, key, holder, outcome: 'not-run' });
	}

	/** The entry is not stored in time: say truthfully what is known. */
	private giveUp(waiter: Waiter): void {
		if (waiter.stage === 'gone') return;
		const queued = waiter.stage === 'queued';
		const err = queued ? this.notStored() : this.undecided(waiter.req);
		waiter.stage = 'gone';
		waiter.resolve(results.fail(err));
	}

	private notStored(): errors.Failure {
		return errors.failure('PlatformUnavailable', `shard ${this.deps.shard} can't store decisions`, {
			retryAfterMs: 2000,
			run: 'not-run',
		});
	}

	private undecided(req: requests.ShardReq): errors.Failure {
		// A claim whose fate is open was not used: the request behind it has not been sent.
		if (req.type === 'claim.begin') {
			return errors.failure('ClaimUnavailable', req.key, { retryAfterMs: 2000, run: 'not-run' });
		}
		return errors.failure('OutcomeUnknown', `${req.type} on shard ${this.deps.shard}`, {
			retryAfterMs: 2000,
		});
	}

	private holdAnswer(req: requests.ShardReq): void {
		if (req.type !== 'claim.end' || req.answer === undefined) return;
		this.answers.set(req.key, req.answer);
		const oldest = this.answers.keys().next().value;
		if (this.answers.size > maxAnswers && oldest !== undefined) this.answers.delete(oldest);
	}
}

/** Tasks that hold a place, by worker. */
function tasksByWorker(state: shards.ShardState): Map<string, shards.TaskRecord[]> {
	const byWorker = new Map<string, shards.TaskRecord[]>();
	for (const task of state.tasks.values()) {
		const workers = [task.worker, ...task.held.map((place) => place.worker)];
		for (const worker of new Set(workers)) {
			if (worker === undefined) continue;
			const here = byWorker.get(worker) ?? [];
			here.push(task);
			byWorker.set(worker, here);
		}
	}
	return byWorker;
}

function notePeak(view: types.WorkerView, task: string, usage: { cores: number; memoryMb: number }): void {
	const peak = view.peaks.get(task);
	view.peaks.set(task, {
		cores: Math.max(peak?.cores ?? 0, usage.cores),
		memoryMb: Math.max(peak?.memoryMb ?? 0, usage.memoryMb),
	});
}
