/**
 * Reads which zones operators evacuate. The list is short, and is read whole each time: a wait for changes may hang on a
 * connection that has gone silent, or start from a revision that the store has forgotten.
 */
import * as clocks from '../clock.js';
import type * as adapters from './platform-adapter.js';
import type * as events from '../events/index.js';
import type * as stores from '../platform/types.js';

/** How often the list is read, in milliseconds. */
const readIntervalMs = 700;

/** What reading needs. */
export interface EvacuationListOptions {
	adapter: Pick<adapters.PlatformAdapter, 'evacuationPrefix' | 'decodeEvacuation'>;
	store: stores.RecordStore;
	clock: clocks.Clock;
	events: events.EventLog;
	/** Zones of the deployment. */
	zones: readonly string[];
	/** Told of each list: the zones, and the clock time at which it held at the latest. */
	onRead: (zones: ReadonlySet<string>, asOf: number) => void;
}

/** The list, until it is closed. */
export class EvacuationList {
	private readonly timer: clocks.Timer;
	private isReading = false;
	private closed = false;
	/** The zones of the newest list. */
	private zones: ReadonlySet<string> = new Set();
	/** Entries that were told of as unusable, by key, with their version. */
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
		// A store that does not answer is logged where it is watched.
		if (!res.ok || this.isClosed()) return;
		this.zones = new Set(res.value.items.flatMap((item) => this.zoneOf(item) ?? []));
		onRead(this.zones, requestedAt);
	}

	/** The zone that an entry evacuates; one that can't be read leaves its zone as it was. */
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

	/** Read after an `await`, where the compiler thinks the field can't have changed. */
	private isClosed(): boolean {
		return this.closed;
	}
}
