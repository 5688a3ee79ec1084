/** Reads the metrics of programs and the counters of stand-ins. */
import * as undici from 'undici';

/** Metrics or counters by name. */
export type Numbers = Record<string, number>;

/** The metrics that a program serves at `address`. */
export async function metrics(address: string): Promise<Numbers> {
	const res = await undici.request(`http://${address}/metrics`);
	const text = await res.body.text();
	const numbers: Numbers = {};
	for (const line of text.split('\n')) {
		const separator = line.lastIndexOf(' ');
		if (separator > 0) numbers[line.slice(0, separator)] = Number(line.slice(separator + 1));
	}
	return numbers;
}

/** The counters that a stand-in serves at `address`. */
export async function stats(address: string): Promise<Numbers> {
	const res = await undici.request(`http://${address}/stats`);
	return (await res.body.json()) as Numbers;
}

/** Increase of each number for each second, measured over a window of `seconds`. */
export async function rates(read: () => Promise<Numbers>, seconds: number): Promise<Numbers> {
	const before = await read();
	const startedAt = performance.now();
	await new Promise((resolve) => setTimeout(resolve, seconds * 1000));
	const after = await read();
	const elapsedS = (performance.now() - startedAt) / 1000;
	const perSecond: Numbers = {};
	for (const [name, value] of Object.entries(after))
		perSecond[name] = (value - (before[name] ?? 0)) / elapsedS;
	return perSecond;
}
