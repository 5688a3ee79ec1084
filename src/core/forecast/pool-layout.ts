/**
 * Lays the work of one kind in one pool out over the next 30 s, as a fluid: tasks share cores as if each could be split
 * between workers. With tens of workers or more the error is below that of the run times.
 */
import * as sequences from './placing-sequence.js';
import type * as types from './types.js';

/** Resolution, in milliseconds: a tenth of the shortest usual run, and below the time between two forecasts. */
const binMs = 50;

/** How far work is laid out, in milliseconds: three times the longest wait that is accepted. */
export const horizonMs = 30_000;

const binCount = horizonMs / binMs;

/**
 * When the step after one with several tasks is taken to start, over the mean run time: it waits for the slowest task.
 */
export const slowestFactor = 1.1;

/** Below this many cores nothing more is placed at a time: rounding leaves remainders. */
const minFreeCores = 0.01;

/** The waits found for one class. */
export interface ClassWaits {
	priority: number;
	points: types.WaitPoint[];
	lateWaitMs: number;
}

/** One class in the course of the layout. */
interface ActiveClass {
	priority: number;
	sequence: sequences.PlacingSequence;
	/** Latest due time of the points found; infinite: the last one is found. */
	reachedDueInMs: number;
	points: types.WaitPoint[];
	/** Undefined: not found yet. */
	lateWaitMs: number | undefined;
}

/** The layout of one pool's cores. */
export class PoolLayout {
	/** Cores that become free at the beginning of each bin. */
	private readonly released = new Float64Array(binCount + 1);
	private readonly becomingReady: (sequences.PendingStep[] | undefined)[] = [];
	private readonly classes = new Map<number, ActiveClass>();
	/** Cores left free in each bin. */
	private readonly left = new Float64Array(binCount);
	private free: number;

	private constructor(cores: number) {
		this.free = cores;
	}

	static create(cores: number): PoolLayout {
		return new PoolLayout(cores);
	}

	/** Takes the cores of running work. */
	addRunning(running: types.RunningWork): void {
		this.free -= running.cores;
		this.release(running.cores, Math.max(1, Math.ceil(running.leftMs / binMs)));
	}

	/** Adds a step that waits. */
	addWaiting(step: sequences.PendingStep): void {
		this.classOf(step.work.priority);
		if (step.blockedBy === 0) this.makeReady(step);
	}

	/** Lays everything out; returns the waits by class, the highest priority first. */
	run(): ClassWaits[] {
		const classes = [...this.classes.values()].sort((a, b) => a.priority - b.priority);
		for (let bin = 0; bin < binCount; bin += 1) {
			this.free += this.released[bin] ?? 0;
			for (const step of this.becomingReady[bin] ?? []) this.classOf(step.work.priority).sequence.add(step);
			for (const one of classes) this.placeClass(one, bin);
			this.left[bin] = Math.max(0, this.free);
		}
		return classes.map(toWaits);
	}

	/** Free core-milliseconds of each of the next `seconds` seconds, after `run`. */
	freeBySecond(seconds: number): number[] {
		const perSecond = 1_000 / binMs;
		return Array.from({ length: seconds }, (_, second) => {
			const bins = this.left.subarray(second * perSecond, (second + 1) * perSecond);
			return Math.round(bins.reduce((sum, cores) => sum + cores, 0) * binMs);
		});
	}

	private placeClass(one: ActiveClass, bin: number): void {
		const { sequence } = one;
		sequence.moveLate(bin * binMs);
		// More urgent work takes everything: nothing of this class is placed, new work included.
		if (this.free <= minFreeCores) return;
		let lastDueInMs = -Infinity;
		while (this.free > minFreeCores) {
			const step = sequence.first();
			if (step === undefined) break;
			lastDueInMs = sequence.hasOnTime ? step.work.dueInMs : Infinity;
			this.placePart(step, bin);
			if (step.coresLeft > minFreeCores) break;
			sequence.removeFirst();
		}
		const hasFreeCores = this.free > minFreeCores;
		noteWaits(one, bin * binMs, hasFreeCores ? Infinity : lastDueInMs, hasFreeCores);
	}

	/** Places as much of a step as there are free cores. */
	private placePart(step: sequences.PendingStep, bin: number): void {
		const cores = Math.min(step.coresLeft, this.free);
		const bins = Math.max(1, Math.round(step.work.runMs / binMs));
		step.coresLeft -= cores;
		this.free -= cores;
		this.release(cores, bin + bins);
		if (step.coresLeft > minFreeCores) return;
		const slowest = step.work.tasks > 1 ? slowestFactor : 1;
		this.unblockDependents(step, (bin + bins * slowest) * binMs);
	}

	private unblockDependents(step: sequences.PendingStep, endMs: number): void {
		for (const dependent of step.dependents) {
			dependent.blockedBy -= 1;
			dependent.readyAtMs = Math.max(dependent.readyAtMs, endMs);
			// A step of another kind is added to the layout of its own pool later.
			if (dependent.blockedBy === 0 && dependent.work.kind === step.work.kind) this.makeReady(dependent);
		}
	}

	private release(cores: number, bin: number): void {
		const at = Math.min(binCount, bin);
		this.released[at] = (this.released[at] ?? 0) + cores;
	}

	private makeReady(step: sequences.PendingStep): void {
		const bin = Math.ceil(step.readyAtMs / binMs);
		if (bin < binCount) (this.becomingReady[bin] ??= []).push(step);
	}

	private classOf(priority: number): ActiveClass {
		const known = this.classes.get(priority);
		if (known !== undefined) return known;
		const sequence = sequences.PlacingSequence.create();
		const created = {
			priority,
			sequence,
			reachedDueInMs: -Infinity,
			points: [],
			lateWaitMs: undefined,
		};
		this.classes.set(priority, created);
		return created;
	}
}

/** Notes that work which is due by `dueInMs` and on time would be placed now, before what took the last cores. */
function noteWaits(one: ActiveClass, nowMs: number, dueInMs: number, hasFreeCores: boolean): void {
	if (hasFreeCores) one.lateWaitMs ??= nowMs;
	if (dueInMs <= one.reachedDueInMs) return;
	const last = one.points.at(-1)?.[0] ?? nowMs;
	one.points.push([dueInMs === Infinity ? last + 1 : dueInMs, nowMs]);
	one.reachedDueInMs = dueInMs;
}

function toWaits({ priority, points, reachedDueInMs, lateWaitMs = horizonMs }: ActiveClass): ClassWaits {
	const last = points.at(-1)?.[0] ?? 0;
	const isComplete = reachedDueInMs === Infinity;
	return { priority, points: isComplete ? points : [...points, [last + 1, horizonMs]], lateWaitMs };
}
