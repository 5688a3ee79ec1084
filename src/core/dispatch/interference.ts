/**
 * Learns how much the tasks beside it disturb a task that serves users, by pairs of images.
 *
 * A serving task is taken for a queue: its tail is `idle / (1 - busy)`, and its busy part is its step's load, times one
 * plus the sum over its neighbours of a pair's slope times the neighbour's share of the worker. The slopes are learnt
 * by ridge regression over all reports; names of images mean nothing beyond a day, so all is learnt anew from a
 * cautious first guess. docs/decisions/0011-interference.md has the measurements behind the form.
 */
import * as loadTrack from './load-track.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** First guess of a pair's slope. */
const firstSlope = 0.7;

/** Weight of the first guess, in squared shares; a tenth of a worker seen for five reports outweighs it. */
const firstWeight = 0.05;

/** Part of the evidence that each new report keeps: about the last two thousand reports count. */
const keptEvidence = 0.9995;

/** A reading covers so long, in milliseconds: a neighbour that started in between counts in part. */
const readingMs = 600;

/** First guess of the tail of an idle task, as a part of its target. */
const firstIdle = 1 / 6;

/** The lowest tail seen is about that of an idle task; readings are rough. */
const idlePerLowest = 0.95;

/** A profile of a worker is worked out anew after so long, in milliseconds: loads and slopes move slowly. */
const profileMs = 500;

/**
 * Measured: a task is over its target for about this part of the time as soon as anything disturbs it at all, and for
 * so much more a unit of disturbance.
 */
const firstHarm = 0;
const harmPerDisturbance = 0.5;

/** Less disturbance than this is none. */
const noDisturbance = 0.03;

/**
 * After a tail went over its target, readings stay high for a while whatever the neighbours do: what has queued up
 * has to be worked off. Nothing is learnt from readings for so long, in milliseconds.
 */
const overloadMs = 1_800;

/** Under this load a tail is too close to that of an idle task to tell anything. */
const leastLoad = 0.35;

/** A busy part raised by more than this is taken for this: an overload shows how far only roughly. */
const mostRaised = 1.5;

/** Mean difference of slopes from which two serving images count as wholly unlike. */
const unlikeSlope = 1;

/** Name under which tasks that neither serve nor fill are counted. */
const ordinary = '';

/** Share of the worker by neighbour image. */
type Shares = Map<string, number>;

/** What is known of one serving image. */
interface Model {
	/** Lowest tail seen, in milliseconds. */
	lowest: number;
	/** Neighbour images in the order of the unknowns. */
	images: string[];
	/** Weighted sums of products of the inputs, and of inputs and result. */
	products: number[][];
	results: number[];
	/** Solution of the above; undefined: out of date. */
	solution: number[] | undefined;
}

/** All that was learnt, by serving image; another owner may go on from it. */
export type Knowledge = Record<string, Omit<Model, 'solution'>>;

/** A serving task, and how much all that is placed beside it raises its busy part. */
interface ServingProfile {
	image: string;
	disturbance: number;
}

/** The serving tasks of a worker, worked out for one state of it. */
interface Profile {
	revision: number;
	at: number;
	tasks: ServingProfile[];
}

/** Estimates of disturbance, over all workers of one owner. */
export class Interference {
	private readonly models = new Map<string, Model>();
	private readonly profiles = new WeakMap<sessions.WorkerSession, Profile>();
	private readonly tracks = new WeakMap<jobs.StepRun, loadTrack.LoadTrack>();

	private constructor(private readonly now: () => number) {}

	static create(now: () => number): Interference {
		return new Interference(now);
	}

	/** What was learnt so far. */
	knowledge(): Knowledge {
		const all = [...this.models].map(([image, model]) => {
			const { lowest, images, products, results } = model;
			return [image, { lowest, images, products, results }] as const;
		});
		return Object.fromEntries(all);
	}

	/** Goes on from what another owner learnt. */
	adopt(knowledge: Knowledge): void {
		for (const [image, learnt] of Object.entries(knowledge))
			this.models.set(image, { ...structuredClone(learnt), solution: undefined });
	}

