/** Faults of the boxes' processes. */
import * as random from '../random.js';
import type * as environments from './environment.js';

/** Location of a fault that was not injected after all. */
export const notInjected = 'none';

/** Delay before a killed process is started again, in milliseconds. */
const restartDelayMs = 400;

/** A planned stop that takes longer than this is killed, in milliseconds. `box-process.ts` gives boxes the same grace. */
const stopGraceMs = 3_000;

/** For this time after its start, a box counts as having a fault, in milliseconds. */
const startupMs = 1_500;

/** Maximum number of planned stops in a series. */
const maxStops = 4;

/** Maximum number of times in a row that an owner is killed. */
const maxKills = 3;

/**
 * Bounds of the delay between the restart of an owner and the next kill, in milliseconds. The kill hits the box that is the
 * owner by then.
 */
const minOwnedMs = 300;
const maxOwnedMs = 2_000;

/**
 * In this fraction of these faults, the other boxes don't reach the store until this time after the restart, in
 * milliseconds. By then the lease of the killed process (2 s) has expired and the new process has taken over.
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
 * Kills the owner, and then the box that is the owner by then, a few times in a row. At times the other boxes don't reach
 * the store meanwhile, so that the killed box becomes the owner again.
 */
export async function killOwner(
	environment: environments.Environment,
	nextRandom: () => number,
): Promise<string> {
	const count = random.randomInteger(nextRandom, 1, maxKills);
	const areOthersCutOff = nextRandom() < cutOffFraction;
	const killed: string[] = [];
	for (let index = 0; index < count; index += 1) {
		const owner = environment.owner();
		// A box that already has a fault may be the last one left, or another fault may be restarting it.
		if (owner !== undefined && isFaultFree(environment, owner)) {
			const others = environment.boxes.filter((box) => areOthersCutOff && box !== owner);
			const undos = others.map((box) => box.store.addFault({ kind: 'freeze' }));
			for (const box of others) environment.noteFault(box, restartDelayMs + cutOffMs);
			await restart(environment, owner);
			killed.push(areOthersCutOff ? `${owner.name} (others without store)` : owner.name);
			if (areOthersCutOff) await environment.sleep(cutOffMs);
			for (const undo of undos) undo();
		}
		await environment.sleep(random.randomInteger(nextRandom, minOwnedMs, maxOwnedMs));
	}
	return killed.length === 0 ? notInjected : killed.join(', ');
}

/** Stops a box as planned and starts it again. Kills it if the stop takes longer than its grace. */
export async function stop(environment: environments.Environment, nextRandom: () => number): Promise<string> {
	const box = pickFaultFree(environment, nextRandom);
	return box === undefined ? notInjected : stopBox(environment, box);
}

/** As `stop`, for a given box. */
export async function stopBox(
	environment: environments.Environment,
	box: environments.SoakBox,
): Promise<string> {
	if (box.process === undefined) return notInjected;
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

/** Stops boxes as planned, one after another: each once the previous one serves again. */
export async function stopInSeries(
	environment: environments.Environment,
	nextRandom: () => number,
): Promise<string> {
	const count = random.randomInteger(nextRandom, 2, maxStops);
	const stopped: string[] = [];
	for (let index = 0; index < count; index += 1) stopped.push(await stop(environment, nextRandom));
	return stopped.join(', ');
}

/** Suspends a box's process. */
export async function pause(
	environment: environments.Environment,
	nextRandom: () => number,
	durationMs: number,
): Promise<string> {
	const box = pickFaultFree(environment, nextRandom);
	return box === undefined ? notInjected : pauseBox(environment, box, durationMs);
}

/** As `pause`, for a given box. */
export async function pauseBox(
	environment: environments.Environment,
	box: environments.SoakBox,
	durationMs: number,
): Promise<string> {
	if (box.process === undefined) return notInjected;
	const { process: paused } = box.process;
	environment.noteFault(box, durationMs + startupMs);
	paused.kill('SIGSTOP');
	await environment.sleep(durationMs);
	paused.kill('SIGCONT');
	return box.name;
}

/** Picks a box without a fault of its own. Undefined: at most one such box is left, which gets no fault. */
export function pickFaultFree(
	environment: environments.Environment,
	nextRandom: () => number,
): environments.SoakBox | undefined {
	const faultFree = environment.boxes.filter((box) => isFaultFree(environment, box));
	return faultFree.length > 1 ? random.pick(nextRandom, faultFree) : undefined;
}

/** Kills a box's process and starts another after a delay. */
export async function restart(
	environment: environments.Environment,
	box: environments.SoakBox,
): Promise<void> {
	environment.noteFault(box, restartDelayMs + startupMs);
	await box.process?.kill();
	await environment.sleep(restartDelayMs);
	await environment.startBox(box);
}

export function isFaultFree(environment: environments.Environment, box: environments.SoakBox): boolean {
	return box.process !== undefined && Math.max(box.faultUntil, box.plannedStopUntil) < environment.now();
}
