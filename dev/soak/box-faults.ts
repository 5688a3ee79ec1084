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

/** Kills a box's process and starts another. */
export async function kill(world: worlds.World, next: () => number): Promise<string> {
	const box = pickSound(world, next);
	if (box?.process === undefined) return nowhere;
	world.troubled(box, restartMs + settleStartMs);
	await box.process.kill();
	await world.sleep(restartMs);
	await world.startBox(box);
	return box.name;
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
	const sound = world.boxes.filter(
		(box) => box.process !== undefined && Math.max(box.troubledUntil, box.stoppingUntil) < world.now(),
	);
	return sound.length > 1 ? random.pick(next, sound) : undefined;
}
