/**
 * Learns how much the tasks beside it disturb a task that serves users, by pairs of images.
 *
 * A serving task is taken for a queue: its tail is `idle / (1 - busy)`, and its busy part is its own load, times one
 * plus the sum over its neighbours of a pair's slope times the neighbour's share of the worker. The slopes are learnt
 * by ridge regression over all reports; names of images mean nothing beyond a day, so all is learnt anew from a
 * cautious first guess. docs/decisions/0011-interference.md has the measurements behind the form.
 */
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** First guess of a pair's slope. */
const firstSlope = 1.2;

/** Weight of the first guess, in squared shares; a tenth of a worker seen for five reports outweighs it. */
const firstWeight = 0.05;

/** First guess of a serving task's own load. */
const firstLoad = 0.45;

/** Weight of that guess, in reports. */
const firstLoadWeight = 3;

/** Part of the evidence that each new report keeps: about the last thousand reports count. */
const keptEvidence = 0.999;

/** A reading covers so long, in milliseconds: a neighbour that started in between counts in part. */
const readingMs = 500;

/** First guess of the tail of an idle task, as a part of its target. */
const firstIdle = 1 / 6;

/** The lowest tail seen belongs to a load of about a quarter. */
const idlePerLowest = 0.75;

/** Loads swing over seconds: a load is looked at so far ahead, by its trend, in milliseconds. */
const aheadMs = 500;

/** A load's peak is forgotten at this rate, a millisecond. */
const peakFading = 0.005 / 1_000;

/** Peak of a load that was not watched yet, in parts of the image's mean. */
const firstPeak = 1.2;

/**
 * After a tail went over its target, readings stay high for a while whatever the neighbours do: what has queued up
 * has to be worked off. Nothing is learnt from readings for so long, in milliseconds.
 */
const overloadMs = 1_800;

/** Most that a trend may add to a load. */
const mostTrend = 0.05;

/** Name under which tasks that neither serve nor fill are counted. */
const ordinary = '';

/** Share of the worker by neighbour image. */
type Shares = Map<string, number>;

/** What is known of one serving image. */
interface Model {
	/** Lowest tail seen, in milliseconds. */
	lowest: number;
	/** Neighbour images in the order of the unknowns; the unknown before them is the load without neighbours. */
	images: string[];
	/** Weighted sums of products of the inputs, and of inputs and result. */
	products: number[][];
	results: number[];
	/** Solution of the above; undefined: out of date. */
	solution: number[] | undefined;
}

/** Estimates of disturbance, over all workers of one owner. */
export class Interference {
	private readonly models = new Map<string, Model>();

	private constructor(private readonly now: () => number) {}

	static create(now: () => number): Interference {
		return new Interference(now);
	}

	/** Learns from a worker's newest readings. */
	observe(session: sessions.WorkerSession): void {
		const serving = servingOf(session).filter((place) => place.reading > 0 && place.percent === 100);
		if (serving.length === 0) return;
		const now = this.now();
		const shares = sharesOf(session, (place) => partOfReading(place, now));
		for (const place of serving) {
			const model = this.model(place.task.step.spec.image);
			model.lowest = Math.min(model.lowest, place.reading);
			const { targetMs } = place.task.step.spec;
			const isOver = place.reading > targetMs;
			noteOver(place, isOver, now);
			// Relieved of a neighbour, it still has to work off what has queued up.
			if (isOver && now - session.relievedAt < overloadMs) continue;
			const busy = busyOf(model, place.reading, targetMs);
			learn(model, shares, busy);
			if (!isOver) noteLoad(place, busy / (1 + disturbance(model, shares)), now);
		}
	}

	/** Highest load to reckon with while a neighbour stays. */
	loadPeak(place: types.Placement): number {
		const first = this.meanLoad(place.task.step.spec.image) * firstPeak;
		return place.load === undefined ? first : Math.max(place.loadPeak, first);
	}

	/** Part of its time that a serving task may be busy at most so that its tail stays at the target. */
	mostBusy(place: types.Placement): number {
		const { image, targetMs } = place.task.step.spec;
		return 1 - idleTail(this.model(image), targetMs) / targetMs;
	}

	/** A serving task's own load a moment ahead. */
	loadAhead(place: types.Placement): number {
		const load = place.load ?? this.meanLoad(place.task.step.spec.image);
		return Math.min(1, Math.max(0, load + Math.min(mostTrend, place.loadTrend * aheadMs)));
	}

	/** Load of a serving image over time. */
	meanLoad(image: string): number {
		return loadOf(this.model(image));
	}

	/** How much a neighbour raises a serving image's busy part, a whole worker of it. */
	slope(serving: string, neighbour: string): number {
		return slopeOf(this.model(serving), neighbour);
	}

	/** How much all that is placed beside raises a serving task's busy part. */
	disturbanceOf(session: sessions.WorkerSession, place: types.Placement): number {
		return disturbance(
			this.model(place.task.step.spec.image),
			sharesOf(session, () => 1),
		);
	}

	private model(image: string): Model {
		const known = this.models.get(image);
		if (known !== undefined) return known;
		const created: Model = {
			lowest: Infinity,
			images: [],
			products: [[firstLoadWeight]],
			results: [firstLoadWeight * firstLoad],
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

/** Tail of an idle task, in milliseconds. */
function idleTail(model: Model, targetMs: number): number {
	return Math.min(targetMs * firstIdle, model.lowest * idlePerLowest);
}

function busyOf(model: Model, reading: number, targetMs: number): number {
	return Math.max(0, 1 - idleTail(model, targetMs) / reading);
}

/** Takes a load into the placement's newest load and its trend. */
function noteLoad(place: types.Placement, load: number, now: number): void {
	if (place.load !== undefined && now > place.loadAt)
		place.loadTrend = (load - place.load) / Math.max(now - place.loadAt, readingMs);
	place.loadPeak = Math.max(load, place.loadPeak - (now - place.loadAt) * peakFading);
	place.load = load;
	place.loadAt = now;
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
	model.products.push([...model.images.map(() => 0), firstWeight]);
	model.results.push(firstWeight * firstSlope * firstLoad);
	model.solution = undefined;
}

function learn(model: Model, shares: Shares, busy: number): void {
	for (const image of shares.keys()) if (!model.images.includes(image)) addImage(model, image);
	const inputs = [1, ...model.images.map((image) => shares.get(image) ?? 0)];
	model.products.forEach((row, i) => {
		row.forEach((sum, j) => {
			row[j] = sum * keptEvidence + (inputs[i] ?? 0) * (inputs[j] ?? 0);
		});
	});
	model.results.forEach((sum, i) => {
		model.results[i] = sum * keptEvidence + (inputs[i] ?? 0) * busy;
	});
	model.solution = undefined;
}

function loadOf(model: Model): number {
	return Math.max(0.05, solve(model)[0] ?? firstLoad);
}

/** A neighbour never helps. */
function slopeOf(model: Model, neighbour: string): number {
	const index = model.images.indexOf(neighbour);
	if (index < 0) return firstSlope;
	return Math.max(0, (solve(model)[index + 1] ?? 0) / loadOf(model));
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
