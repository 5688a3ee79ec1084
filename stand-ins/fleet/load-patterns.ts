/** Load patterns for an owner, as seeded lists of jobs with their arrival times, sizes and durations. */
import * as random from '../../dev/random.js';
import type * as jobs from '../../src/core/jobs/index.js';
import type * as types from './types.js';

/** Kinds of work: short urgent steps, wide preemptible steps, and long-running steps. */
const kinds = ['urgent', 'wide', 'lasting'] as const;

export type WorkKind = (typeof kinds)[number];

/** The arrival of a job. */
export interface Arrival {
	/** Milliseconds after the start of the load. */
	atMs: number;
	kind: WorkKind;
	record: Pick<jobs.JobRecord, 'id' | 'queue' | 'steps'>;
}

/** A load pattern. */
export interface LoadPattern {
	name: string;
	workers: number;
	/** Capacity of each worker, in thousandths of a core. */
	workerMilliCores: number;
	/** Period during which jobs arrive, in milliseconds. */
	arrivalPeriodMs: number;
	/** Sorted by time. */
	arrivals: Arrival[];
	/** Plan for the runs of a task. */
	plan: (task: string) => types.RunPlan;
}

/** Mix of submitted jobs. Pairs are a minimum and a maximum. */
interface JobMix {
	/** Jobs per second of traffic and worker. */
	jobsPerWorkerPerS: Record<WorkKind, number>;
	/** Number of tasks in a wide step and in an urgent one. */
	wideTaskCount: [number, number];
	urgentTaskCount: [number, number];
	/** Size of a task, in thousandths of a core. */
	wideMilliCores: [number, number];
	urgentMilliCores: [number, number];
	lastingMilliCores: [number, number];
	/** Mean duration of a task, in milliseconds. */
	meanWideTaskMs: number;
	meanUrgentTaskMs: number;
	/** Capacity of a worker, in thousandths of a core. */
	workerMilliCores: number;
}

/** Mix of a busy printing fleet. */
const printingMix: JobMix = {
	jobsPerWorkerPerS: { urgent: 0.0303, wide: 0.0295, lasting: 0.00107 },
	wideTaskCount: [8, 70],
	urgentTaskCount: [3, 16],
	wideMilliCores: [2_500, 4_500],
	urgentMilliCores: [4_000, 9_000],
	lastingMilliCores: [5_000, 8_000],
	meanWideTaskMs: 1_700,
	meanUrgentTaskMs: 640,
	workerMilliCores: 32_000,
};

/** Twice as much batch work as `printingMix`, with smaller tasks on smaller workers. */
const smallTasksMix: JobMix = {
	jobsPerWorkerPerS: { urgent: 0.0344, wide: 0.0612, lasting: 0.0015 },
	wideTaskCount: [8, 32],
	urgentTaskCount: [3, 17],
	wideMilliCores: [1_000, 2_600],
	urgentMilliCores: [1_000, 2_600],
	lastingMilliCores: [2_500, 4_000],
	meanWideTaskMs: 2_200,
	meanUrgentTaskMs: 800,
	workerMilliCores: 16_000,
};

/** Much batch work with large tasks on large workers. It nearly saturates an owner's processor. */
const largeWorkersMix: JobMix = {
	jobsPerWorkerPerS: { urgent: 0.028, wide: 0.0534, lasting: 0.0005 },
	wideTaskCount: [8, 32],
	urgentTaskCount: [3, 16],
	wideMilliCores: [4_000, 10_000],
	urgentMilliCores: [5_000, 17_000],
	lastingMilliCores: [4_000, 8_000],
	meanWideTaskMs: 1_700,
	meanUrgentTaskMs: 800,
	workerMilliCores: 64_000,
};

/** Long-running jobs per worker that are present at the start. They reserve nearly all cores. */
const initialJobsPerWorker = 0.17;

/** Tail latency of a serving task without load, and the latency target, in milliseconds. */
const idleTailLatencyMs = 25;
const targetMs = 150;

const queues: Record<WorkKind, jobs.QueuePolicy> = {
	urgent: createQueuePolicy('urgent', 0, 1.5, 250),
	wide: createQueuePolicy('wide', 2, 2, 1_000),
	lasting: createQueuePolicy('lasting', 0, 2.2, 2_500),
};

/** Differences of a load from steady traffic. */
export interface LoadShape {
	/** From `fromMs` on, for `burstMs`, wide jobs arrive at `factor` times the usual rate. */
	burst?: { factor: number; fromMs: number; burstMs: number };
	/** Jobs that arrive before this time are all submitted at this time; in milliseconds. */
	delayedUntilMs?: number;
	/** Factor by which tasks run longer than usual. */
	slowdown?: number;
	/** Absent: that of a busy printing fleet. */
	mix?: JobMix;
}

