/**
 * Changes the configuration record by compare-and-swap. After an unanswered call, the record is read back to learn the
 * outcome.
 */
import * as crypto from 'node:crypto';
import * as clocks from '../clock.js';
import * as errors from '../errors/index.js';
import * as keys from './keys.js';
import * as results from '../result.js';
import * as wire from '../wire/index.js';
import type * as platform from '../platform/index.js';

/** Key of the record in the store. */
export const configKey = 'woodcross/config/record';

/**
 * Number of changes kept in the record, newest last. Every process reads the record every 2 s and receives each change of
 * it, so at one change a second a long history would use up a process's 8 KB a second (docs/CAPACITY.md). Older changes are
 * in the timeline as events 5002. The history has to cover the time until the outcome of an unanswered write is known, which
 * takes seconds.
 */
const maxHistoryEntries = 32;

/** Delay before an unanswered call is repeated, in milliseconds. */
const retryIntervalMs = 200;

/** The record before the first change. */
export const emptyRecord: wire.ConfigRecord = { version: 0, values: {}, history: [] };

/** A change that an operator requests. */
export interface ConfigChange {
	key: string;
	value: unknown;
	by: string;
	/** The version that the operator saw; undefined: the change applies to any version. */
	seen?: number;
}

/** Decodes a stored record; an absent one gives `emptyRecord`. */
export function decodeRecord(item: platform.Stored | undefined): results.Result<wire.ConfigRecord, string> {
	if (item === undefined) return results.ok(emptyRecord);
	const raw = wire.decodeValue(item.value);
	if (!raw.ok) return raw;
	const parsed = wire.configRecord.safeParse(raw.value);
	return parsed.success ? results.ok(parsed.data) : results.fail(parsed.error.message);
}

/** A stored change: its version, and the record as read, which may be newer. */
export interface StoredChange {
	version: number;
	record: wire.ConfigRecord;
}

/** Finds the change with this nonce. If the record holds it, the change was stored, whatever the call returned. */
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
 * Stores a change; succeeds only once the change is known to be stored. Fails with `ConfigInvalid`, or with
 * `ConfigConflict` if the operator saw another version. If the time runs out, fails with `OutcomeUnknown` if a write got
 * no answer, else with `PlatformUnavailable`.
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
		// An unanswered write was sent after this check had passed for it, and its swap alone decides whether it is stored.
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
	const detail = `version ${change.seen ?? 0} was expected; the current version is ${current.version}`;
	return results.fail(errors.failure('ConfigConflict', detail));
}
