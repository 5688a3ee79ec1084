/**
 * Records that the boxes keep in the platform's store: jobs, their progress, the owner that dispatches them and the roster
 * of workers that may run them.
 */
export * as keys from './keys.js';
export { accept, cancel, isJobStored, isWriteFailure, readJob, toJobView } from './requests.js';
export { Cancellations } from './cancellations.js';
export { tombstoneMs } from './tombstones.js';
export { maxProgressPerWrite, OwnerLedger } from './owner-ledger.js';
export { RecordCopy } from './record-copy.js';
export { decodeEpoch, decodeJob, decodeOwner, isJobRecord } from './records.js';
export type {
	HeartbeatOutcome,
	LedgerContents,
	NewOwner,
	TakeoverFailure,
	WriteOutcome,
} from './owner-ledger.js';
export type * from './types.js';
