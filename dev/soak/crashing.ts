/** Jobs of which the first task crashes each worker that starts it, and what may become of them. */
import * as random from '../random.js';

/** This part of the jobs of the fourth set of faults. */
const crashingFraction = 0.015;

/** How long after its start such a task brings its worker down, in milliseconds: at once, or beside others that came later. */
const crashDelaysMs = [10, 900];

/** A worker that was brought down is back after so long, in milliseconds. */
export const downMs = 3_000;

/** A task under which so many workers have crashed may be given up (stated by the users). */
export const crashesBeforeAbandoning = 2;

/** Once so many workers have crashed under such a task, it may be started so often still (stated by the users). */
export const crashesBeforeStartLimit = 3;
export const maxStartsAfterCrashes = 2;

/** Whether a job has such a task. */
export function isCrashing(job: string): boolean {
	return random.seeded(random.hash(`${job} crashes`))() < crashingFraction;
}

/** How long after its start a task brings its worker down, in milliseconds; undefined: it does not. */
export function crashMsOf(task: string): number | undefined {
	const [job = ''] = task.split('.');
	if (!isCrashing(job) || !task.endsWith('.0.0.0')) return undefined;
	return random.pick(random.seeded(random.hash(job)), crashDelaysMs);
}
