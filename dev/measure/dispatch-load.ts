/**
 * Measures an owner under load, in memory: `npm run measure -- load [pattern] [workers …]`. A sampling profiler attributes
 * the processor's time to source files, so that the stand-in workers and their clock are counted apart from the product.
 */
import * as inspector from 'node:inspector/promises';
import * as patterns from '../../stand-ins/fleet/load-patterns.js';
import * as report from './report.js';
import * as world from '../../test/fixtures/dispatching.js';

/** The period in which jobs arrive, in milliseconds. */
const lengthMs = 8_000;

/** Time for placing the long-running jobs that exist from the beginning, in milliseconds; not measured. */
const settleMs = 2_000;

/** Interval between the profiler's samples, in microseconds. */
const sampleUs = 500;

const seed = 7;

/** Processor time, in milliseconds. */
interface Usage {
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
	for (const size of workers) rows.push(await play(name, size));
	const note = `processor in ms of host time a second of load, waits in ms of the load's time; pattern ${name}`;
	report.keep({ name: `load-${name}`, note, seeds: [seed], rows });
}

async function play(name: string, workers: number): Promise<report.Row> {
	const pattern = patterns.createPattern(name, workers, lengthMs, seed);
	const { clock, fleet, takeOver, submit } = world.createWorld(pattern.plan);
	const capacity = { milliCores: pattern.workerMilliCores, memoryMb: 128_000, accelerators: 0 };
	for (let number = 1; number <= workers; number += 1) fleet.add(`w${String(number)}`, { capacity });
	const owner = await takeOver();
	await clock.pass(500);
	const [resident, arriving] = split(pattern.arrivals);
	for (const one of resident) void submit(owner, jobOf(one));
	await clock.pass(settleMs);
	const session = new inspector.Session();
	session.connect();
	await session.post('Profiler.enable');
	await session.post('Profiler.setSamplingInterval', { interval: sampleUs });
	await session.post('Profiler.start');
	const startsBefore = fleet.starts.length;
	const from = clock.now();
	for (const one of arriving) {
		await clock.pass(Math.max(0, from + one.atMs - clock.now()));
		owner.dispatcher.addJob({
			...jobOf(one),
			acceptedAt: clock.wall(),
			acceptedUnder: owner.ledger.generation,
		});
	}
	await clock.pass(Math.max(0, from + lengthMs - clock.now()));
	const { profile } = await session.post('Profiler.stop');
	session.disconnect();
	const usage = usageOf(profile);
	const seconds = lengthMs / 1_000;
	const starts = fleet.starts.length - startsBefore;
	const top = [...usage.files].sort((a, b) => b[1] - a[1]).slice(0, 8);
	console.log(workers, top.map(([file, ms]) => `${file} ${String(Math.round(ms / seconds))}`).join(', '));
	const placed = owner.events.select((event) => event.name === 'task.placed');
	owner.dispatcher.close();
	return {
		workers,
		startsPerS: report.round(starts / seconds, 0),
		productMsPerS: report.round(usage.product / seconds, 0),
		runtimeMsPerS: report.round(usage.runtime / seconds, 0),
		standInMsPerS: report.round(usage.standIn / seconds, 0),
		productUsPerStart: report.round((usage.product * 1_000) / starts, 0),
		...waitsOf('urgent', placed),
		...waitsOf('wide', placed),
	};
}

function split(arrivals: patterns.Arrival[]): [patterns.Arrival[], patterns.Arrival[]] {
	return [arrivals.filter((one) => one.atMs === 0), arrivals.filter((one) => one.atMs > 0)];
}

function jobOf(one: patterns.Arrival): ReturnType<typeof world.job> {
	const { id, steps, queue } = one.record;
	return world.job(id, steps, { queue });
}

/** Quantiles of the time that tasks of a kind waited for their placements, in milliseconds. */
function waitsOf(
	kind: patterns.WorkKind,
	placed: { fields: Record<string, string | number | undefined> }[],
): report.Row {
	const waits = placed
		.filter((event) => String(event.fields.task).startsWith(kind))
		.map((event) => Number(event.fields.waitedMs))
		.sort((a, b) => a - b);
	const at = (part: number): number => waits[Math.floor(waits.length * part)] ?? 0;
	return { [`${kind}P50`]: at(0.5), [`${kind}P95`]: at(0.95), [`${kind}P99`]: at(0.99) };
}

function usageOf(profile: inspector.Profiler.Profile): Usage {
	const usage: Usage = { files: new Map(), product: 0, standIn: 0, runtime: 0 };
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
