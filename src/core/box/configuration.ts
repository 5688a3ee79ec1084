/** Keeps a box up to date with what operators write to the store, and knows how long ago that was last confirmed. */
import * as clocks from '../clock.js';
import * as followers from '../platform/record-follower.js';
import * as limits from '../platform/limits.js';
import * as queues from '../queues/index.js';
import * as sharing from './configuration-sharing.js';
import type * as adapters from './platform-adapter.js';
import type * as contacts from '../platform/contact.js';
import type * as events from '../events/index.js';
import type * as stores from '../platform/types.js';
import type * as upkeep from '../upkeep/index.js';

/** Longest and shortest wait of a long poll on the operators' keys, in milliseconds: each call is charged for. */
const maxWaitMs = 2_500;
const minWaitMs = 250;

/**
 * Time left for reading the list after a long poll has timed out, in milliseconds. It covers a new connection and an answer
 * of the store, which takes 250 ms in its slow hours.
 */
const relistAllowanceMs = 600;

/**
 * Interval between checks whether the confirmation is overdue, and interval at which that is logged again, in milliseconds.
 */
const overdueCheckIntervalMs = 500;
const overdueLogIntervalMs = 5_000;

/** At most this many unreadable queues and pools of a version are logged one by one. */
const maxSkippedLogged = 10;

/** Options of `ConfigurationFollower`. */
export interface ConfigurationOptions {
	adapter: Pick<
		adapters.PlatformAdapter,
		'configurationPrefix' | 'configurationKey' | 'decodeConfiguration' | 'decodeWave'
	>;
	store: stores.RecordStore;
	contact: Pick<contacts.StoreContact, 'reachable'>;
	clock: clocks.Clock;
	events: events.EventLog;
	/** A stored configuration has to be in force within this time, in milliseconds. */
	applyMs: number;
	onWave: (wave: upkeep.Wave) => void;
}

/** Where a configuration was read. */
interface Source {
	source: 'list' | 'change' | 'owner';
	/** The store's revision of that answer; absent: the owner sent it. */
	revision?: number;
}

/**
 * Wait of a long poll on the operators' keys, in milliseconds. Its connection may become unresponsive as it begins: then the
 * wait, the time for a late answer and a list over another connection have to fit into `applyMs`.
 */
export function longPollWaitMs(applyMs: number): number {
	const left = applyMs - limits.longPollGraceMs - relistAllowanceMs;
	return Math.min(maxWaitMs, Math.max(minWaitMs, left));
}

/** The operators' configuration as this box knows it. */
export class ConfigurationFollower {
	/** The configuration in force; undefined before the first is known. */
	table: queues.QueueTable | undefined;
	/**
	 * Clock time of the last confirmation: by an answer of the store, or by one that an owner with the same version
	 * advertised.
	 */
	private confirmedAt: number;
	/** The highest version that another box has advertised. */
	private highestAdvertisedVersion = 0;
	/** The highest version for which the list was read because another box has it. */
	private listedForVersion = 0;
	private readonly follower: followers.RecordFollower;
	/** The configuration in force, encoded as in the store. */
	private stored: Uint8Array | undefined;
	private isFetchingFromOwner = false;
	/** Clock time of the last log line about an overdue confirmation; undefined: it is not overdue. */
	private overdueLoggedAt: number | undefined;
	private readonly rateLimit: sharing.SharingRateLimit;

	private constructor(private readonly opts: ConfigurationOptions) {
		this.rateLimit = sharing.SharingRateLimit.create(() => opts.clock.now());
		this.confirmedAt = opts.clock.now();
		this.follower = followers.RecordFollower.create({
			store: opts.store,
			clock: opts.clock,
			prefix: opts.adapter.configurationPrefix,
			waitMs: longPollWaitMs(opts.applyMs),
			pauseMs: 0,
			isListShort: true,
			onAnswered: (asOf) => {
				this.confirmed(asOf);
			},
			onList: (items, revision) => {
				for (const item of items) this.applyEntry(item.key, item.value, { source: 'list', revision });
			},
			onChanges: (changes, revision) => {
				for (const one of changes)
					if (one.value !== undefined) this.applyEntry(one.key, one.value, { source: 'change', revision });
			},
		});
		clocks.every(opts.clock, overdueCheckIntervalMs, () => {
			this.logIfOverdue();
		});
	}

	static create(opts: ConfigurationOptions): ConfigurationFollower {
		return new ConfigurationFollower(opts);
	}

	/** The version in force; 0: none is known. */
	get version(): number {
		return this.table?.configuration.version ?? 0;
	}

