/**
 * Holds a process's configuration. Its version only ever increases. Newer records come from the platform, from peers'
 * pushes, or from a peer that reported a higher version and was asked for its record.
 */
import * as keys from './keys.js';
import * as platform from '../platform/index.js';
import * as store from './store.js';
import * as wire from '../wire/index.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';

/** Interval between full reads, in milliseconds; bounds how long a stalled watch can delay a change. */
const relistMs = 2_000;

/** Timeout of a call to a peer, in milliseconds. */
const peerTimeoutMs = 1_000;

/** Dependencies of the configuration. */
export interface ConfigDeps {
	store: platform.Store;
	clock: clocks.Clock;
	events: events.EventLog;
	peers: wire.PeerClient<wire.PeerReq>;
	/** Addresses of this zone's other processes. */
	zonePeers: () => string[];
	onApplied: (record: wire.ConfigRecord) => void;
}

/** Follows and holds a process's configuration. */
export class ConfigFollower {
	record: wire.ConfigRecord = store.emptyRecord;
	/** Whether a record has been received since the start. Until then the process serves nothing that depends on it. */
	known = false;
	private follower: platform.Follower | undefined;

	private constructor(private readonly deps: ConfigDeps) {}

	static create(deps: ConfigDeps): ConfigFollower {
		const configFollower = new ConfigFollower(deps);
		configFollower.follower = platform.Follower.create(deps.store, deps.clock, {
			prefix: store.configKey,
			relistMs,
			onView: (view) => {
				const record = store.decodeRecord(view.get(store.configKey));
				if (record.ok) configFollower.applyIfNewer(record.value, 'platform');
			},
		});
		return configFollower;
	}

	/** Value in force of a numeric key. */
	number(name: keys.ConfigName): number {
		return keys.numberOf(this.record.values, name);
	}

	/** Value in force of a key. */
	value(name: keys.ConfigName): keys.ConfigValue {
		return keys.valueOf(this.record.values, name);
	}

	/**
	 * Applies a record with a higher version. A record read from the platform is pushed to the zone's peers. A push may have
	 * been in transit for a long time, so a process that has just started can't rely on it: it requests a record first
	 * (spec/config.ts).
	 */
	applyIfNewer(record: wire.ConfigRecord, source: 'platform' | 'asked' | 'push'): void {
		if (source === 'push' && !this.known) return;
		const isFirst = !this.known;
		this.known = true;
		if (record.version <= this.record.version && !(isFirst && record.version === 0)) return;
		this.record = record;
		this.deps.events.emit('config.applied', { version: record.version });
		this.deps.onApplied(record);
		if (source === 'platform' && record.version > 0) this.pushToZonePeers(record);
	}

	/** Fetches the record from a peer that reported a higher version. */
	async fetchIfNewer(version: number, address: string): Promise<void> {
		if (version <= this.record.version && this.known) return;
		const res = await this.deps.peers.call<unknown>(address, { type: 'config.get' }, peerTimeoutMs);
		if (!res.ok || !res.value.ok) return;
		const parsed = wire.configRecord.safeParse(res.value.value);
		if (parsed.success) this.applyIfNewer(parsed.data, 'asked');
	}

	stop(): void {
		this.follower?.stop();
	}

	private pushToZonePeers(record: wire.ConfigRecord): void {
		for (const address of this.deps.zonePeers()) {
			void this.deps.peers.call(address, { type: 'config.push', record }, peerTimeoutMs);
		}
	}
}
