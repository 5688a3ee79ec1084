/** Faults of the links between boxes, store and workers. */
import * as boxFaults from './box-faults.js';
import * as random from '../random.js';
import type * as proxies from '../../stand-ins/proxy/index.js';
import type * as environments from './environment.js';

/** Bounds of the delay on a slow link, in milliseconds. */
const minDelayMs = 20;
const maxDelayMs = 300;

/** Fraction of the workers that a box can't reach in a `third-link` fault. */
const workersFraction = 1 / 3;

/** Picks the links that get a fault together, and describes where they are. Undefined: no fault is injected. */
type LinkPicker = (
	environment: environments.Environment,
	nextRandom: () => number,
	durationMs: number,
) => { where: string; proxies: proxies.FaultProxy[] } | undefined;

/** The link of one box to the store. */
export const storeFaults = linkFaults('store-link', (environment, nextRandom, durationMs) => {
	const box = boxFaults.pickFaultFree(environment, nextRandom);
	if (box === undefined) return undefined;
	environment.noteFault(box, durationMs);
	return { where: box.name, proxies: [box.store] };
});

/** The links of all boxes to one worker. */
export const workerFaults = linkFaults('worker-link', (environment, nextRandom) => {
	const worker = random.pick(nextRandom, environment.workers);
	return { where: worker.id, proxies: environment.links.to(worker.address).map((link) => link.proxy) };
});

/** Links that fail for one box alone. */
export const singleBoxFaults = {
	...linkFaults('pair-link', (environment, nextRandom) => {
		const box = pickBox(environment, nextRandom);
		return linksFromBox(environment, box, [random.pick(nextRandom, environment.workers)]);
	}),
	...linkFaults('third-link', (environment, nextRandom) => {
		const box = pickBox(environment, nextRandom);
		const first = random.randomInteger(nextRandom, 0, environment.workers.length - 1);
		const count = Math.ceil(environment.workers.length * workersFraction);
		const rotated = [...environment.workers.slice(first), ...environment.workers];
		return linksFromBox(environment, box, rotated.slice(0, count));
	}),
	...linkFaults('peer-link', (environment, nextRandom) => {
		const box = pickBox(environment, nextRandom);
		const others = environment.boxes.filter((one) => one !== box);
		const other = random.pick(nextRandom, others);
		const links = environment.links.linksBetween(box.name, other.name);
		return { where: `${box.name} and ${other.name}`, proxies: links.map((link) => link.proxy) };
	}),
};

/** Open connections that carry nothing any more, while new ones work. */
export const silentConnectionFaults: Record<string, environments.Fault> = {
	'store-connections-silent': (environment, nextRandom) => {
		const box = boxFaults.pickFaultFree(environment, nextRandom);
		if (box === undefined) return boxFaults.notInjected;
		box.store.stallConnections();
		environment.noteFault(box, 0);
		return box.name;
	},
	'all-connections-silent': (environment) => {
		for (const box of environment.boxes) {
			box.store.stallConnections();
			environment.noteFault(box, 0);
		}
		environment.links.silence();
		return 'all boxes';
	},
};

/** Returns the faults of a kind of link: one for each way in which it can fail. */
function linkFaults(link: string, pickLinks: LinkPicker): Record<string, environments.Fault> {
	const makeFault =
		(modeFor: (nextRandom: () => number) => proxies.ProxyMode): environments.Fault =>
		async (environment, nextRandom, durationMs) => {
			const mode = modeFor(nextRandom);
			const picked = pickLinks(environment, nextRandom, durationMs);
			if (picked === undefined) return boxFaults.notInjected;
			await Promise.all(picked.proxies.map((proxy) => injectLinkFault(environment, proxy, durationMs, mode)));
			return picked.where;
		};
	return {
		[`${link}-cut`]: makeFault(() => ({ kind: 'cut' })),
		[`${link}-silent`]: makeFault(() => ({ kind: 'freeze' })),
		[`${link}-one-way`]: makeFault(() => ({ kind: 'drop-answers' })),
		[`${link}-slow`]: makeFault((nextRandom) => ({
			kind: 'delay',
			ms: random.randomInteger(nextRandom, minDelayMs, maxDelayMs),
		})),
	};
}

async function injectLinkFault(
	environment: environments.Environment,
	proxy: proxies.FaultProxy,
	durationMs: number,
	mode: proxies.ProxyMode,
): Promise<void> {
	if (environment.faults === 1) {
		proxy.set(mode);
		await environment.sleep(durationMs);
		proxy.set({ kind: 'pass' });
		return;
	}
	const undo = proxy.addFault(mode);
	await environment.sleep(durationMs);
	undo();
}

/** Picks any box or, equally often, the owner: only the owner's links to workers are in use until another box takes over. */
function pickBox(environment: environments.Environment, nextRandom: () => number): environments.SoakBox {
	const anyBox = random.pick(nextRandom, environment.boxes);
	return nextRandom() < 1 / 2 ? anyBox : (environment.owner() ?? anyBox);
}

function linksFromBox(
	environment: environments.Environment,
	box: environments.SoakBox,
	workers: environments.SoakWorker[],
): { where: string; proxies: proxies.FaultProxy[] } {
	const links = workers.flatMap((worker) => environment.links.to(worker.address));
	const own = links.filter((link) => link.box === box.name);
	const ids = workers.map((worker) => worker.id).join(' ');
	return { where: `${box.name} to ${ids}`, proxies: own.map((link) => link.proxy) };
}
