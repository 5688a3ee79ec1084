/**
 * Measures placement policies over a seeded day, with the product's own placement functions. The tasks' real sizes and the
 * interference between pairs of jobs are hidden from the policy, which learns them from delayed reports. This is not a
 * simulation of the whole system: there are no processes and no failures.
 */
import * as rng from '../random.js';
import * as placement from '../../src/core/placement/index.js';
import * as pairs from './pair-estimate.js';
import * as report from './report.js';

const boxCount = 10;
const minutes = 24 * 60;
const lagMinutes = 5;
const baseMs = 20;
const seeds = [1, 2, 3, 4, 5];

const ways = [
	'spread',
	'best fit',
	'pair-aware, batch packed',
	'pair-aware, batch spread',
	'pair-aware, batch spread, 5 ms',
];

/** Latencies above this many milliseconds count as SLO violations of a service. */
const lateMs = 60;

interface Customer {
	name: string;
	/** Number of batch tasks that arrive in a minute of the day. */
	arrivals: (minute: number, random: () => number) => number;
	/** Load of the services in a minute of the day, from 0 to 1. */
	load: (minute: number) => number;
}

const daytime = (minute: number): number => Math.max(0.1, Math.sin(((minute - 360) / 780) * Math.PI));

/** The batch work of the Press arrives overnight, that of the Co-op by day. Both have their services' load by day. */
const customers: Customer[] = [
	{
		name: 'Press',
		arrivals: (minute, random) =>
			minute >= 1140 || minute < 120 ? Math.floor(random() * 4.2) : Math.floor(random() * 1.1),
		load: daytime,
	},
	{
		name: 'Co-op',
		arrivals: (minute, random) =>
			minute >= 420 && minute < 1140 ? Math.floor(random() * 3.4) : Math.floor(random() * 1.1),
		load: daytime,
	},
];

interface Running {
	resident: placement.Resident;
	box: string;
	leftMin: number;
	/** Cores that the task really uses. */
	uses: number;
	startedAt: number;
}

interface Pending {
	task: placement.Waiting;
	leftMin: number;
	uses: number;
	dueAt: number;
}

interface Day {
	latencies: number[];
	finished: number;
	onTime: number;
	arrived: number;
	evictions: number;
	wastedMin: number;
}

/**
 * The real pair costs, hidden from the policy: one pair in five interferes, by 5 to 15 ms of latency for each task at full
 * load.
 */
function hiddenCosts(random: () => number): (service: string, batch: string) => number {
	const costs = new Map<string, number>();
	return (service, batch) => {
		const key = `${service}|${batch}`;
		if (!costs.has(key)) costs.set(key, random() < 0.2 ? 5 + random() * 10 : 0);
		return costs.get(key) ?? 0;
	};
}

class World {
	readonly boxes: placement.Box[];
	running: Running[] = [];
	pending: Pending[] = [];
	readonly day: Day = { latencies: [], finished: 0, onTime: 0, arrived: 0, evictions: 0, wastedMin: 0 };
	private readonly late: { at: number; service: string; jobs: string[]; ms: number }[] = [];

	constructor(
		private readonly customer: Customer,
		private readonly random: () => number,
		private readonly score: placement.Score,
		private readonly estimate: pairs.PairEstimate,
		private readonly truth: (service: string, batch: string) => number,
	) {
		const capacity = { cores: 32, memoryMb: 125_000, accelerators: 0 };
		this.boxes = Array.from({ length: boxCount }, (_, index) => ({
			id: `w${index}`,
			rack: 'r',
			capacity,
			residents: [],
		}));
		for (const [index, box] of this.boxes.entries()) {
			for (let kind = 0; kind < 2; kind += 1)
				box.residents.push(service(`web-${(index + kind) % 4}`, index, kind));
		}
	}

	minute(at: number): void {
		this.arrive(at);
		this.learn(at);
		this.place(at);
		this.suffer(at);
		this.work(at);
	}

	private arrive(at: number): void {
		const count = this.customer.arrivals(at % minutes, this.random);
		for (let index = 0; index < count; index += 1) {
			const job = `batch-${Math.floor(this.random() * 12)}`;
			const cores = 2 + Math.floor(this.random() * 3) * 2;
			// Declared sizes are unreliable: a task uses from half to one and a half times the cores that it declares.
			const uses = cores * (0.5 + this.random());
			const leftMin = 10 + this.random() * 110;
			const task = { task: `${job}/${at}-${index}`, job, kind: 'batch', urgent: false } as const;
			const needs = { cores, memoryMb: 2048, accelerators: 0 };
			this.pending.push({
				task: { ...task, needs, maxShareOfBox: 1, failedOn: [], since: at },
				...{ leftMin, uses, dueAt: at + 360 },
			});
			this.day.arrived += 1;
		}
	}

	private learn(at: number): void {
		while (this.late[0] !== undefined && this.late[0].at + lagMinutes <= at) {
			const one = this.late.shift();
			if (one) this.estimate.observe(one.service, one.jobs, one.ms);
		}
	}