	/** How long ago the store, or an owner with the same version, last confirmed the version in force, in milliseconds. */
	get ageMs(): number {
		return Math.round(this.opts.clock.now() - this.confirmedAt);
	}

	/**
	 * Whether a newer configuration may be in force elsewhere: another box has one, or the confirmation of this one is
	 * overdue.
	 */
	get mayBeStale(): boolean {
		return this.highestAdvertisedVersion > this.version || this.isOverdue;
	}

	/** What this box, as the owner, advertises to others; undefined: it has none. */
	get advertisedConfiguration(): sharing.AdvertisedConfiguration | undefined {
		const { version, ageMs } = this;
		return this.table && { version, ageMs };
	}

	/**
	 * The stored configuration for a box that asks this owner; undefined: there is none, or the rate limit does not allow it
	 * now.
	 */
	shareStored(): Uint8Array | undefined {
		return this.stored && this.rateLimit.tryShare(this.stored);
	}

	/**
	 * Handles what the owner advertised in answer to a ping sent at `sentAt` (clock time). A version newer than this box's
	 * is read from the store, which bears that better than the owner. Without the store, or if that brought nothing,
	 * `fetchFromOwner` gets it from the owner.
	 */
	async onAdvertised(
		advertised: sharing.AdvertisedConfiguration,
		sentAt: number,
		fetchFromOwner: () => Promise<Uint8Array | undefined>,
	): Promise<void> {
		this.highestAdvertisedVersion = Math.max(this.highestAdvertisedVersion, advertised.version);
		if (advertised.version === this.version) this.confirmed(sentAt - advertised.ageMs);
		const isListing = this.opts.contact.reachable && this.listIfNewer(advertised.version);
		const isBehind = advertised.version > this.version;
		if (isListing || !isBehind || this.isFetchingFromOwner) return;
		this.isFetchingFromOwner = true;
		const value = await fetchFromOwner();
		this.isFetchingFromOwner = false;
		if (value !== undefined) this.applyConfiguration(value, { source: 'owner' });
	}

	/**
	 * Another box has this version. If it is newer than this box's, reads the list, once a version, and returns true. The
	 * long poll may never bring the version: its connection may have become unresponsive, or the store's answer may have
	 * skipped a change.
	 */
	listIfNewer(version: number): boolean {
		this.highestAdvertisedVersion = Math.max(this.highestAdvertisedVersion, version);
		if (version <= Math.max(this.version, this.listedForVersion)) return false;
		this.listedForVersion = version;
		this.follower.listNow();
		return true;
	}

	/** Whether nobody has confirmed the version in force for longer than a newer one may take to come into force. */
	private get isOverdue(): boolean {
		return !clocks.isFresh(this.opts.clock, this.confirmedAt, this.opts.applyMs);
	}

	/** The version in force was the newest at the clock time `at`. */
	private confirmed(at: number): void {
		const { ageMs, version } = this;
		if (at <= this.confirmedAt) return;
		this.confirmedAt = at;
		if (this.overdueLoggedAt === undefined) return;
		this.overdueLoggedAt = undefined;
		this.opts.events.emit('config.confirmed', { version, ageMs });
	}

	private logIfOverdue(): void {
		const { ageMs, version } = this;
		if (!this.isOverdue) return;
		const now = this.opts.clock.now();
		if (now - (this.overdueLoggedAt ?? -Infinity) < overdueLogIntervalMs) return;
		this.overdueLoggedAt = now;
		this.opts.events.emit('config.unconfirmed', { version, ageMs });
	}

	private applyEntry(key: string, value: Uint8Array, from: Source): void {
		const { adapter, onWave } = this.opts;
		if (key === adapter.configurationKey) this.applyConfiguration(value, from);
		const wave = adapter.decodeWave(key, value);
		if (wave !== undefined) onWave(wave);
	}

	private applyConfiguration(value: Uint8Array, from: Source): void {
		const { adapter, events: log } = this.opts;
		const decoded = adapter.decodeConfiguration(value);
		if (!decoded.ok) {
			log.emit('config.rejected', { reason: decoded.err, ...from });
			return;
		}
		const { version, routes, skippedReasons } = decoded.value;
		// Versions only go forward: an older answer may arrive late.
		if (this.table !== undefined && version <= this.version) return;
		this.table = queues.QueueTable.create(decoded.value);
		this.stored = value;
		for (const reason of skippedReasons.slice(0, maxSkippedLogged))
			log.emit('config.rejected', { version, reason, ...from });
		log.emit('config.applied', { version, queues: routes.length, ...from });
	}
}
