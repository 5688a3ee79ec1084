/** What the boxes ask of each other. The owner answers; any other box says that it is not the owner. */
import * as zod from 'zod/mini';
import * as results from '../result.js';
import type * as admission from '../admission/index.js';
import type * as sharing from './configuration-sharing.js';
import type * as jobs from '../jobs/index.js';

const z = zod;

/** Written by a box, so its form is trusted. */
const record = z.custom<jobs.JobRecord>((value: unknown) => typeof value === 'object' && value !== null);

const request = z.discriminatedUnion('type', [
	/** Held for `waitMs`, so that a broken connection is noticed at once. */
	z.object({
		type: z.literal('owner.ping'),
		waitMs: z.number(),
		/** Who asks, and how strong it is. */
		candidate: z.object({ box: z.string(), processor: z.number(), storeReachable: z.boolean() }),
		/** Version of the configuration in force there; absent: it has none, or is of an older version. */
		configuration: z.optional(z.number()),
	}),
	/** A job was stored. */
	z.object({ type: z.literal('job.stored'), record }),
	/** Store this job for a box that the store turns away. */
	z.object({ type: z.literal('job.accept'), record }),
	/** A cancellation was stored. */
	z.object({ type: z.literal('job.cancelled'), job: z.string() }),
	/** Store this cancellation for a box that the store turns away. */
	z.object({ type: z.literal('job.cancel'), job: z.string() }),
	z.object({ type: z.literal('job.state'), job: z.string() }),
	z.object({ type: z.literal('queue.pending'), queue: z.string() }),
	/** The configuration in force at the owner, for a box that the store does not answer. */
	z.object({ type: z.literal('configuration.read') }),
]);

/** A request of a box. */
export type BoxReq = zod.infer<typeof request>;

/** The answer to `owner.ping`. */
export interface PingReply {
	generation: number;
	/** The store answers the owner. */
	storeReachable: boolean;
	/** The strongest processor (cores) among the boxes that ask the owner, and its own. */
	strongest: number;
	/** The work that is owed; absent: the owner is of an older version. */
	backlog?: admission.Backlog;
	/** What the owner says of silent workers; absent: none is. */
	silent?: UnresponsiveWorkers;
	/** The configuration in force at the owner; absent: it has none, or is of an older version. */
	configuration?: sharing.AdvertisedConfiguration;
}

/** The answer to `configuration.read`; absent: the owner gives it to others just now. */
export interface ConfigurationReply {
	/** As it stands in the store. */
	value?: Uint8Array;
}

/**
 * What an owner says of workers that do not answer it. Until its next roster write it gives none of them a lease, so the
 * next owner need not wait for them from its own takeover on.
 */
export interface UnresponsiveWorkers {
	/** Version of the roster in the store, as the owner knows it: a later write of it voids what is said here. */
	rosterVersion: number;
	/** By worker: how long until every lease there is over, in milliseconds. */
	leftMs: Record<string, number>;
}

/** The answer to `job.state`; without a state the owner does not know the job. */
export type StateReply = Partial<jobs.JobView>;

/** Checks a request of a box. */
export function parseBoxReq(body: unknown): results.Result<BoxReq, string> {
	const req = request.safeParse(body);
	if (req.success) return results.ok(req.data);
	const issue = req.error.issues[0];
	return results.fail(`request field ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
}
