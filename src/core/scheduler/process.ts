/** The `woodcross-scheduler` process: owns the shards of its zone that are assigned to it, and answers peers about them. */
import * as boxes from '../boxes/index.js';
import * as clocks from '../clock.js';
import * as errors from '../errors/index.js';
import * as membership from '../membership/index.js';
import * as node from '../node/index.js';
import * as owners from './owner.js';
import * as placement from '../placement/index.js';
import * as platform from '../platform/index.js';
import * as results from '../result.js';
import * as settings from './settings.js';
import * as shards from '../shard/index.js';
import * as workers from '../worker/index.js';
import type * as ownerDeps from './owner-deps.js';
import type * as types from './types.js';
import type * as wire from '../wire/index.js';

/** Interval between checks for shards to take over, in milliseconds. */
const electIntervalMs = 250;

export class Scheduler {
	private readonly node: node.Node;
	private readonly owned = new Map<string, owners.ShardOwner>();
	private readonly takingOver = new Set<string>();
	private readonly client = workers.WorkerClient.create();
	private readonly counters: ownerDeps.OwnerMetrics;
	private listedWorkers: types.ListedWorker[] | undefined;
	private electTimer: clocks.Timer | undefined;
	private workerListFollower: platform.Follower | undefined;

	private constructor(private readonly settings: settings.SchedulerSettings) {
		this.node = node.Node.create(settings, {
			role: 'scheduler',
			onPeer: (req) => this.onPeer(req),
			gauges: () => this.gauges(),
		});
		this.counters = {
			appends: 0,
			decisions: 0,
			bytes: 0,
			exchanges: 0,
			starts: 0,
			recordCommitMs: (ms) => {
				this.node.metrics.recordLatency('commit', ms);
			},
		};
	}

	static create(given: settings.SchedulerSettings): Scheduler {
		return new Scheduler(given);
	}

	async start(): Promise<void> {
		await this.node.start();
		this.workerListFollower = platform.Follower.create(this.node.store, this.node.clock, {
			prefix: boxes.workersKey(this.settings.zone),
			relistMs: boxes.boxesRelistMs,
			onView: (view) => {
				this.applyWorkerList(view.get(boxes.workersKey(this.settings.zone)));
			},
		});
		this.electTimer = clocks.every(this.node.clock, electIntervalMs, () => this.elect());
	}

	/** Planned stop: releases every shard, then leaves the membership. */
	async stop(): Promise<void> {
		this.node.stopping = true;
		this.node.events.emit('process.stopping', { shards: this.owned.size });
		this.electTimer?.cancel();
		this.workerListFollower?.stop();
		await Promise.all([...this.owned.values()].map((owner) => owner.release()));
		await this.node.leave();
		await this.node.close();
		await this.client.close();
	}

	/**
	 * Takes over the shards for which this process is the preferred owner, once the set of schedulers has been unchanged for
	 * `takeover-ms`.
	 */
	private async elect(): Promise<void> {
		const { clock, members } = this.node;
		if (!members.reachable || this.node.stopping) return;
		if (clock.now() - members.changedAt < this.settings['takeover-ms']) return;
		const shardsToTake = shards
			.shardsOfZone(this.settings.zone, this.settings['shards-per-zone'])
			.filter(
				(shard) => this.isPreferredOwner(shard) && !this.owned.has(shard) && !this.takingOver.has(shard),
			);
		await Promise.all(shardsToTake.map((shard) => this.takeShard(shard)));
	}

	private isPreferredOwner(shard: string): boolean {
		const { members } = this.node;
		return membership.preferredOwner(shard, members.members, this.settings.zone)?.boot === members.self.boot;
	}

	private async takeShard(shard: string): Promise<void> {
		this.takingOver.add(shard);
		const taken = await owners.ShardOwner.takeOver(this.ownerDeps(shard));
		this.takingOver.delete(shard);
		if (!taken.ok) return;
		this.owned.set(shard, taken.value);
		this.updateWorkers(shard, taken.value);
	}

	private ownerDeps(shard: string): ownerDeps.OwnerDeps {
		return {
			shard,
			owner: this.node.boot,
			store: this.node.store,
			clock: this.node.clock,
			events: this.node.events,
			exchange: this.client.exchange,
			opts: settings.ownerOptions(this.settings),
			score: (task, box) => this.score()(task, box),
			nextShard: (part) => this.nextShard(shard, part),
			holderGone: (holder) => this.holderGone(holder),
			onLost: () => this.owned.delete(shard),
			metrics: this.counters,
		};
	}

	private score(): placement.Score {
		return placement.scores[this.node.config.value('scheduler.placement') as keyof typeof placement.scores];
	}

	private nextShard(shard: string, part: shards.JobRecord['part']): string | undefined {
		const order = shards.shardOrder(part, this.settings.zones, this.settings['shards-per-zone']);
		return order[order.indexOf(shard) + 1];
	}

	/**
	 * Whether the process that holds a claim is gone. A holder is `boot#request`; its process is gone if its boot is not
	 * among the members while the platform is reachable and the members have been unchanged for `takeover-ms`.
	 */
	private holderGone(holder: string): boolean {
		const boot = holder.slice(0, holder.lastIndexOf('#'));
		const { members, clock } = this.node;
		const isStable = clock.now() - members.changedAt > this.settings['takeover-ms'];
		return members.reachable && isStable && !members.members.some((one) => one.boot === boot);
	}

	private applyWorkerList(item: platform.Stored | undefined): void {
		const parsed = boxes.parseWorkers(item);
		if (parsed === undefined) return;
		this.listedWorkers = parsed.map((worker) => ({
			id: worker.id,
			address: worker.address,
			rack: worker.rack,
			capacity: { cores: worker.cores, memoryMb: worker.memoryMb, accelerators: worker.accelerators },
			leaving: worker.state === 'leaving',
		}));
		for (const [shard, owner] of this.owned) this.updateWorkers(shard, owner);
	}

	private updateWorkers(shard: string, owner: owners.ShardOwner): void {
		if (this.listedWorkers === undefined) return;
		const { zone } = this.settings;
		const perZone = this.settings['shards-per-zone'];
		owner.setWorkers(
			this.listedWorkers.filter((worker) => shards.shardOfRack(zone, worker.rack, perZone) === shard),
		);
	}

	private async onPeer(req: wire.PeerReq): Promise<results.Result<unknown, errors.Failure>> {
		if (!('shard' in req))
			return results.fail(errors.failure('InvalidRequest', `${req.type} is not for a scheduler`));
		const owner = this.owned.get(req.shard);
		if (owner === undefined) {
			return results.fail(errors.failure('NotOwner', req.shard, { retryAfterMs: 500, run: 'not-run' }));
		}
		switch (req.type) {
			case 'shard.status':
				return results.ok(owner.status());
			case 'shard.explain': {
				const explained = owner.explain(req.task);
				return explained ? results.ok(explained) : results.fail(errors.failure('JobUnknown', req.task));
			}
			default:
				return owner.request(req);
		}
	}

	private gauges(): Record<string, number> {
		const { appends, decisions, bytes, exchanges, starts } = this.counters;
		return {
			shards_owned: this.owned.size,
			appends,
			decisions,
			log_bytes: bytes,
			worker_exchanges: exchanges,
			task_starts: starts,
		};
	}
}
