/**
 * Owns one shard. Takes requests and workers' reports, decides, stores the decisions as one entry, and only then replies and
 * sends commands. One append is in flight at a time; whatever arrives meanwhile goes into the next one (group commit).
 * docs/decisions/0002-shard-log.md compares this with one write per decision.
 */
import * as clocks from '../clock.js';
import * as errors from '../errors/index.js';
import * as results from '../result.js';
import * as boxes from './boxes.js';
import * as claimAnswers from './claim-answers.js';
import * as commands from './commands.js';
import * as contacts from './contacts.js';
import * as deciders from './decider.js';
import * as effects from './effects.js';
import * as horizons from './horizon.js';
import * as placing from './placing.js';
import * as report from './report.js';
import * as taking from './taking.js';
import * as tasks from '../task/index.js';
import * as turns from './turns.js';
import * as uncommitted from './uncommitted.js';
import * as waiting from './request-queue.js';
import type * as batches from './batch.js';
import type * as owners from './owner-deps.js';
import type * as requests from './requests.js';
import type * as shards from '../shard/index.js';
import type * as silence from './silence.js';
import type * as types from './types.js';

type OwnerStage = 'owning' | 'releasing' | 'lost';

type OwnerEvent = 'release' | 'released' | 'supersede';

/** The states of an owner, `charts/owner.json`. */
const ownerChart = tasks.loadChart<OwnerStage, OwnerEvent>('charts/owner.json');

/** The owner of one shard. */
export class ShardOwner {
	private readonly contacts: contacts.WorkerContacts;
	private readonly queue: waiting.RequestQueue;
	private readonly uncommitted = uncommitted.Uncommitted.create();
	private readonly answers = claimAnswers.ClaimAnswers.create();
	private readonly placing: placing.Placing;
	private readonly horizon: horizons.Horizon;
	private readonly turns: turns.Turns;
	private readonly decider: deciders.Decider;
	private stage = ownerChart.initial;
	private readonly loop: Promise<void>;

	private constructor(
		private readonly deps: owners.OwnerDeps,
		private readonly log: shards.ShardLog,
		takeover: silence.Takeover,
	) {
		const { shard, clock, events, opts } = deps;
		this.queue = waiting.RequestQueue.create(shard, clock, opts.requestWaitMs);
		this.turns = turns.Turns.create(clock, opts.appendGapMs);
		this.horizon = horizons.Horizon.create({
			shard,
			clock,
			events,
			horizonMs: opts.horizonMs,
			lastCommitSentAt: () => log.lastCommitSentAt,
		});
		this.placing = placing.Placing.create({
			score: deps.score,
			incarnationOf: (worker) => this.contacts.views.get(worker)?.incarnation,
			onEvicted: (worker) => {
				this.contacts.kick(worker);
			},
		});
		this.contacts = contacts.WorkerContacts.create({
			...deps,
			epoch: () => this.epoch,
			orders: (view, until) => this.orders(view, until),
			mayHoldPlace: (worker) => boxes.mayHoldPlace(log.state, worker),
			onNews: () => {
				this.turns.signal();
			},
			onNewerEpoch: () => {
				this.horizon.wantBeat();
				this.turns.signal();
			},
		});
		this.decider = deciders.Decider.create({
			owner: deps,
			state: log.state,
			takeover,
			views: this.contacts.views,
			answers: this.answers,
			horizon: this.horizon,
			placing: this.placing,
			uncommitted: this.uncommitted,
		});
		this.loop = this.run();
	}

	/** Reads the shard's log and takes the shard over under the next epoch. */
	static async take(deps: owners.OwnerDeps): Promise<results.Result<ShardOwner, string>> {
		const taken = await taking.takeShard(deps);
		return taken.ok ? results.ok(new ShardOwner(deps, taken.value.log, taken.value.takeover)) : taken;
	}

	get epoch(): number {
		return this.log.state.epoch;
	}

	/** Takes in the platform's newest list of this shard's workers. */
	setWorkers(listed: types.ListedWorker[]): void {
		this.decider.listRead = true;
		this.contacts.setWorkers(listed);
		this.turns.signal();
	}

