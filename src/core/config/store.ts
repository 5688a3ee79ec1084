/** Changes of the configuration record by compare-and-swap, with unanswered calls settled by reading back. */
import * as crypto from 'node:crypto';
import * as clocks from '../clock.js';
import * as errors from '../errors/index.js';
import * as keys from './keys.js';
import * as results from '../result.js';
import * as wire from '../wire/index.js';
import type * as platform from '../platform/index.js';

/** Where the record is kept. */
export const configKey = 'woodcross/config/record';

/**
 * Changes kept in the record, newest last. Every process reads the record every 2 s and gets each change of it, so at
 * one change a second a long history would use up a process's 8 KB a second (docs/CAPACITY.md); older changes are
 * events 5002 in the time line. Must outlast the settling of an unanswered write, which takes seconds.
 */
const maxHistoryEntries = 32;

/** Wait before an unanswered call is repeated, in milliseconds. */
const retryIntervalMs = 200;

/** The record before the first change. */
export const emptyRecord: wire.ConfigRecord = { version: 0, values: {}, history: [] };

/** A change as an operator asks for it. */
export interface ConfigChange {
	key: string;
	value: unknown;
	by: string;
	/** The version the operator saw; undefined: whatever is current. */
	seen?: number;
}

/** Reads a stored record. */
export function decodeRecord(item: platform.Stored | undefined): results.Result<wire.ConfigRecord, string> {
	if (item === undefined) return results.ok(emptyRecord);
	const raw = wire.decodeValue(item.value);
	if (!raw.ok) return raw;
	const parsed = wire.configRecord.safeParse(raw.value);
	return parsed.success ? results.ok(parsed.data) : results.fail(parsed.error.message);
}

/** A stored change: the version it got, and the record that was read, which may be newer. */
export interface StoredChange {
	version: number;
	record: wire.ConfigRecord;
}

/** The change with that nonce, if the record holds it: then it was stored, whatever became of the answer. */
function findStored(record: wire.ConfigRecord, nonce: string): StoredChange | undefined {
	const change = record.history.find((one) => one.nonce === nonce);
	return change && { version: change.version, record };
}

function withChange(
	record: wire.ConfigRecord,
	change: ConfigChange,
	value: keys.ConfigValue,
	nonce: string,
	at: number,
): wire.ConfigRecord {
	const version = record.version + 1;
	const entry = { version, at, by: change.by, key: change.key, value, nonce };
	return {
		version,
		values: { ...record.values, [change.key]: value },
		history: [...record.history, entry].slice(-maxHistoryEntries),
	};
}

/**
 * Stores a change. Accepted only once it is known to be stored. `OutcomeUnknown` if the time runs out while a
 * write is unanswered; `PlatformUnavailable` if none was sent.
 */
export async function changeRecord(
	store: platform.Store,
	clock: clocks.Clock,
	change: ConfigChange,
	timeoutMs: number,
): Promise<results.Result<StoredChange, errors.Failure>> {
	const checked = keys.checkValue(change.key, change.value);
	if (!checked.ok) return checked;
	const nonce = crypto.randomUUID();
	const deadlineAt = clock.now() + timeoutMs;
	let hasUnansweredWrite = false;
	while (clock.now() < deadlineAt) {
		const item = await store.get(configKey);
		const record = item.ok ? decodeRecord(item.value) : undefined;
		if (!item.ok || record?.ok !== true) {
			await clocks.sleep(clock, retryIntervalMs);
			continue;
		}
		const stored = findStored(record.value, nonce);
		if (stored !== undefined) return results.ok(stored);
		const current = record.value;
		// With an unanswered write outstanding, "seen" was checked before it and only the swap decides.
		if (change.seen !== undefined && current.version !== change.seen) return conflict(change, current);
		const next = withChange(current, change, checked.value, nonce, clock.wall());
		const put = await store.swap(configKey, wire.encodeValue(next), item.value?.version ?? 0);
		if (put.ok && put.value.swapped) return results.ok({ version: next.version, record: next });
		if (!put.ok && put.err.effect === 'unknown') hasUnansweredWrite = true;
	}
	const detail = `${change.key} = ${String(change.value)}`;
	const retryAfterMs = 2_000;
	if (hasUnansweredWrite) return results.fail(errors.failure('OutcomeUnknown', detail, { retryAfterMs }));
	return results.fail(errors.failure('PlatformUnavailable', detail, { retryAfterMs }));
}

function conflict(change: ConfigChange, current: wire.ConfigRecord): results.Result<never, errors.Failure> {
	const detail = `you saw version ${change.seen ?? 0}; it is ${current.version} now`;
	return results.fail(errors.failure('ConfigConflict', detail));
}
