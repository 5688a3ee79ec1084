/**
 * Owns one shard. Takes requests and workers' reports, decides, stores the decisions as one entry, and only then replies and
 * sends commands. One append is in flight at a time; whatever arrives meanwhile goes into the next one (group commit).
 * docs/decisions/0002-shard-log.md compares this with one write per decision.
 */
import * as clocks from '../clock.js';
import * as errors from '../errors/index.js';
import * as results from '../result.js';
import * as placementInput from './placement-input.js';
import * as claimAnswers from './claim-answers.js';
import * as commands from './commands.js';
import * as workerExchanges from './worker-exchanges.js';
import * as deciders from './decider.js';
import * as changeEvents from './change-events.js';
import * as horizons from './horizon.js';
import * as placers from './placer.js';
import * as statuses from './status.js';
import * as takeovers from './takeover.js';
import * as tasks from '../task/index.js';
import * as decisionTimers from './decision-timer.js';
import * as uncommitted from './uncommitted.js';
import * as requestQueue from './request-queue.js';
import type * as batches from './batch.js';
import type * as ownerDeps from './owner-deps.js';
import type * as requests from './requests.js';
import type * as shards from '../shard/index.js';
import type * as reachability from './reachability.js';
import type * as types from './types.js';

type OwnerStage = 'owning' | 'releasing' | 'lost';

type OwnerEvent = 'release' | 'released' | 'supersede';

/** The states of an owner, `charts/owner.json`. */
const ownerChart = tasks.loadChart<OwnerStage, OwnerEvent>('charts/owner.json');

/** The owner of one shard. */
export class ShardOwner {
	private readonly exchanges: workerExchanges.WorkerExchanges;
	private readonly queue: requestQueue.RequestQueue;
	private readonly uncommitted = uncommitted.Uncommitted.create();
	private readonly answers = claimAnswers.ClaimAnswers.create();
	private readonly placer: placers.Placer;
	private readonly horizon: horizons.Horizon;
	private readonly timer: decisionTimers.DecisionTimer;
	private readonly decider: deciders.Decider;
	private stage = ownerChart.initial;
	private readonly loop: Promise<void>;

	private constructor(
		private readonly deps: ownerDeps.OwnerDeps,
		private readonly log: shards.ShardLog,
		takeover: reachability.Takeover,
	) {
		const { shard, clock, events, opts } = deps;
		this.queue = requestQueue.RequestQueue.create(shard, clock, opts.requestTimeoutMs);
		this.timer = decisionTimers.DecisionTimer.create(clock, opts.minAppendIntervalMs);
		this.horizon = horizons.Horizon.create({
			shard,
			clock,
			events,
			horizonMs: opts.horizonMs,
			lastCommitSentAt: () => log.lastCommitSentAt,
		});
		this.placer = placers.Placer.create({
			score: deps.score,
			incarnationOf: (worker) => this.exchanges.views.get(worker)?.incarnation,
			onEviction: (worker) => {
				this.exchanges.triggerExchange(worker);
			},
		});
		this.exchanges = workerExchanges.WorkerExchanges.create({
			...deps,
			epoch: () => this.epoch,
			contentFor: (view, until) => this.contentFor(view, until),
			mayHoldPlacement: (worker) => placementInput.mayHoldPlacement(log.state, worker),
			onDecisionNeeded: () => {
				this.timer.signal();
			},
			onNewerEpoch: () => {
				this.horizon.requestBeat();
				this.timer.signal();
			},
		});
		this.decider = deciders.Decider.create({
			owner: deps,
			state: log.state,
			takeover,
			views: this.exchanges.views,
			answers: this.answers,
			horizon: this.horizon,
			placer: this.placer,
			uncommitted: this.uncommitted,
		});
		this.loop = this.run();
	}

	/** Reads the shard's log and takes the shard over under the next epoch. */
	static async takeOver(deps: ownerDeps.OwnerDeps): Promise<results.Result<ShardOwner, string>> {
		const taken = await takeovers.takeShard(deps);
		return taken.ok ? results.ok(new ShardOwner(deps, taken.value.log, taken.value.takeover)) : taken;
	}

	get epoch(): number {
		return this.log.state.epoch;
	}

	/** Takes in the platform's newest list of this shard's workers. */
	setWorkers(listed: types.ListedWorker[]): void {
		this.decider.isWorkerListRead = true;
		this.exchanges.setWorkers(listed);
		this.timer.signal();
	}

