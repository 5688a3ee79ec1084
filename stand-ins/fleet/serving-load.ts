/**
 * A model of how serving tasks react to what runs beside them. Each is a queue: its tail latency is `idle / (1 - busy)`. Its
 * busy part is its step's load, a wave, times one plus the slopes of its neighbours' images times their shares of the worker,
 * plus contention where more than 0.9 of the cores are in use. After an excess it works off its queue for a while.
 */
import * as random from '../../dev/random.js';
import type * as jobs from '../../src/core/jobs/index.js';
import type * as workers from './workers.js';

/** Loads are waves with this period, in milliseconds, between half and one and a half times the mean. */
const wavePeriodMs = 20_000;
const meanLoad = 0.5;
const waveAmplitude = 0.25;

/** Interval of the samples, and number of samples that a reading covers. */
export const sampleMs = 100;
const samplesPerReading = 5;

/** Tail latency of a serving task without load, and its target, in milliseconds. */
export const idleTailMs = 25;
export const targetMs = 150;

/** How long a task stays over its target after an excess, in milliseconds. */
const workOffMs = 1_500;

/** Bounds of the slopes of the third of the pairs of images that interfere, and of those of the others. */
const interferingSlopes = [0.8, 4.8] as const;
const otherSlopes = [0, 0.1] as const;

/** Above this share of the cores in use, each whole worker of cores raises the busy part by `contentionSlope`. */
const contentionThreshold = 0.9;
const contentionSlope = 0.5;

/** Standard deviation of the noise of a busy part, roughly. */
const noise = 0.015;

/** Busy parts count up to this value. */
const maxBusy = 0.98;

/** A serving run's newest samples. */
interface Sampled {
	tails: number[];
	overUntil: number;
}

/** How often a serving job's tasks were sampled, and how often over their targets. */
export interface JobSamples {
	samples: number;
	over: number;
	/** Share of the tasks over their targets, for each full `windowMs`. */
	windows: number[];
}

/** Length of a window, in milliseconds. */
const windowMs = 2_000;

/** Serving tasks on simulated workers. */
export class ServingLoad {
	private readonly sampled = new Map<string, Sampled>();
	private readonly specs = new Map<string, jobs.StepSpec>();
	private readonly slopes = new Map<string, number>();
	private readonly next: () => number;
	/** By serving job. */
	readonly samplesByJob = new Map<string, JobSamples>();
	private readonly window = new Map<string, { samples: number; over: number }>();
	private windowEndsAt = windowMs;

	private constructor(private readonly seed: number) {
		this.next = random.seededRandom(seed);
	}

	static create(seed: number): ServingLoad {
		return new ServingLoad(seed);
	}

	/** Makes a job's steps known. */
	addJob(record: Pick<jobs.JobRecord, 'id' | 'steps'>): void {
		record.steps.forEach((spec, number) => this.specs.set(`${record.id}.${String(number)}`, spec));
	}

	/** Newest reading of a serving task: its mean tail latency over half a second, in milliseconds. */
	reading(task: string): number {
		const tails = this.sampled.get(task)?.tails ?? [];
		return tails.length === 0 ? idleTailMs : tails.reduce((a, b) => a + b, 0) / tails.length;
	}

	/** Samples all serving tasks. */
	sample(fleet: Iterable<workers.FakeWorker>, now: number): void {
		for (const worker of fleet) this.sampleWorker(worker, now);
		if (now < this.windowEndsAt) return;
		this.windowEndsAt = now + windowMs;
		for (const [job, { samples, over }] of this.window) this.of(job).windows.push(over / samples);
		this.window.clear();
	}

	private sampleWorker(worker: workers.FakeWorker, now: number): void {
		const capacity = worker.entry.capacity.milliCores;
		const neighbours = new Map<string, number>();
		let used = 0;
		for (const [task, { pace }] of worker.running) {
			const spec = this.specOf(task);
			if (spec === undefined) continue;
			used += spec.milliCores * (spec.targetMs > 0 ? this.loadOf(task, now) : pace / 100);
			if (spec.fills)
				neighbours.set(
					spec.image,
					(neighbours.get(spec.image) ?? 0) + (spec.milliCores * pace) / 100 / capacity,
				);
		}
		const contention = contentionSlope * Math.max(0, used / capacity - contentionThreshold);
		for (const task of worker.running.keys()) {
			const spec = this.specOf(task);
			if (spec === undefined || spec.targetMs === 0) continue;
			let raised = 1 + contention;
			for (const [image, share] of neighbours) raised += this.slope(spec.image, image) * share;
			const jitter = (this.next() + this.next() + this.next() - 1.5) * 2 * noise;
			this.take(task, Math.min(maxBusy, this.loadOf(task, now) * raised + jitter), now);
		}
	}

	private take(task: string, busy: number, now: number): void {
		const state = this.sampled.get(task) ?? { tails: [], overUntil: -Infinity };
		this.sampled.set(task, state);
		const tail = idleTailMs / (1 - Math.max(0, busy));
		if (tail > targetMs) state.overUntil = now + workOffMs;
		const isOver = now < state.overUntil;
		state.tails.push(isOver ? Math.max(tail, targetMs * 1.2) : tail);
		if (state.tails.length > samplesPerReading) state.tails.shift();
		const job = task.slice(0, task.indexOf('.'));
		const window = this.window.get(job) ?? { samples: 0, over: 0 };
		this.window.set(job, window);
		for (const counts of [this.of(job), window]) {
			counts.samples += 1;
			counts.over += Number(isOver);
		}
	}

	private of(job: string): JobSamples {
		const known = this.samplesByJob.get(job) ?? { samples: 0, over: 0, windows: [] };
		this.samplesByJob.set(job, known);
		return known;
	}

	/** Load of a task's step: each has its own phase. */
	private loadOf(task: string, now: number): number {
		const phase = (random.hash(`${String(this.seed)} ${stepKeyOf(task)}`) % 1_000) / 1_000;
		return meanLoad + waveAmplitude * Math.sin(2 * Math.PI * (now / wavePeriodMs + phase));
	}

	private specOf(task: string): jobs.StepSpec | undefined {
		return this.specs.get(stepKeyOf(task));
	}

	/** Serving images are of two kinds: a preemptible image interferes with one of them, or with none. */
	private slope(serving: string, neighbour: string): number {
		const key = `${serving} ${neighbour}`;
		const known = this.slopes.get(key);
		if (known !== undefined) return known;
		const fraction = (salt: string): number => (random.hash(`${String(this.seed)} ${salt}`) % 1_000) / 1_000;
		const isInterfering = numberOf(serving) % 2 === numberOf(neighbour) % 3;
		const [low, high] = isInterfering ? interferingSlopes : otherSlopes;
		const slope = low + (high - low) * fraction(`slope ${key}`);
		this.slopes.set(key, slope);
		return slope;
	}
}

/** Number at the end of an image's name. */
function numberOf(image: string): number {
	return Number(image.split('-').at(-1));
}

/** `job.step` of a task named `job.occurrence.step.index`. */
function stepKeyOf(task: string): string {
	const [job = '', , step = ''] = task.split('.');
	return `${job}.${step}`;
}
