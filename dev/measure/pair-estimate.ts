/**
 * A try that did not beat its baseline (docs/decisions/0009-placement.md): keep tasks away from neighbours whose pair
 * is known to disturb.
 *
 * Online estimate of how much latency each batch job adds to each service on the same worker, from the services'
 * late reports: observed = base(service) + sum of pair costs, learnt by normalised least mean squares.
 * Kept in memory only; a new owner learns it anew.
 */

import * as placement from '../../src/core/placement/index.js';

/** Part of an error taken into the estimate at each report. */
const learningRate = 0.2;

/** Pairs remembered at most; the oldest go first. */
const maxPairs = 50_000;

/** The estimate. */
export class PairCostModel {
	private readonly baseLatencies = new Map<string, number>();
	private readonly costs = new Map<string, number>();

	private constructor() {
		// Built by `create`.
	}

	static create(): PairCostModel {
		return new PairCostModel();
	}

	/** Takes in one report: a service's latency in milliseconds beside these batch jobs, each once for each task. */
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

	/** Milliseconds that one task of the batch job adds to the service; 0 for a pair never seen together. */
	cost(service: string, batch: string): number {
		return this.costs.get(pairKey(service, batch)) ?? 0;
	}

	private adjustCost(pair: string, correction: number): void {
		// A neighbour never makes a service faster: what looks like it belongs to the base.
		this.costs.set(pair, Math.max(0, (this.costs.get(pair) ?? 0) + correction));
		const oldest = this.costs.keys().next().value;
		if (this.costs.size > maxPairs && oldest !== undefined) this.costs.delete(oldest);
	}
}

function pairKey(service: string, batch: string): string {
	return `${service}|${batch}`;
}

/** Estimated latency, in milliseconds, that a batch job adds to a service at the same worker. */
export type PairCost = (service: string, batch: string) => number;

/** Weight of a millisecond of added latency against a whole worker's load. */
export interface PairAwareOptions {
	cost: PairCost;
	msPerFullLoad: number;
	/** How batch tasks are rated apart from disturbance. */
	batch: placement.Score;
}

/**
 * Services spread (so that a lost worker or rack takes few replicas of one job), batch as `opts.batch` says,
 * and both kept away from neighbours whose pair is known to disturb.
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