	/** Learns from a worker's newest readings. */
	observe(session: sessions.WorkerSession): void {
		const serving = servingOf(session).filter((place) => place.reading > 0 && place.percent === 100);
		if (serving.length === 0) return;
		const now = this.now();
		const shares = sharesOf(session, (place) => partOfReading(place, now));
		const isSteady = now - session.neighboursChangedAt > readingMs;
		for (const place of serving) {
			const { image, targetMs } = place.task.step.spec;
			const model = this.model(image);
			model.lowest = Math.min(model.lowest, place.reading);
			const isOver = place.reading > targetMs;
			// Of readings over the target, those under unchanged neighbours are evidence.
			const isFirst = isOver && session.relievedAt < now - overloadMs;
			noteOver(place, isOver, now);
			// Relieved of a neighbour, it still has to work off what has queued up.
			if (!isFirst && now - place.overAt < overloadMs && now - session.relievedAt < overloadMs) continue;
			const busy = busyOf(model, place.reading, targetMs);
			const track = this.track(place.task.step);
			track.note(place.task.index, busy, now);
			const load = track.comparable;
			if (load !== undefined && load > leastLoad && (isSteady || isOver))
				learn(model, shares, Math.min(mostRaised, busy / load - 1));
		}
	}

	/**
	 * How many serving tasks of a worker one more neighbour is expected to keep over their targets, beyond those that are
	 * so already; parts count for those that go over for a part of the time.
	 */
	harmOf(session: sessions.WorkerSession, image: string, share: number): number {
		let harm = 0;
		for (const one of this.profile(session)) {
			const more = this.slope(one.image, image) * share;
			if (more > 0) harm += harmAt(one.disturbance + more) - harmAt(one.disturbance);
		}
		return harm;
	}

	/** How much a neighbour raises a serving image's busy part, a whole worker of it. */
	slope(serving: string, neighbour: string): number {
		return slopeOf(this.model(serving), neighbour);
	}

	/**
	 * How differently two serving images are disturbed, 0 to 1: 1 where a neighbour that one does not mind overloads the
	 * other, or nothing is known.
	 */
	unlikeness(one: string, other: string): number {
		if (one === other) return 0;
		const images = new Set([...this.model(one).images, ...this.model(other).images]);
		images.delete(ordinary);
		if (images.size === 0) return 1;
		let sum = 0;
		for (const image of images) sum += Math.abs(this.slope(one, image) - this.slope(other, image));
		return Math.min(1, sum / images.size / unlikeSlope);
	}

	/** The serving tasks of a worker beside what is placed there. */
	private profile(session: sessions.WorkerSession): ServingProfile[] {
		const known = this.profiles.get(session);
		const now = this.now();
		if (known?.revision === session.revision && now - known.at < profileMs) return known.tasks;
		const shares = sharesOf(session, () => 1);
		const tasks = servingOf(session).map((place) => {
			const { image } = place.task.step.spec;
			return { image, disturbance: disturbance(this.model(image), shares) };
		});
		this.profiles.set(session, { revision: session.revision, at: now, tasks });
		return tasks;
	}

	private track(step: jobs.StepRun): loadTrack.LoadTrack {
		const known = this.tracks.get(step);
		if (known !== undefined) return known;
		const created = loadTrack.LoadTrack.create();
		this.tracks.set(step, created);
		return created;
	}

	private model(image: string): Model {
		const known = this.models.get(image);
		if (known !== undefined) return known;
		const created: Model = {
			lowest: Infinity,
			images: [],
			products: [],
			results: [],
			solution: undefined,
		};
		this.models.set(image, created);
		return created;
	}
}

/** Whether a placement's task serves users. */
export function isServing(place: types.Placement): boolean {
	return place.task.step.spec.targetMs > 0;
}

/** Placements that serve users on a worker. */
export function servingOf(session: sessions.WorkerSession): types.Placement[] {
	return [...session.placements.values()].filter(isServing);
}

/** Share of the worker that a placement uses at its pace. */
export function shareOf(session: sessions.WorkerSession, place: types.Placement): number {
	const capacity = session.entry?.capacity.milliCores ?? 1;
	return (place.task.step.spec.milliCores * place.pace) / 100 / capacity;
}

