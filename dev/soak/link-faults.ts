/** Faults of the links between boxes, store and workers. */
import * as boxFaults from './box-faults.js';
import * as random from '../random.js';
import type * as proxies from '../../stand-ins/proxy/index.js';
import type * as worlds from './world.js';

/** Bounds of the delay on a slow link, in milliseconds. */
const leastDelayMs = 20;
const mostDelayMs = 300;

/** Fraction of the workers that a box can't reach in a `third-link` fault. */
const partOfWorkers = 1 / 3;

/** Picks the links that get a fault together, and describes where they are. Undefined: no fault is injected. */
type Pick = (
	world: worlds.World,
	next: () => number,
	forMs: number,
) => { where: string; proxies: proxies.FaultProxy[] } | undefined;

/** The link of one box to the store. */
export const storeFaults = linkFaults('store-link', (world, next, forMs) => {
	const box = boxFaults.pickSound(world, next);
	if (box === undefined) return undefined;
	world.troubled(box, forMs);
	return { where: box.name, proxies: [box.store] };
});

/** The links of all boxes to one worker. */
export const workerFaults = linkFaults('worker-link', (world, next) => {
	const worker = random.pick(next, world.workers);
	return { where: worker.id, proxies: world.links.to(worker.address).map((link) => link.proxy) };
});

/** Links that fail for one box alone. */
export const pairFaults = {
	...linkFaults('pair-link', (world, next) => {
		const box = pickBox(world, next);
		return fromBox(world, box, [random.pick(next, world.workers)]);
	}),
	...linkFaults('third-link', (world, next) => {
		const box = pickBox(world, next);
		const first = random.between(next, 0, world.workers.length - 1);
		const count = Math.ceil(world.workers.length * partOfWorkers);
		const around = [...world.workers.slice(first), ...world.workers];
		return fromBox(world, box, around.slice(0, count));
	}),
	...linkFaults('peer-link', (world, next) => {
		const box = pickBox(world, next);
		const others = world.boxes.filter((one) => one !== box);
		const other = random.pick(next, others);
		const links = world.links.between(box.name, other.name);
		return { where: `${box.name} and ${other.name}`, proxies: links.map((link) => link.proxy) };
	}),
};

/** Open connections that carry nothing any more, while new ones work. */
export const silentFaults: Record<string, worlds.Fault> = {
	'store-connections-silent': (world, next) => {
		const box = boxFaults.pickSound(world, next);
		if (box === undefined) return boxFaults.nowhere;
		box.store.silence();
		world.troubled(box, 0);
		return box.name;
	},
	'all-connections-silent': (world) => {
		for (const box of world.boxes) {
			box.store.silence();
			world.troubled(box, 0);
		}
		world.links.silence();
		return 'all boxes';
	},
};

/** Returns the faults of a kind of link: one for each way in which it can fail. */
function linkFaults(link: string, pick: Pick): Record<string, worlds.Fault> {
	const fault =
		(modeFor: (next: () => number) => proxies.ProxyMode): worlds.Fault =>
		async (world, next, forMs) => {
			const mode = modeFor(next);
			const picked = pick(world, next, forMs);
			if (picked === undefined) return boxFaults.nowhere;
			await Promise.all(picked.proxies.map((proxy) => trouble(world, proxy, forMs, mode)));
			return picked.where;
		};
	return {
		[`${link}-cut`]: fault(() => ({ kind: 'cut' })),
		[`${link}-silent`]: fault(() => ({ kind: 'freeze' })),
		[`${link}-one-way`]: fault(() => ({ kind: 'drop-answers' })),
		[`${link}-slow`]: fault((next) => ({
			kind: 'delay',
			ms: random.between(next, leastDelayMs, mostDelayMs),
		})),
	};
}

async function trouble(
	world: worlds.World,
	proxy: proxies.FaultProxy,
	forMs: number,
	mode: proxies.ProxyMode,
): Promise<void> {
	if (world.faults === 1) {
		proxy.set(mode);
		await world.sleep(forMs);
		proxy.set({ kind: 'pass' });
		return;
	}
	const lift = proxy.trouble(mode);
	await world.sleep(forMs);
	lift();
}

/** Picks any box or, equally often, the owner: only the owner's links to workers are in use until another box takes over. */
function pickBox(world: worlds.World, next: () => number): worlds.SoakBox {
	const any = random.pick(next, world.boxes);
	return next() < 1 / 2 ? any : (world.owner() ?? any);
}

function fromBox(
	world: worlds.World,
	box: worlds.SoakBox,
	workers: worlds.SoakWorker[],
): { where: string; proxies: proxies.FaultProxy[] } {
	const links = workers.flatMap((worker) => world.links.to(worker.address));
	const own = links.filter((link) => link.box === box.name);
	const ids = workers.map((worker) => worker.id).join(' ');
	return { where: `${box.name} to ${ids}`, proxies: own.map((link) => link.proxy) };
}
