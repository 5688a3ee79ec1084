/**
 * Measures an owner under load, in memory: `npm run measure -- load [pattern] [workers …]`. A sampling profiler attributes
 * the processor's time to source files, so that the stand-in workers and their clock are counted apart from the product.
 */
import * as inspector from 'node:inspector/promises';
import * as patterns from '../../stand-ins/fleet/load-patterns.js';
import * as report from './report.js';
import * as dispatching from '../../test/fixtures/dispatching.js';

/** The period in which jobs arrive, in milliseconds. */
const arrivalPeriodMs = 8_000;

/** Time for placing the long-running jobs that exist from the beginning, in milliseconds; not measured. */
const warmUpMs = 2_000;

/** Interval between the profiler's samples, in microseconds. */
const sampleIntervalUs = 500;

const seed = 7;

/** Processor time, in milliseconds. */
interface CpuUsage {
	/** By source file of the product, relative to src/core. */
	files: Map<string, number>;
	product: number;
	standIn: number;
	/** The runtime itself, including garbage collection. */
	runtime: number;
}

/**
 * Measures the pattern named on the command line with each number of workers given there. Defaults: `steady`, and five sizes
 * from 95 to 760 workers.
 */
export async function measureDispatchLoad(): Promise<void> {
	const [, , , name = 'steady', ...sizes] = process.argv;
	const workers = sizes.length > 0 ? sizes.map(Number) : [95, 190, 380, 540, 760];
	const rows: report.Row[] = [];
	for (const size of workers) rows.push(await measureSize(name, size));
	const note = `processor in ms of host time a second of load, waits in ms of the load's time; pattern ${name}`;
	report.printAndSave({ name: `load-${name}`, note, seeds: [seed], rows });
}

async function measureSize(name: string, workers: number): Promise<report.Row> {
	const pattern = patterns.createPattern(name, workers, arrivalPeriodMs, seed);
	const environment = dispatching.createEnvironment(pattern.plan);
	const { clock, fleet, takeOver, submit } = environment;
	environment.features = { ...dispatching.noFeatures, preemptibleLimit: limitFromEnvironment() };
	const capacity = { milliCores: pattern.workerMilliCores, memoryMb: 128_000, accelerators: 0 };
	for (let number = 1; number <= workers; number += 1) fleet.add(`w${String(number)}`, { capacity });
	const owner = await takeOver();
	await clock.advance(500);
	const [initialJobs, laterJobs] = splitInitial(pattern.arrivals);
	for (const arrival of initialJobs) void submit(owner, jobOf(arrival));
	await clock.advance(warmUpMs);
	const session = new inspector.Session();
	session.connect();
	await session.post('Profiler.enable');
	await session.post('Profiler.setSamplingInterval', { interval: sampleIntervalUs });
	await session.post('Profiler.start');
	const startsBefore = fleet.starts.length;
	const startedAt = clock.now();
	for (const arrival of laterJobs) {
		await clock.advance(Math.max(0, startedAt + arrival.atMs - clock.now()));
		owner.dispatcher.addJob({
			...jobOf(arrival),
			acceptedAt: clock.wall(),
			acceptedUnder: owner.ledger.generation,
		});
	}
	await clock.advance(Math.max(0, startedAt + arrivalPeriodMs - clock.now()));
	const { profile } = await session.post('Profiler.stop');
	session.disconnect();
	const usage = sumCpuUsage(profile);
	const seconds = arrivalPeriodMs / 1_000;
	const starts = fleet.starts.length - startsBefore;
	const topFiles = [...usage.files].sort((a, b) => b[1] - a[1]).slice(0, 8);
	console.log(
		workers,
		topFiles.map(([file, ms]) => `${file} ${String(Math.round(ms / seconds))}`).join(', '),
	);
	const placedEvents = owner.events.select((event) => event.name === 'task.placed');
	owner.dispatcher.close();
	return {
		workers,
		startsPerS: report.round(starts / seconds, 0),
		productMsPerS: report.round(usage.product / seconds, 0),
		runtimeMsPerS: report.round(usage.runtime / seconds, 0),
		standInMsPerS: report.round(usage.standIn / seconds, 0),
		productUsPerStart: report.round((usage.product * 1_000) / starts, 0),
		...waitQuantiles('urgent', placedEvents),
		...waitQuantiles('wide', placedEvents),
	};
}

/** The limit on preemptible work that `WOODCROSS_PREEMPTIBLE_LIMIT` names. */
function limitFromEnvironment(): 'fixed' | 'adaptive' {
	return process.env.WOODCROSS_PREEMPTIBLE_LIMIT === 'adaptive' ? 'adaptive' : 'fixed';
}

function splitInitial(arrivals: patterns.Arrival[]): [patterns.Arrival[], patterns.Arrival[]] {
	return [arrivals.filter((arrival) => arrival.atMs === 0), arrivals.filter((one) => one.atMs > 0)];
}

function jobOf(arrival: patterns.Arrival): ReturnType<typeof dispatching.job> {
	const { id, steps, queue } = arrival.record;
	return dispatching.job(id, steps, { queue });
}

/** Quantiles of the time that tasks of a kind waited for their placements, in milliseconds. */
function waitQuantiles(
	kind: patterns.WorkKind,
	placedEvents: { fields: Record<string, string | number | undefined> }[],
): report.Row {
	const waits = placedEvents
		.filter((event) => String(event.fields.task).startsWith(kind))
		.map((event) => Number(event.fields.waitedMs))
		.sort((a, b) => a - b);
	const quantile = (fraction: number): number => waits[Math.floor(waits.length * fraction)] ?? 0;
	return { [`${kind}P50`]: quantile(0.5), [`${kind}P95`]: quantile(0.95), [`${kind}P99`]: quantile(0.99) };
}

function sumCpuUsage(profile: inspector.Profiler.Profile): CpuUsage {
	const usage: CpuUsage = { files: new Map(), product: 0, standIn: 0, runtime: 0 };
	const nodes = new Map(profile.nodes.map((node) => [node.id, node]));
	profile.samples?.forEach((id, index) => {
		const node = nodes.get(id);
		const ms = (profile.timeDeltas?.[index] ?? 0) / 1_000;
		if (node === undefined || node.callFrame.functionName === '(idle)') return;
		const { url } = node.callFrame;
		if (url.includes('/src/core/')) {
			const file = url.slice(url.indexOf('/src/core/') + '/src/core/'.length);
			usage.files.set(file, (usage.files.get(file) ?? 0) + ms);
			usage.product += ms;
		} else if (url.includes('/dist/')) usage.standIn += ms;
		else usage.runtime += ms;
	});
	return usage;
}