	/** Answers a request, once its entry is stored if it needs one. */
	request(req: requests.ShardReq): Promise<results.Result<unknown, errors.Failure>> {
		if (this.stage !== 'owning') return Promise.resolve(results.fail(this.notOwner()));
		this.answers.noteAnswer(req);
		const answered = this.queue.add(req);
		this.timer.signal();
		return answered;
	}

	status(): statuses.ShardStatus {
		const { shard, owner, clock } = this.deps;
		const { state } = this.log;
		const { views } = this.exchanges;
		return {
			shard,
			owner,
			epoch: state.epoch,
			entries: state.n,
			jobs: statuses.jobStatuses(state, views, this.uncommitted.ids),
			workers: statuses.workerStatuses(this.decider.boxes(), views, clock.now()),
		};
	}

	explain(task: string): statuses.TaskExplanation | undefined {
		const { state } = this.log;
		const record = state.tasks.get(task);
		if (record === undefined) return undefined;
		const { waitsFor } = this.placer;
		return statuses.explainTask(
			this.deps.shard,
			record,
			this.exchanges.views,
			waitsFor,
			this.uncommitted.ids,
		);
	}

	/** Planned stop: stops sending commands, then stores the release in the log. */
	async release(): Promise<void> {
		if (!this.step('release')) return;
		this.timer.signal();
		// An append may be in flight while the platform is unavailable; the stop waits for it no longer than `requestTimeoutMs`.
		this.deps.clock.after(this.deps.opts.requestTimeoutMs, () => {
			this.log.abandon();
		});
		await this.loop;
		await this.exchanges.stop();
		if (this.stageNow() === 'lost') return;
		const change: shards.Change = { type: 'shard.released' };
		const outcome = await this.log.append(this.epoch, [change]);
		if (outcome === 'committed')
			changeEvents.logChange(this.deps.events, this.deps.shard, change, this.log.state);
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

	private contentFor(view: types.WorkerView, until: number): commands.MessageContent {
		return commands.composeContent(
			this.log.state,
			view,
			this.placer.adjustments,
			this.uncommitted.ids,
			this.horizon.mayRenew(),
			until,
		);
	}

	private async run(): Promise<void> {
		while (this.stage === 'owning') {
			await this.timer.waitForTurn();
			if (this.stageNow() !== 'owning') break;
			const batch = this.decider.decide(this.queue.take());
			if (batch.changes.length === 0) {
				this.answerAll(batch);
				continue;
			}
			this.timer.noteAppend();
			if (!(await this.commit(batch))) break;
			await this.snapshotIfDue();
		}
		this.queue.refuseAll(this.notOwner());
	}

	private async commit(batch: batches.Batch): Promise<boolean> {
		const { clock, metrics } = this.deps;
		const startedAt = clock.now();
		const outcome = await this.log.append(this.epoch, batch.changes);
		if (outcome !== 'committed') {
			for (const { request } of batch.replies) this.queue.answerOutcomeUnknown(request);
			this.loseShard();
			return false;
		}
		metrics.appends += 1;
		metrics.decisions += batch.changes.length;
		metrics.recordCommitMs(clock.now() - startedAt);
		this.uncommitted.clear();
		for (const change of batch.changes)
			changeEvents.logChange(this.deps.events, this.deps.shard, change, this.log.state);
		changeEvents.logEndedJobs(this.deps.events, this.deps.shard, batch.changes, this.log.state);
		this.answerAll(batch);
		for (const worker of commands.workersToNotify(this.log.state, batch.changes))
			this.exchanges.triggerExchange(worker);
		return true;
	}

	private async snapshotIfDue(): Promise<void> {
		if (!this.log.isSnapshotDue) return;
		let outcome = await this.log.snapshot();
		while (this.log.isFull && outcome !== 'superseded' && this.stageNow() === 'owning') {
			await clocks.sleep(this.deps.clock, decisionTimers.tickMs);
			outcome = await this.log.snapshot();
		}
		if (outcome === 'superseded') this.loseShard();
	}

	private loseShard(): void {
		if (!this.step('supersede')) return;
		this.deps.events.emit('shard.lost', { shard: this.deps.shard, epoch: this.epoch });
		void this.exchanges.stop();
		this.deps.onLost();
	}

	private answerAll(batch: batches.Batch): void {
		for (const { request, reply } of batch.replies) this.queue.answer(request, reply);
	}
}