	/** Answers a request, once its entry is stored if it needs one. */
	request(req: requests.ShardReq): Promise<results.Result<unknown, errors.Failure>> {
		if (this.stage !== 'owning') return Promise.resolve(results.fail(this.notOwner()));
		this.answers.hold(req);
		const answered = this.queue.add(req);
		this.turns.signal();
		return answered;
	}

	status(): report.ShardStatus {
		const { shard, owner, clock } = this.deps;
		const { state } = this.log;
		const { views } = this.contacts;
		return {
			shard,
			owner,
			epoch: state.epoch,
			entries: state.n,
			jobs: report.jobStatuses(state, views, this.uncommitted.names),
			workers: report.workerStatuses(this.decider.boxes(), views, clock.now()),
		};
	}

	explain(task: string): report.TaskExplanation | undefined {
		const { state } = this.log;
		const record = state.tasks.get(task);
		if (record === undefined) return undefined;
		const { waitsFor } = this.placing;
		return report.explainTask(this.deps.shard, record, this.contacts.views, waitsFor, this.uncommitted.names);
	}

	/** Planned stop: stops sending commands, then stores the release in the log. */
	async release(): Promise<void> {
		if (!this.step('release')) return;
		this.turns.signal();
		// An append may be in flight while the platform is unavailable; the stop waits for it no longer than `requestTimeoutMs`.
		this.deps.clock.after(this.deps.opts.requestWaitMs, () => {
			this.log.abandon();
		});
		await this.loop;
		await this.contacts.stop();
		if (this.stageNow() === 'lost') return;
		const change: shards.Change = { type: 'shard.released' };
		const outcome = await this.log.append(this.epoch, [change]);
		if (outcome === 'committed') effects.logChange(this.deps.events, this.deps.shard, change, this.log.state);
		this.step('released');
	}

	/** Advances the state chart; returns false if the current stage does not allow the event. */
	private step(event: OwnerEvent): boolean {
		const next = ownerChart.next(this.stage, event);
		if (next === undefined) return false;
		this.stage = next;
		return true;
	}

	/** Returns the stage. It may change during an `await`, which the compiler's narrowing of `stage` does not see. */
	private stageNow(): OwnerStage {
		return this.stage;
	}

	private notOwner(): errors.Failure {
		return errors.failure('NotOwner', this.deps.shard, { retryAfterMs: 500, run: 'not-run' });
	}

	private orders(view: types.WorkerView, until: number): commands.Orders {
		return commands.ordersFor(
			this.log.state,
			view,
			this.placing.wishes,
			this.uncommitted.names,
			this.horizon.mayRenew(),
			until,
		);
	}

	private async run(): Promise<void> {
		while (this.stage === 'owning') {
			await this.turns.next();
			if (this.stageNow() !== 'owning') break;
			const batch = this.decider.decide(this.queue.take());
			if (batch.changes.length === 0) {
				this.answerAll(batch);
				continue;
			}
			this.turns.noteAppend();
			if (!(await this.commit(batch))) break;
			await this.keepSnapshots();
		}
		this.queue.refuseAll(this.notOwner());
	}

	private async commit(batch: batches.Batch): Promise<boolean> {
		const { clock, metrics } = this.deps;
		const startedAt = clock.now();
		const outcome = await this.log.append(this.epoch, batch.changes);
		if (outcome !== 'committed') {
			for (const { waiter } of batch.replies) this.queue.leaveOpen(waiter);
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
		for (const worker of commands.workersToTell(this.log.state, batch.changes)) this.contacts.kick(worker);
		return true;
	}

	private async keepSnapshots(): Promise<void> {
		if (!this.log.snapshotDue) return;
		let outcome = await this.log.snapshot();
		while (this.log.full && outcome !== 'superseded' && this.stageNow() === 'owning') {
			await clocks.sleep(this.deps.clock, turns.tickMs);
			outcome = await this.log.snapshot();
		}
		if (outcome === 'superseded') this.loseShard();
	}

	private loseShard(): void {
		if (!this.step('supersede')) return;
		this.deps.events.emit('shard.lost', { shard: this.deps.shard, epoch: this.epoch });
		void this.contacts.stop();
		this.deps.onLost();
	}

	private answerAll(batch: batches.Batch): void {
		for (const { waiter, reply } of batch.replies) this.queue.settle(waiter, reply);
	}
}
