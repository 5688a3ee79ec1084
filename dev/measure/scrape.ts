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
		const cut = line.lastIndexOf(' ');
		if (cut > 0) numbers[line.slice(0, cut)] = Number(line.slice(cut + 1));
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
	const from = performance.now();
	await new Promise((resolve) => setTimeout(resolve, seconds * 1000));
	const after = await read();
	const took = (performance.now() - from) / 1000;
	const out: Numbers = {};
	for (const [name, value] of Object.entries(after)) out[name] = (value - (before[name] ?? 0)) / took;
	return out;
}
