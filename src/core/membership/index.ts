/**
 * The processes of the system: each holds a key under a lease in the platform's store and follows the keys of all others.
 * While the store gives no answer, the last known members stay.
 */
import * as clocks from '../clock.js';
import * as hash from '../hash.js';
import * as platform from '../platform/index.js';
import * as wire from '../wire/index.js';
import * as zod from 'zod';
import type * as events from '../events/index.js';

const z = zod.z;

const memberSchema = z.object({
	box: z.string(),
	role: z.enum(['entry', 'scheduler', 'operator']),
	zone: z.string(),
	/** Differs in each start of the process. */
	boot: z.string(),
	/** Address at which peers connect, `host:port`. */
	peer: z.string(),
	/** Address at which callers or operators connect, `host:port`. */
	serves: z.string(),
});

/** One process of the system. */
export type Member = zod.infer<typeof memberSchema>;

export type Role = Member['role'];

/** Prefix of the members' keys. */
export const memberPrefix = 'woodcross/members/';

/** Duration of the lease of a member's key, in seconds. */
export const memberTtlS = 3;

/** Interval between lease renewals, in milliseconds. */
const renewMs = 1_000;

/** Interval between full lists, in milliseconds. */
const relistMs = 10_000;

/**
 * The member that should own a shard: the first of the zone's schedulers in rendezvous order; undefined: the zone has none.
 */
export function preferredOwner(shard: string, members: readonly Member[], zone: string): Member | undefined {
	const candidates = members.filter((one) => one.role === 'scheduler' && one.zone === zone);
	const first = hash.rendezvous(
		shard,
		candidates.map((one) => one.boot),
	)[0];
	return candidates.find((one) => one.boot === first);
}

/** Registers this process and follows the other members. */
export class Membership {
	/** Known members. They stay while the platform is unreachable. */
	members: Member[];
	/** When the set of members last changed, on the monotonic clock. */
	changedAt: number;
	/** Whether the last call to the platform was answered. */
	reachable = false;
	private lease: string | undefined;
	private renewTimer: clocks.Timer | undefined;
	private follower: platform.Follower | undefined;

	private constructor(
		readonly self: Member,
		private readonly store: platform.Store,
		private readonly clock: clocks.Clock,
		private readonly log: events.EventLog,
		private readonly onChange: () => void,
	) {
		this.members = [self];
		this.changedAt = clock.now();
	}

	static create(
		self: Member,
		store: platform.Store,
		clock: clocks.Clock,
		log: events.EventLog,
		onChange: () => void = () => undefined,
	): Membership {
		const membership = new Membership(self, store, clock, log, onChange);
		membership.follower = platform.Follower.create(store, clock, {
			prefix: memberPrefix,
			relistMs,
			onView: (view) => {
				membership.applyView(view);
			},
			onReachable: (reachable, reason) => {
				membership.noteReachable(reachable, reason);
			},
		});
		void membership.renew();
		membership.renewTimer = clocks.every(clock, renewMs, () => membership.renew());
		return membership;
	}

	/** The other members in this process's zone. */
	zonePeers(role?: Role): Member[] {
		return this.members.filter(
			(one) =>
				one.boot !== this.self.boot &&
				one.zone === this.self.zone &&
				(role === undefined || one.role === role),
		);
	}

	/** Leaves the members at once by ending the lease. */
	async leave(): Promise<void> {
		this.renewTimer?.cancel();
		this.follower?.stop();
		if (this.lease !== undefined) await this.store.endLease(this.lease);
	}

	private async renew(): Promise<void> {
		if (this.lease !== undefined) {
			const renewed = await this.store.keepLease(this.lease);
			this.noteReachable(renewed.ok, renewed.ok ? '' : renewed.err.reason);
			if (!renewed.ok || renewed.value) return;
			this.lease = undefined;
		}
		await this.register();
	}

	private async register(): Promise<void> {
		const granted = await this.store.grantLease(memberTtlS);
		if (!granted.ok) return;
		const key = `${memberPrefix}${this.self.zone}/${this.self.role}/${this.self.boot}`;
		const put = await this.store.swap(key, wire.encodeValue(this.self), 0, granted.value);
		// Not swapped: the process's own key is still there under an expired lease, or the call had no answer. The next
		// renewal tries again.
		if (put.ok && put.value.swapped) this.lease = granted.value;
	}

	private applyView(view: ReadonlyMap<string, platform.Stored>): void {
		const members: Member[] = [];
		for (const item of view.values()) {
			const raw = wire.decodeValue(item.value);
			const parsed = raw.ok ? memberSchema.safeParse(raw.value) : undefined;
			if (parsed?.success === true) members.push(parsed.data);
		}
		members.sort((a, b) => (a.boot < b.boot ? -1 : 1));
		if (!members.some((one) => one.boot === this.self.boot)) members.push(this.self);
		const before = this.members.map((one) => one.boot).join();
		if (before === members.map((one) => one.boot).join()) return;
		this.members = members;
		this.changedAt = this.clock.now();
		this.log.emit('members.changed', { members: members.length });
		this.onChange();
	}

	private noteReachable(reachable: boolean, reason: string): void {
		if (reachable === this.reachable) return;
		this.reachable = reachable;
		if (reachable) this.log.emit('platform.available');
		else this.log.emit('platform.unavailable', { reason });
	}
}
