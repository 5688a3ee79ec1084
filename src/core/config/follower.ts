/**
 * The task that holds a process's configuration. It only ever moves to a higher version, learnt from the platform,
 * from peers' pushes, or by asking a peer that tells of a higher one.
 */
import * as keys from './keys.js';
import * as platform from '../platform/index.js';
import * as store from './store.js';
import * as wire from '../wire/index.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';

/** Milliseconds between full reads, the bound on how long a stalled watch can hold a change back. */
const relistMs = 2_000;

/** Milliseconds that a peer may take to hand over its record. */
const peerTimeoutMs = 1_000;

/** What the task needs. */
export interface ConfigDeps {
	store: platform.Store;
	clock: clocks.Clock;
	events: events.EventLog;
	peers: wire.PeerClient<wire.PeerReq>;
	/** Addresses of this zone's other processes. */
	zonePeers: () => string[];
	onApplied: (record: wire.ConfigRecord) => void;
}

/** A process's configuration. */
export class ConfigFollower {
	record: wire.ConfigRecord = store.emptyRecord;
	/** Whether a record was learnt since the start; before that the process serves nothing that depends on it. */
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

	/** A number of the configuration in force. */
	number(name: keys.ConfigName): number {
		return keys.numberOf(this.record.values, name);
	}

	/** Any value of the configuration in force. */
	value(name: keys.ConfigName): keys.ConfigValue {
		return keys.valueOf(this.record.values, name);
	}

	/**
	 * Takes over a higher version. One read from the platform is passed on to the zone's peers. A push may have been
	 * under way for long, so to a process that has just started it proves nothing: it asks first (spec/config.ts).
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

	/** A peer told of a higher version: ask it for the record. */
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
