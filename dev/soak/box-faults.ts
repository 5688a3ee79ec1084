/** Faults of the boxes' processes. */
import * as random from '../random.js';
import type * as worlds from './world.js';

/** Where a fault was that was not injected after all. */
export const nowhere = 'none';

/** A killed process starts again after so long, in milliseconds. */
const restartMs = 400;

/** A planned stop that lasts longer is killed: the grace that `box-process.ts` tells boxes, in milliseconds. */
const graceMs = 3_000;

/** A box that has just started anew is given so long, in milliseconds. */
const settleStartMs = 1_500;

/** A series of planned stops has so many at most. */
const mostStops = 4;

/** An owner is killed so often in a row at most. */
const mostKills = 3;

/** From so long to so long after an owner's restart the box that owns then is killed, in milliseconds. */
const leastOwnedMs = 300;
const mostOwnedMs = 2_000;

/**
 * In this part of these faults the others don't reach the store until so long after the restart, in milliseconds: until
 * the lease of the process that was killed (2 s) has run out and the new one has taken over.
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
 * Kills the box that owns, and the one that owns then, some times in a row. Now and then the others don't reach the store
 * meanwhile, so that the box that was killed owns again.
 */
export async function killOwner(world: worlds.World, next: () => number): Promise<string> {
	const times = random.between(next, 1, mostKills);
	const isAlone = next() < alonePart;
	const killed: string[] = [];
	for (let time = 0; time < times; time += 1) {
		const owner = world.owner();
		// A box that is in trouble already may be the last one left, or be started anew by another fault.
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

/** Stops a box as planned and starts it anew; killed if it takes longer than its grace. */
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

/** Stops boxes as planned, one after another: each as the one before it serves again. */
export async function stopInSeries(world: worlds.World, next: () => number): Promise<string> {
	const times = random.between(next, 2, mostStops);
	const stopped: string[] = [];
	for (let time = 0; time < times; time += 1) stopped.push(await stop(world, next));
	return stopped.join(', ');
}

/** Lets a box's process stand still. */
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

/** A box without trouble of its own; undefined: the last such box is left alone. */
export function pickSound(world: worlds.World, next: () => number): worlds.SoakBox | undefined {
	const sound = world.boxes.filter((box) => isSound(world, box));
	return sound.length > 1 ? random.pick(next, sound) : undefined;
}

/** Kills a box's process and starts another a little later. */
async function restart(world: worlds.World, box: worlds.SoakBox): Promise<void> {
	world.troubled(box, restartMs + settleStartMs);
	await box.process?.kill();
	await world.sleep(restartMs);
	await world.startBox(box);
}

function isSound(world: worlds.World, box: worlds.SoakBox): boolean {
	return box.process !== undefined && Math.max(box.troubledUntil, box.stoppingUntil) < world.now();
}
