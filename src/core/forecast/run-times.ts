/** Run times of tasks: the callers' estimates, corrected by what finished runs took. Estimates may be far off. */
import type * as jobs from '../jobs/index.js';

/** Factor by which each finished run reduces the weight of earlier ones: about the last fifty count. */
const observationDecay = 0.98;

/** Weight of the caller's estimate, in runs: three runs outweigh it. */
const estimateWeight = 2;

/** Bounds of a correction: anything beyond is a fault of the run or of the record. */
const minFactor = 0.05;
const maxFactor = 20;

/** Maximum number of keys that are kept; the one longest without a finished run is forgotten first. */
const maxKeys = 512;

/** Corrections by key, in the form from which another owner continues. */
export type RunTimeFactors = Record<string, number>;

interface Observed {
	/** Decayed sum of run time over estimate, and decayed number of runs. */
	ratios: number;
	runs: number;
}

/** A step whose run time is expected. */
export type TimedStep = Pick<jobs.StepSpec, 'image' | 'estimateMs'>;

/** Corrected run times of one owner. */
export class RunTimes {
	private readonly observed = new Map<string, Observed>();

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): RunTimes {
		return new RunTimes();
	}

	/** Learns from a run that finished in one piece at full pace. */
	noteFinished(queue: string, step: TimedStep, tookMs: number): void {
		if (!(step.estimateMs > 0) || !(tookMs >= 0)) return;
		const key = keyOf(queue, step);
		const { ratios, runs } = this.observed.get(key) ?? { ratios: estimateWeight, runs: estimateWeight };
		const ratio = clampFactor(tookMs / step.estimateMs);
		// Re-inserted, so that the keys stay in the order of their last finished run.
		this.observed.delete(key);
		this.observed.set(key, {
			ratios: ratios * observationDecay + ratio,
			runs: runs * observationDecay + 1,
		});
		const [oldest] = this.observed.keys();
		if (oldest !== undefined && this.observed.size > maxKeys) this.observed.delete(oldest);
	}

	/** Expected run time over the caller's estimate; 1: nothing is known. */
	factor(queue: string, step: TimedStep): number {
		const known = this.observed.get(keyOf(queue, step));
		return known === undefined ? 1 : known.ratios / known.runs;
	}

	/** Expected time of one run, in milliseconds. */
	expectedMs(queue: string, step: TimedStep): number {
		return step.estimateMs * this.factor(queue, step);
	}

	/** The corrections, for the next owner. */
	exportFactors(): RunTimeFactors {
		return Object.fromEntries([...this.observed].map(([key, one]) => [key, one.ratios / one.runs]));
	}

	/** Continues from the corrections of another owner. They count as much as a few runs, so that newer ones soon prevail. */
	restore(factors: RunTimeFactors): void {
		for (const [key, factor] of Object.entries(factors).slice(-maxKeys))
			this.observed.set(key, { ratios: clampFactor(factor) * estimateWeight, runs: estimateWeight });
	}
}

/** Tasks of one image behave alike; without an image, those of one queue do. */
function keyOf(queue: string, { image }: TimedStep): string {
	return image === '' ? `queue ${queue}` : `image ${image}`;
}

function clampFactor(factor: number): number {
	return Number.isFinite(factor) ? Math.min(maxFactor, Math.max(minFactor, factor)) : 1;
}
