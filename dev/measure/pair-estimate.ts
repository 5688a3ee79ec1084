/**
 * An experiment that did not beat its baseline (docs/decisions/0009-placement.md): keep tasks away from neighbours that are
 * known to interfere with them.
 *
 * The model estimates online how much latency each batch job adds to each service on the same worker. It learns from the
 * services' delayed reports by normalised least mean squares: observed latency = base latency of the service + sum of the
 * pair costs. It is kept in memory only; a new owner learns it from the beginning.
 */

import * as placement from '../../src/core/placement/index.js';

/** Fraction of the prediction error that one report corrects. */
const learningRate = 0.2;

/** Maximum number of pairs kept. Above it, the pair added first is removed. */
const maxPairs = 50_000;

/** Model of the latency that batch jobs add to services. */
export class PairCostModel {
	private readonly baseLatencies = new Map<string, number>();
	private readonly costs = new Map<string, number>();

	private constructor() {
		// Instances are created by `create`.
	}

	static create(): PairCostModel {
		return new PairCostModel();
	}

	/**
	 * Learns from one report: a service's latency in milliseconds while these batch jobs ran on its worker. A job is listed
	 * once for each of its tasks.
	 */
	observe(service: string, batchJobs: readonly string[], latencyMs: number): void {
		const base = this.baseLatencies.get(service);
		if (base === undefined) {
			this.baseLatencies.set(service, latencyMs);
			return;
		}
		const pairs = batchJobs.map((job) => pairKey(service, job));
		const predicted = pairs.reduce((sum, pair) => sum + (this.costs.get(pair) ?? 0), base);
		const correction = (learningRate * (latencyMs - predicted)) / (pairs.length + 1);
		this.baseLatencies.set(service, Math.max(0, base + correction));
		for (const pair of pairs) this.adjustCost(pair, correction);
	}

	/** Milliseconds that one task of the batch job adds to the service's latency; 0 for a pair that no report has shown. */
	cost(service: string, batch: string): number {
		return this.costs.get(pairKey(service, batch)) ?? 0;
	}

	private adjustCost(pair: string, correction: number): void {
		// Costs are never negative, because a neighbour cannot make a service faster. An apparent gain lowers the base
		// latency instead.
		this.costs.set(pair, Math.max(0, (this.costs.get(pair) ?? 0) + correction));
		const oldest = this.costs.keys().next().value;
		if (this.costs.size > maxPairs && oldest !== undefined) this.costs.delete(oldest);
	}
}

function pairKey(service: string, batch: string): string {
	return `${service}|${batch}`;
}

/** Estimated milliseconds that one task of a batch job adds to a service's latency on the same worker. */
export type PairCost = (service: string, batch: string) => number;

/** Options of the score. Added latency of `msPerFullLoad` milliseconds weighs as much as a whole worker's load. */
export interface PairAwareOptions {
	cost: PairCost;
	msPerFullLoad: number;
	/** Score of batch tasks without interference. */
	batch: placement.Score;
}

/**
 * Score that spreads services, so that a lost worker or rack takes few replicas of one job, and scores batch tasks by
 * `opts.batch`. It keeps both away from neighbours that are known to interfere with them.
 */
export function pairAwareScore(opts: PairAwareOptions): placement.Score {
	return (task, box) => {
		const base = task.kind === 'service' ? placement.mixed(task, box) : opts.batch(task, box);
		return base + interference(task, box, opts.cost) / opts.msPerFullLoad;
	};
}

function interference(task: placement.PendingTask, box: placement.Worker, cost: PairCost): number {
	let sum = 0;
	for (const resident of box.allocations) {
		if (resident.kind === task.kind) continue;
		sum += task.kind === 'service' ? cost(task.job, resident.job) : cost(resident.job, task.job);
	}
	return sum;
}
