/** Jobs whose first task crashes each worker that starts it, and the limits for such tasks. */
import * as random from '../random.js';

/** Fraction of the jobs that crash their workers, in the sets of faults that have such jobs. */
const crashingFraction = 0.015;

/**
 * Delay between the start of such a task and the crash of its worker, in milliseconds: at once, or beside tasks that started
 * later.
 */
const crashDelaysMs = [10, 900];

/** Time after which a crashed worker is back, in milliseconds. */
export const downMs = 3_000;

/** Number of workers that have crashed under a task before it may be abandoned (stated by the users). */
export const crashesBeforeAbandoning = 2;

/**
 * Once `crashesBeforeStartLimit` workers have crashed under such a task, it may be started `maxStartsAfterCrashes` more
 * times (stated by the users).
 */
export const crashesBeforeStartLimit = 3;
export const maxStartsAfterCrashes = 2;

/** Whether a job's first task crashes its workers. */
export function isCrashing(job: string): boolean {
	return random.seededRandom(random.hash(`${job} crashes`))() < crashingFraction;
}

/** Delay between the start of a task and the crash of its worker, in milliseconds. Undefined: the task does not crash it. */
export function crashMsOf(task: string): number | undefined {
	const [job = ''] = task.split('.');
	if (!isCrashing(job) || !task.endsWith('.0.0.0')) return undefined;
	return random.pick(random.seededRandom(random.hash(job)), crashDelaysMs);
}
