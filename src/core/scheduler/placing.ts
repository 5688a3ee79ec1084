/** Places an owner's pending tasks in rounds, and throttles or evicts tasks to make that possible. */
import * as boxes from './boxes.js';
import * as placement from '../placement/index.js';
import type * as shards from '../shard/index.js';

/** Upper bound of placements in one round, which keeps an entry well below the platform's value limit. */
const maxPlacesPerRound = 1_000;

/** What the placer needs from its owner. */
export interface PlacingDeps {
	/** Scores workers for placement. */
	score: placement.Score;
	/** The incarnation that a worker last reported; undefined if it has not reported yet. */
	incarnationOf: (worker: string) => string | undefined;
	/** Called when a worker has a task to evict, so that it gets the command soon. */
	onEvicted: (worker: string) => void;
}

/** Evictions and throttles of running tasks. */
export interface Wishes {
	/** Reason for each eviction, by task. */
	evictions: ReadonlyMap<string, string>;
	/** Part of its declared cores that a task may use, by task. */
	throttles: ReadonlyMap<string, number>;
}

/** Places the tasks of one shard. */
export class Placing {
	/** What each pending task waits for, as of the last round. */
	waitsFor = new Map<string, string>();
	private readonly evictions = new Map<string, string>();
	private throttles = new Map<string, number>();

	private constructor(private readonly deps: PlacingDeps) {}

	static create(deps: PlacingDeps): Placing {
		return new Placing(deps);
	}

	/** The evictions and throttles in force. */
	get wishes(): Wishes {
		return { evictions: this.evictions, throttles: this.throttles };
	}

	/** Drops a task's eviction once a change to the task has been decided. */
	settled(task: string): void {
		this.evictions.delete(task);
	}

	/** Relieves overfull workers, and places pending tasks. */
	round(state: shards.ShardState, all: placement.Box[]): shards.Change[] {
		this.relieve(state, all);
		const pending = boxes.waitingOf(state);
		if (pending.length === 0) {
			this.waitsFor = new Map();
			return [];
		}
		const round = placement.placeRound(pending, all, {
			score: this.deps.score,
			maxPlaces: maxPlacesPerRound,
			evicting: new Set(this.evictions.keys()),
		});
		this.waitsFor = round.waiting;
		for (const one of round.evictions) this.evict(state, one.task, one.reason);
		return round.places.flatMap((place) => this.placedChange(state, place));
	}

	private placedChange(state: shards.ShardState, place: placement.Place): shards.Change[] {
		const task = state.tasks.get(place.task);
		const incarnation = this.deps.incarnationOf(place.box);
		if (task === undefined || incarnation === undefined) return [];
		const attempt = task.attempt + 1;
		return [{ type: 'task.placed', task: task.id, attempt, worker: place.box, incarnation, why: place.why }];
	}

	private relieve(state: shards.ShardState, all: placement.Box[]): void {
		const throttles = new Map<string, number>();
		// The number of attempts stands in for the progress that an eviction loses: workers do not report the age of
		// checkpoints.
		const progressOf = (task: string): number => state.tasks.get(task)?.attempt ?? 0;
		for (const box of all) {
			const relief = placement.relieve(box, progressOf);
			for (const [task, share] of relief.throttles) throttles.set(task, share);
			for (const one of relief.evictions) this.evict(state, one.task, one.reason);
		}
		this.throttles = throttles;
	}

	private evict(state: shards.ShardState, task: string, reason: string): void {
		if (this.evictions.has(task)) return;
		this.evictions.set(task, reason);
		const worker = state.tasks.get(task)?.worker;
		if (worker !== undefined) this.deps.onEvicted(worker);
	}
}
