/** Faults of the boxes' processes. */
import * as random from '../random.js';
import type * as environments from './environment.js';

/** Where a fault was that was not injected after all. */
export const notInjected = 'none';

/** A killed process starts again after so long, in milliseconds. */
const restartDelayMs = 400;

/** A planned stop that lasts longer is killed: the grace that `box-process.ts` tells boxes, in milliseconds. */
const stopGraceMs = 3_000;

/** A box that has just started anew is given so long, in milliseconds. */
const startupMs = 1_500;

/** A series of planned stops has so many at most. */
const maxStops = 4;

/** An owner is killed so often in a row at most. */
const maxKills = 3;

/** From so long to so long after an owner's restart the box that owns then is killed, in milliseconds. */
const minOwnedMs = 300;
const maxOwnedMs = 2_000;

/**
 * In this part of these faults the others don't reach the store until so long after the restart, in milliseconds: until
 * the lease of the process that was killed (2 s) has run out and the new one has taken over.
 */
const cutOffFraction = 0.4;
const cutOffMs = 2_200;

/** Kills a box's process and starts another. */
export async function kill(environment: environments.Environment, nextRandom: () => number): Promise<string> {
	const box = pickFaultFree(environment, nextRandom);
	if (box === undefined) return notInjected;
	await restart(environment, box);
	return box.name;
}

/**
 * Kills the box that owns, and the one that owns then, some times in a row. Now and then the others don't reach the store
 * meanwhile, so that the box that was killed owns again.
 */
export async function killOwner(
	environment: environments.Environment,
	nextRandom: () => number,
): Promise<string> {
	const count = random.between(nextRandom, 1, maxKills);
	const areOthersCutOff = nextRandom() < cutOffFraction;
	const killed: string[] = [];
	for (let index = 0; index < count; index += 1) {
		const owner = environment.owner();
		// A box that is in trouble already may be the last one left, or be started anew by another fault.
		if (owner !== undefined && isFaultFree(environment, owner)) {
			const others = environment.boxes.filter((box) => areOthersCutOff && box !== owner);
			const undos = others.map((box) => box.store.trouble({ kind: 'freeze' }));
			for (const box of others) environment.noteFault(box, restartDelayMs + cutOffMs);
			await restart(environment, owner);
			killed.push(areOthersCutOff ? `${owner.name} (others without store)` : owner.name);
			if (areOthersCutOff) await environment.sleep(cutOffMs);
			for (const undo of undos) undo();
		}
		await environment.sleep(random.between(nextRandom, minOwnedMs, maxOwnedMs));
	}
	return killed.length === 0 ? notInjected : killed.join(', ');
}

/** Stops a box as planned and starts it anew; killed if it takes longer than its grace. */
export async function stop(environment: environments.Environment, nextRandom: () => number): Promise<string> {
	const box = pickFaultFree(environment, nextRandom);
	if (box?.process === undefined) return notInjected;
	const running = box.process;
	box.stopping = running;
	box.plannedStopUntil = environment.now() + stopGraceMs;
	const killTimer = setTimeout(() => running.process.kill('SIGKILL'), stopGraceMs);
	await running.kill('SIGTERM');
	clearTimeout(killTimer);
	environment.noteFault(box, startupMs);
	await environment.startBox(box);
	return box.name;
}

/** Stops boxes as planned, one after another: each as the one before it serves again. */
export async function stopInSeries(
	environment: environments.Environment,
	nextRandom: () => number,
): Promise<string> {
	const count = random.between(nextRandom, 2, maxStops);
	const stopped: string[] = [];
	for (let index = 0; index < count; index += 1) stopped.push(await stop(environment, nextRandom));
	return stopped.join(', ');
}

/** Lets a box's process stand still. */
export async function pause(
	environment: environments.Environment,
	nextRandom: () => number,
	durationMs: number,
): Promise<string> {
	const box = pickFaultFree(environment, nextRandom);
	if (box?.process === undefined) return notInjected;
	const { process: paused } = box.process;
	environment.noteFault(box, durationMs + startupMs);
	paused.kill('SIGSTOP');
	await environment.sleep(durationMs);
	paused.kill('SIGCONT');
	return box.name;
}

/** A box without trouble of its own; undefined: the last such box is left alone. */
export function pickFaultFree(
	environment: environments.Environment,
	nextRandom: () => number,
): environments.SoakBox | undefined {
	const faultFree = environment.boxes.filter((box) => isFaultFree(environment, box));
	return faultFree.length > 1 ? random.pick(nextRandom, faultFree) : undefined;
}

/** Kills a box's process and starts another a little later. */
async function restart(environment: environments.Environment, box: environments.SoakBox): Promise<void> {
	environment.noteFault(box, restartDelayMs + startupMs);
	await box.process?.kill();
	await environment.sleep(restartDelayMs);
	await environment.startBox(box);
}

function isFaultFree(environment: environments.Environment, box: environments.SoakBox): boolean {
	return box.process !== undefined && Math.max(box.faultUntil, box.plannedStopUntil) < environment.now();
}