/** Load shapes by name. */
export const loadShapes: Record<string, LoadShape> = {
	steady: {},
	burst: { burst: { factor: 2.6, fromMs: 2_000, burstMs: 4_000 } },
	comeback: { delayedUntilMs: 4_000 },
	slow: { slowdown: 3 },
	'large-workers-burst': { mix: largeWorkersMix, burst: { factor: 1.4, fromMs: 4_000, burstMs: 6_000 } },
	'small-tasks': { mix: smallTasksMix },
	'small-tasks-burst': { mix: smallTasksMix, burst: { factor: 2.6, fromMs: 2_000, burstMs: 4_000 } },
};

/** Creates a load pattern. The number of jobs is proportional to the number of workers. */
export function createPattern(
	name: string,
	workers: number,
	arrivalPeriodMs: number,
	seed: number,
): LoadPattern {
	const shape = loadShapes[name];
	if (shape === undefined) throw new Error(`no load pattern is named '${name}'`);
	const { mix = printingMix } = shape;
	const next = random.seededRandom(seed);
	const initialJobs = Math.round(workers * initialJobsPerWorker);
	const arrivals: Arrival[] = [];
	for (let index = 0; index < initialJobs; index += 1)
		arrivals.push(createArrival('lasting', index, 0, mix, next));
	for (const kind of kinds) {
		const meanIntervalMs = 1_000 / (mix.jobsPerWorkerPerS[kind] * workers);
		for (
			let atMs = meanIntervalMs * next();
			atMs < arrivalPeriodMs;
			atMs += nextIntervalMs(kind, meanIntervalMs, atMs, shape, next)
		)
			arrivals.push(
				createArrival(kind, arrivals.length, Math.max(atMs, shape.delayedUntilMs ?? 0), mix, next),
			);
	}
	arrivals.sort((a, b) => a.atMs - b.atMs);
	const plan = (task: string): types.RunPlan => createRunPlan(task, mix, shape.slowdown ?? 1);
	return { name, workers, workerMilliCores: mix.workerMilliCores, arrivalPeriodMs, arrivals, plan };
}

function nextIntervalMs(
	kind: WorkKind,
	meanIntervalMs: number,
	atMs: number,
	shape: LoadShape,
	next: () => number,
): number {
	const { burst } = shape;
	const isBurst =
		burst !== undefined && kind === 'wide' && atMs >= burst.fromMs && atMs < burst.fromMs + burst.burstMs;
	return ((0.5 + next()) * meanIntervalMs) / (isBurst ? burst.factor : 1);
}

function createQueuePolicy(
	name: string,
	priority: number,
	stretch: number,
	objectiveMs: number,
): jobs.QueuePolicy {
	return { name, pool: 'press', priority, attempts: 3, stretch, objectiveMs, advised: false };
}

function createArrival(
	kind: WorkKind,
	index: number,
	atMs: number,
	mix: JobMix,
	next: () => number,
): Arrival {
	const id = `${kind}-${String(index)}`;
	return { atMs, kind, record: { id, queue: queues[kind], steps: createSteps(kind, mix, next) } };
}

function createSteps(kind: WorkKind, mix: JobMix, next: () => number): jobs.StepSpec[] {
	if (kind === 'lasting') {
		const image = `serving-${String(random.randomInteger(next, 1, 16))}`;
		const milliCores = random.randomInteger(next, ...mix.lastingMilliCores);
		return [
			{
				...defaultStep,
				count: random.randomInteger(next, 12, 36),
				milliCores,
				lasting: true,
				image,
				targetMs,
			},
		];
	}
	const isWide = kind === 'wide';
	const count = random.randomInteger(next, ...(isWide ? mix.wideTaskCount : mix.urgentTaskCount));
	const milliCores = random.randomInteger(next, ...(isWide ? mix.wideMilliCores : mix.urgentMilliCores));
	const image = isWide ? `filling-${String(random.randomInteger(next, 1, 30))}` : '';
	const spec = { ...defaultStep, count, milliCores, image, fills: isWide, checkpoints: isWide };
	const steps = isWide ? 2 : random.randomInteger(next, 1, 2);
	return Array.from({ length: steps }, (_, i) => ({ ...spec, after: i === 0 ? [] : [i - 1] }));
}

/** Creates the plan for the runs of a task. Depends on nothing but its arguments, so that all runs of a task are alike. */
function createRunPlan(task: string, mix: JobMix, slowdown: number): types.RunPlan {
	const fraction = (random.hash(task) % 1_000) / 1_000;
	if (task.startsWith('lasting'))
		return { ms: 'endless', how: 'done', reading: idleTailLatencyMs * (1 + 4 * fraction) };
	const meanMs = task.startsWith('wide') ? mix.meanWideTaskMs : mix.meanUrgentTaskMs;
	return { ms: meanMs * (0.5 + fraction) * slowdown, how: 'done', reading: 3_000 };
}

/** A step without special requirements. */
export const defaultStep: jobs.StepSpec = {
	count: 1,
	milliCores: 1_000,
	memoryMb: 500,
	accelerators: 0,
	estimateMs: 1_000,
	after: [],
	checkpoints: false,
	gang: false,
	sameRack: false,
	requiredLabel: '',
	dataRack: '',
	maxPerWorker: 0,
	speculative: false,
	lasting: false,
	image: '',
	targetMs: 0,
	fills: false,
};
