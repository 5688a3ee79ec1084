/** Places an owner's pending tasks in rounds, and throttles or evicts tasks to make that possible. */
import * as placementInput from './placement-input.js';
import * as placement from '../placement/index.js';
import type * as shards from '../shard/index.js';

/** Upper bound of placements in one round, which keeps an entry well below the platform's value limit. */
const maxPlacementsPerRound = 1_000;

/** What the placer needs from its owner. */
export interface PlacerDeps {
	/** Scores workers for placement. */
	score: placement.Score;
	/** The incarnation that a worker last reported; undefined if it has not reported yet. */
	incarnationOf: (worker: string) => string | undefined;
	/** Called when a worker has a task to evict, so that it gets the command soon. */
	onEviction: (worker: string) => void;
}

/** Evictions and throttles of running tasks. */
export interface TaskAdjustments {
	/** Reason for each eviction, by task. */
	evictions: ReadonlyMap<string, string>;
	/** Part of its declared cores that a task may use, by task. */
	throttles: ReadonlyMap<string, number>;
}

/** Places the tasks of one shard. */
export class Placer {
	/** What each pending task waits for, as of the last round. */
	waitsFor = new Map<string, string>();
	private readonly evictions = new Map<string, string>();
	private throttles = new Map<string, number>();

	private constructor(private readonly deps: PlacerDeps) {}

	static create(deps: PlacerDeps): Placer {
		return new Placer(deps);
	}

	/** The evictions and throttles in force. */
	get adjustments(): TaskAdjustments {
		return { evictions: this.evictions, throttles: this.throttles };
	}

	/** Drops a task's eviction once a change to the task has been decided. */
	clearEviction(task: string): void {
		this.evictions.delete(task);
	}

	/** Relieves overfull workers, and places pending tasks. */
	round(state: shards.ShardState, workers: placement.Worker[]): shards.Change[] {
		this.relievePressure(state, workers);
		const pending = placementInput.pendingTasks(state);
		if (pending.length === 0) {
			this.waitsFor = new Map();
			return [];
		}
		const round = placement.placeRound(pending, workers, {
			score: this.deps.score,
			maxPlacements: maxPlacementsPerRound,
			evicting: new Set(this.evictions.keys()),
		});
		this.waitsFor = round.waiting;
		for (const one of round.evictions) this.evict(state, one.task, one.reason);
		return round.placements.flatMap((chosen) => this.placedChanges(state, chosen));
	}

	private placedChanges(state: shards.ShardState, chosen: placement.Placement): shards.Change[] {
		const task = state.tasks.get(chosen.task);
		const incarnation = this.deps.incarnationOf(chosen.box);
		if (task === undefined || incarnation === undefined) return [];
		const attempt = task.attempt + 1;
		return [
			{ type: 'task.placed', task: task.id, attempt, worker: chosen.box, incarnation, why: chosen.why },
		];
	}

	private relievePressure(state: shards.ShardState, workers: placement.Worker[]): void {
		const throttles = new Map<string, number>();
		// The number of attempts stands in for the progress that an eviction loses: workers do not report the age of
		// checkpoints.
		const lostProgressOf = (task: string): number => state.tasks.get(task)?.attempt ?? 0;
		for (const worker of workers) {
			const relief = placement.relievePressure(worker, lostProgressOf);
			for (const [task, share] of relief.throttles) throttles.set(task, share);
			for (const one of relief.evictions) this.evict(state, one.task, one.reason);
		}
		this.throttles = throttles;
	}

	private evict(state: shards.ShardState, task: string, reason: string): void {
		if (this.evictions.has(task)) return;
		this.evictions.set(task, reason);
		const worker = state.tasks.get(task)?.worker;
		if (worker !== undefined) this.deps.onEviction(worker);
	}
}
