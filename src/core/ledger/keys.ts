/** Keys of what the boxes keep in the platform's store. */

/** Everything of the boxes. */
const rootPrefix = 'woodcross/';

/** All that concerns jobs. */
export const jobsPrefix = `${rootPrefix}jobs/`;

/** What callers asked for: accepted jobs and cancellations. The owner follows it. */
export const requestPrefix = `${jobsPrefix}in/`;

/** Counts takeovers; never goes away, so every write of an owner can be made to depend on it. */
export const epochKey = `${rootPrefix}epoch`;

/** Names the owner; goes away with its lease. */
export const ownerKey = `${rootPrefix}owner`;

/** The workers that an owner may have given work to. */
export const rosterKey = `${rootPrefix}roster`;

/** What owners have learnt of disturbance and loads; the next one goes on from it. */
export const learnedModelsKey = `${rootPrefix}learnt`;

const acceptedPrefix = `${requestPrefix}job/`;
const cancelPrefix = `${requestPrefix}cancel/`;
const progressPrefix = `${jobsPrefix}progress/`;

/** Key of an accepted job. */
export function jobKey(id: string): string {
	return acceptedPrefix + id;
}

/** Key of a job's cancellation. */
export function cancelKey(id: string): string {
	return cancelPrefix + id;
}

/** Key of a job's progress. */
export function progressKey(id: string): string {
	return progressPrefix + id;
}

/** What a key under `jobsPrefix` holds, and of which job. */
export function parseKey(key: string): { kind: 'job' | 'cancel' | 'progress'; id: string } | undefined {
	if (key.startsWith(acceptedPrefix)) return { kind: 'job', id: key.slice(acceptedPrefix.length) };
	if (key.startsWith(cancelPrefix)) return { kind: 'cancel', id: key.slice(cancelPrefix.length) };
	if (key.startsWith(progressPrefix)) return { kind: 'progress', id: key.slice(progressPrefix.length) };
	return undefined;
}