/** What the neighbours use, by image; `partOf` weighs each. */
function sharesOf(session: sessions.WorkerSession, partOf: (place: types.Placement) => number): Shares {
	const shares: Shares = new Map();
	for (const place of session.placements.values()) {
		if (isServing(place)) continue;
		const { spec } = place.task.step;
		const image = spec.fills ? spec.image : ordinary;
		shares.set(image, (shares.get(image) ?? 0) + shareOf(session, place) * partOf(place));
	}
	return shares;
}

/** Part of the newest reading during which a neighbour was at work. */
function partOfReading(place: types.Placement, now: number): number {
	if (place.confirmedAt === 0) return 0;
	return Math.min(1, (now - Math.max(place.confirmedAt, place.pacedAt)) / readingMs);
}

/** Part of the time that a task is over its target, by its disturbance. */
function harmAt(disturbance: number): number {
	if (disturbance < noDisturbance) return 0;
	return Math.min(1, firstHarm + harmPerDisturbance * disturbance);
}

/** Tail of an idle task, in milliseconds. */
function idleTail(model: Model, targetMs: number): number {
	return Math.min(targetMs * firstIdle, model.lowest * idlePerLowest);
}

function busyOf(model: Model, reading: number, targetMs: number): number {
	return Math.max(0, 1 - idleTail(model, targetMs) / reading);
}

/** Notes whether a task's newest reading is over its target, and since when. */
function noteOver(place: types.Placement, isOver: boolean, now: number): void {
	if (isOver) place.overAt = now;
	place.overSince = isOver ? (place.overSince ?? now) : undefined;
}

/** Adds an image's unknown to a model, with the first guess of its slope. */
function addImage(model: Model, image: string): void {
	model.images.push(image);
	for (const row of model.products) row.push(0);
	model.products.push([...model.images.slice(1).map(() => 0), firstWeight]);
	model.results.push(firstWeight * firstSlope);
	model.solution = undefined;
}

function learn(model: Model, shares: Shares, raised: number): void {
	for (const image of shares.keys()) if (!model.images.includes(image)) addImage(model, image);
	const inputs = model.images.map((image) => shares.get(image) ?? 0);
	model.products.forEach((row, i) => {
		row.forEach((sum, j) => {
			row[j] = sum * keptEvidence + (inputs[i] ?? 0) * (inputs[j] ?? 0);
		});
	});
	model.results.forEach((sum, i) => {
		model.results[i] = sum * keptEvidence + (inputs[i] ?? 0) * raised;
	});
	model.solution = undefined;
}

/** A neighbour never helps. */
function slopeOf(model: Model, neighbour: string): number {
	const index = model.images.indexOf(neighbour);
	return index < 0 ? firstSlope : Math.max(0, solve(model)[index] ?? firstSlope);
}

function disturbance(model: Model, shares: Shares): number {
	let sum = 0;
	for (const [image, share] of shares) sum += slopeOf(model, image) * share;
	return sum;
}

/** Solves the model's equations by elimination; the first guesses keep them regular. */
function solve(model: Model): number[] {
	if (model.solution !== undefined) return model.solution;
	const size = model.results.length;
	const rows = model.products.map((row, i) => [...row, model.results[i] ?? 0]);
	for (let pivot = 0; pivot < size; pivot += 1) eliminate(rows, pivot);
	model.solution = rows.map((row, i) => (row[size] ?? 0) / (row[i] ?? 1));
	return model.solution;
}

/** Clears a column in every row but its own; the matrix is positive definite, so no rows change places. */
function eliminate(rows: number[][], pivot: number): void {
	const pivotRow = rows[pivot] ?? [];
	const head = pivotRow[pivot] ?? 1;
	rows.forEach((row, i) => {
		if (i === pivot) return;
		const factor = (row[pivot] ?? 0) / head;
		if (factor === 0) return;
		for (let j = pivot; j < row.length; j += 1) row[j] = (row[j] ?? 0) - factor * (pivotRow[j] ?? 0);
	});
}
