/**
 * Reads which zones operators evacuate. The list is short and is read whole each time: a long poll for changes may hang on
 * an unresponsive connection, or start from a revision that the store no longer keeps.
 */
import * as clocks from '../clock.js';
import type * as adapters from './platform-adapter.js';
import type * as events from '../events/index.js';
import type * as stores from '../platform/types.js';

/** Interval between reads of the list, in milliseconds. */
const readIntervalMs = 700;

/** Options of `EvacuationList`. */
export interface EvacuationListOptions {
	adapter: Pick<adapters.PlatformAdapter, 'evacuationPrefix' | 'decodeEvacuation'>;
	store: stores.RecordStore;
	clock: clocks.Clock;
	events: events.EventLog;
	/** Zones of the deployment. */
	zones: readonly string[];
	/** Called with the zones of each list, which is at least as recent as the clock time `asOf`. */
	onRead: (zones: ReadonlySet<string>, asOf: number) => void;
}

/** Reads the list at intervals until it is closed. */
export class EvacuationList {
	private readonly timer: clocks.Timer;
	private isReading = false;
	private closed = false;
	/** The zones of the newest list. */
	private zones: ReadonlySet<string> = new Set();
	/** Version of each unusable entry that was logged, by key. */
	private readonly loggedVersions = new Map<string, number>();

	private constructor(private readonly opts: EvacuationListOptions) {
		this.timer = clocks.every(opts.clock, readIntervalMs, () => void this.read());
		void this.read();
	}

	static create(opts: EvacuationListOptions): EvacuationList {
		return new EvacuationList(opts);
	}

	close(): void {
		this.closed = true;
		this.timer.cancel();
	}

	private async read(): Promise<void> {
		if (this.isReading) return;
		this.isReading = true;
		const { store, clock, adapter, onRead } = this.opts;
		const requestedAt = clock.now();
		const res = await store.list(adapter.evacuationPrefix);
		this.isReading = false;
		// Failed calls to the store are logged where its contact is watched.
		if (!res.ok || this.isClosed()) return;
		this.zones = new Set(res.value.items.flatMap((item) => this.zoneOf(item) ?? []));
		onRead(this.zones, requestedAt);
	}

	/** The zone that an entry evacuates; undefined: none. An unreadable entry leaves its zone as it was. */
	private zoneOf({ key, value, version }: stores.Stored): string | undefined {
		const { zone, isReadable } = this.opts.adapter.decodeEvacuation(key, value);
		if (!isReadable) this.logRejected(key, version, 'unreadable');
		else if (!this.opts.zones.includes(zone)) this.logRejected(key, version, 'unknown zone');
		return isReadable || this.zones.has(zone) ? zone : undefined;
	}

	private logRejected(key: string, version: number, reason: string): void {
		if (this.loggedVersions.get(key) === version) return;
		this.loggedVersions.set(key, version);
		this.opts.events.emit('evacuation.rejected', { key, version, reason });
	}

	/** A method, as the compiler assumes that the field can't change during an `await`. */
	private isClosed(): boolean {
		return this.closed;
	}
}