	private place(at: number): void {
		const round = placement.placeRound(
			this.pending.map((one) => one.task),
			this.boxes,
			{ score: this.score, maxPlaces: 100, evicting: new Set() },
		);
		for (const place of round.places) {
			const index = this.pending.findIndex((one) => one.task.task === place.task);
			const [pending] = this.pending.splice(index, 1);
			const box = this.boxes.find((one) => one.id === place.box);
			const resident = box?.residents.find((one) => one.task === place.task);
			if (!pending || !resident) continue;
			this.running.push({
				resident,
				box: place.box,
				leftMin: pending.leftMin,
				uses: pending.uses,
				startedAt: at,
			});
			this.due.set(place.task, pending);
		}
	}

	private readonly due = new Map<string, Pending>();

	private suffer(at: number): void {
		const load = this.customer.load(at % minutes);
		for (const box of this.boxes) {
			const jobs = box.residents.filter((one) => one.kind === 'batch').map((one) => one.job);
			for (const one of box.residents) {
				if (one.kind !== 'service') continue;
				const added = jobs.reduce((sum, job) => sum + this.truth(one.job, job) * load, 0);
				const ms = baseMs + added + this.random() * 2;
				this.day.latencies.push(ms);
				this.late.push({ at, service: one.job, jobs, ms });
			}
		}
	}

	private work(at: number): void {
		for (const one of this.running)
			if (at === one.startedAt + lagMinutes)
				one.resident.amount.cores = Math.max(one.resident.amount.cores, one.uses);
		for (const box of this.boxes) {
			const relief = placement.relieve(
				box,
				(task) => at - (this.running.find((one) => one.resident.task === task)?.startedAt ?? at),
			);
			for (const victim of relief.evictions) this.evict(victim.task, at);
			for (const one of this.running)
				if (one.box === box.id) one.leftMin -= relief.throttles.get(one.resident.task) ?? 1;
		}
		for (const one of this.running.filter((running) => running.leftMin <= 0)) {
			this.leave(one);
			this.day.finished += 1;
			if (at <= (this.due.get(one.resident.task)?.dueAt ?? 0)) this.day.onTime += 1;
		}
	}

	private evict(task: string, at: number): void {
		const one = this.running.find((running) => running.resident.task === task);
		const pending = this.due.get(task);
		if (!one || !pending) return;
		this.leave(one);
		this.day.evictions += 1;
		this.day.wastedMin += 1;
		this.pending.push({ ...pending, leftMin: one.leftMin + 1, task: { ...pending.task, since: at } });
	}

	private leave(one: Running): void {
		this.running = this.running.filter((running) => running !== one);
		const box = this.boxes.find((candidate) => candidate.id === one.box);
		if (box) box.residents = box.residents.filter((resident) => resident !== one.resident);
	}
}

function service(job: string, index: number, kind: number): placement.Resident {
	const amount = { cores: 4, memoryMb: 4096, accelerators: 0 };
	return { task: `${job}/${index}-${kind}`, job, kind: 'service', urgent: false, amount };
}

function runDay(customer: Customer, seed: number, way: string): Day {
	const random = rng.seeded(seed);
	const truth = hiddenCosts(rng.seeded(seed + 100));
	const estimate = pairs.PairEstimate.create();
	const cost: pairs.PairCost = (one, batch) => estimate.cost(one, batch);
	const scores: Record<string, placement.Score> = {
		spread: placement.spread,
		'best fit': placement.bestFit,
		'pair-aware, batch packed': pairs.pairAware({ cost, msPerLoad: 20, batch: placement.bestFit }),
		'pair-aware, batch spread': pairs.pairAware({ cost, msPerLoad: 20, batch: placement.spread }),
		'pair-aware, batch spread, 5 ms': pairs.pairAware({ cost, msPerLoad: 5, batch: placement.spread }),
	};
	const world = new World(customer, random, scores[way] ?? placement.spread, estimate, truth);
	// The policy learns on the first day; only the second day is measured.
	for (let at = 0; at < minutes; at += 1) world.minute(at);
	Object.assign(world.day, { latencies: [], finished: 0, onTime: 0, arrived: 0, evictions: 0, wastedMin: 0 });
	for (let at = minutes; at < 2 * minutes; at += 1) world.minute(at);
	return world.day;
}

/** `npm run measure -- placement`. */
export function measurePlacement(): Promise<void> {
	const rows: report.Row[] = [];
	for (const customer of customers) {
		for (const way of ways) {
			const days = seeds.map((seed) => runDay(customer, seed, way));
			const quantile = (day: Day, part: number): number => {
				const sorted = [...day.latencies].sort((a, b) => a - b);
				return sorted[Math.floor(sorted.length * part)] ?? 0;
			};
			rows.push({
				...{ customer: customer.name, way },
				'service p50 ms': report.spread(days.map((day) => quantile(day, 0.5))),
				'service p99 ms': report.spread(days.map((day) => quantile(day, 0.99))),
				[`% over ${lateMs} ms`]: report.spread(
					days.map((day) => (day.latencies.filter((ms) => ms > lateMs).length / day.latencies.length) * 100),
				),
				'batch on time %': report.spread(days.map((day) => (day.onTime / Math.max(1, day.arrived)) * 100)),
				evictions: report.spread(days.map((day) => day.evictions)),
				'batch finished': report.spread(days.map((day) => day.finished)),
			});
		}
	}
	const note =
		'minimum / median / maximum over the seeds; second day counted; reports 5 minutes late; 10 workers';
	report.keep({ name: 'placement', note, seeds, rows });
	return Promise.resolve();
}
