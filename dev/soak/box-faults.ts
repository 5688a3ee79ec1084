/** Faults of the boxes' processes. */
import * as random from '../random.js';
import type * as worlds from './world.js';

/** Location of a fault that was not injected after all. */
export const nowhere = 'none';

/** Delay before a killed process is started again, in milliseconds. */
const restartMs = 400;

/** A planned stop that takes longer than this is killed, in milliseconds. `box-process.ts` gives boxes the same grace. */
const graceMs = 3_000;

/** For this time after its start, a box counts as having a fault, in milliseconds. */
const settleStartMs = 1_500;

/** Maximum number of planned stops in a series. */
const mostStops = 4;

/** Maximum number of times in a row that an owner is killed. */
const mostKills = 3;

/**
 * Bounds of the delay between the restart of an owner and the next kill, in milliseconds. The kill hits the box that is the
 * owner by then.
 */
const leastOwnedMs = 300;
const mostOwnedMs = 2_000;

/**
 * In this fraction of these faults, the other boxes don't reach the store until this time after the restart, in
 * milliseconds. By then the lease of the killed process (2 s) has expired and the new process has taken over.
 */
const alonePart = 0.4;
const aloneMs = 2_200;

/** Kills a box's process and starts another. */
export async function kill(world: worlds.World, next: () => number): Promise<string> {
	const box = pickSound(world, next);
	if (box === undefined) return nowhere;
	await restart(world, box);
	return box.name;
}

/**
 * Kills the owner, and then the box that is the owner by then, a few times in a row. At times the other boxes don't reach
 * the store meanwhile, so that the killed box becomes the owner again.
 */
export async function killOwner(world: worlds.World, next: () => number): Promise<string> {
	const times = random.between(next, 1, mostKills);
	const isAlone = next() < alonePart;
	const killed: string[] = [];
	for (let time = 0; time < times; time += 1) {
		const owner = world.owner();
		// A box that already has a fault may be the last one left, or another fault may be restarting it.
		if (owner !== undefined && isSound(world, owner)) {
			const others = world.boxes.filter((box) => isAlone && box !== owner);
			const lifts = others.map((box) => box.store.trouble({ kind: 'freeze' }));
			for (const box of others) world.troubled(box, restartMs + aloneMs);
			await restart(world, owner);
			killed.push(isAlone ? `${owner.name} (others without store)` : owner.name);
			if (isAlone) await world.sleep(aloneMs);
			for (const lift of lifts) lift();
		}
		await world.sleep(random.between(next, leastOwnedMs, mostOwnedMs));
	}
	return killed.length === 0 ? nowhere : killed.join(', ');
}

/** Stops a box as planned and starts it again. Kills it if the stop takes longer than its grace. */
export async function stop(world: worlds.World, next: () => number): Promise<string> {
	const box = pickSound(world, next);
	if (box?.process === undefined) return nowhere;
	const running = box.process;
	box.stopping = running;
	box.stoppingUntil = world.now() + graceMs;
	const killer = setTimeout(() => running.process.kill('SIGKILL'), graceMs);
	await running.kill('SIGTERM');
	clearTimeout(killer);
	world.troubled(box, settleStartMs);
	await world.startBox(box);
	return box.name;
}

/** Stops boxes as planned, one after another: each once the previous one serves again. */
export async function stopInSeries(world: worlds.World, next: () => number): Promise<string> {
	const times = random.between(next, 2, mostStops);
	const stopped: string[] = [];
	for (let time = 0; time < times; time += 1) stopped.push(await stop(world, next));
	return stopped.join(', ');
}

/** Suspends a box's process. */
export async function pause(world: worlds.World, next: () => number, forMs: number): Promise<string> {
	const box = pickSound(world, next);
	if (box?.process === undefined) return nowhere;
	const { process: paused } = box.process;
	world.troubled(box, forMs + settleStartMs);
	paused.kill('SIGSTOP');
	await world.sleep(forMs);
	paused.kill('SIGCONT');
	return box.name;
}

/** Picks a box without a fault of its own. Undefined: at most one such box is left, which gets no fault. */
export function pickSound(world: worlds.World, next: () => number): worlds.SoakBox | undefined {
	const sound = world.boxes.filter((box) => isSound(world, box));
	return sound.length > 1 ? random.pick(next, sound) : undefined;
}

/** Kills a box's process and starts another after a delay. */
async function restart(world: worlds.World, box: worlds.SoakBox): Promise<void> {
	world.troubled(box, restartMs + settleStartMs);
	await box.process?.kill();
	await world.sleep(restartMs);
	await world.startBox(box);
}

function isSound(world: worlds.World, box: worlds.SoakBox): boolean {
	return box.process !== undefined && Math.max(box.troubledUntil, box.stoppingUntil) < world.now();
}
