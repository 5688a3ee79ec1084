/** Keys of the records that the boxes keep in the platform's store. */

/** Prefix of all the keys below but the tombstones. */
export const rootPrefix = 'woodcross/';

/** Prefix of all records that concern jobs. */
export const jobsPrefix = `${rootPrefix}jobs/`;

/** Prefix of the callers' requests: accepted jobs and cancellations. The owner follows it. */
export const requestPrefix = `${jobsPrefix}in/`;

/** Counts takeovers. The record is never deleted, so every write of an owner can depend on its version. */
export const epochKey = `${rootPrefix}epoch`;

/** Names the owner. The key is bound to the owner's lease and is deleted with it. */
export const ownerKey = `${rootPrefix}owner`;

/** The last heartbeat of an owner. It is kept after the owner's end, for its successor. */
export const heartbeatKey = `${rootPrefix}heartbeat`;

/** Workers on which an owner may have started runs. */
export const rosterKey = `${rootPrefix}roster`;

/** Interference and load models that owners have learned. The next owner starts from them. */
export const learnedModelsKey = `${rootPrefix}learnt`;

const acceptedPrefix = `${requestPrefix}job/`;
const cancelPrefix = `${requestPrefix}cancel/`;
/** Prefix of the stored progress of jobs. */
export const progressPrefix = `${jobsPrefix}progress/`;

/** Prefix of tombstones. No owner reads them, so it lies beside the prefix of the records that a takeover reads. */
const tombstonePrefix = 'woodcross-tombstones/';

export function jobKey(id: string): string {
	return acceptedPrefix + id;
}

/** Key that is present while a job that was cancelled before it was stored must not be stored. */
export function tombstoneKey(id: string): string {
	return tombstonePrefix + id;
}

export function cancelKey(id: string): string {
	return cancelPrefix + id;
}

export function progressKey(id: string): string {
	return progressPrefix + id;
}

/** Kind and job id of a key under `jobsPrefix`; undefined: it is none of these. */
export function parseKey(key: string): { kind: 'job' | 'cancel' | 'progress'; id: string } | undefined {
	if (key.startsWith(acceptedPrefix)) return { kind: 'job', id: key.slice(acceptedPrefix.length) };
	if (key.startsWith(cancelPrefix)) return { kind: 'cancel', id: key.slice(cancelPrefix.length) };
	if (key.startsWith(progressPrefix)) return { kind: 'progress', id: key.slice(progressPrefix.length) };
	return undefined;
}
