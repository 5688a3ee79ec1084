/** Messages between the project's own processes, validated on receipt. */
import * as zod from 'zod';
import * as taskSpec from '../task/spec.js';
import * as results from '../result.js';

const z = zod.z;

/** Number of requests waiting or running, by service: the slots that an entry box would use if it could. */
const demand = z.record(z.string(), z.number().int().min(0));

/** What the processes of a zone send each other every round. */
const gossip = z.object({
	type: z.literal('gossip'),
	box: z.string(),
	role: z.enum(['entry', 'scheduler', 'operator']),
	configVersion: z.number().int(),
	demand: demand.optional(),
	/** Ids of the backend servers that this box knows to be leaving. */
	leaving: z.array(z.string()).optional(),
});

const claimBegin = z.object({
	type: z.literal('claim.begin'),
	shard: z.string(),
	/** Hash of the service, the caller and the caller's Idempotency-Key. */
	key: z.string().min(1).max(512),
	/** SHA-256 of method, path and body. */
	bodyHash: z.string().max(64),
	/** Holder of the claim: the entry process's `boot` and the request id. */
	holder: z.string(),
});

const claimEnd = z.object({
	type: z.literal('claim.end'),
	shard: z.string(),
	key: z.string().min(1).max(512),
	holder: z.string(),
	outcome: z.enum(['done', 'not-run', 'may-have-run']),
	/** The answer, held in memory only, for a caller that repeats the request. */
	answer: z
		.object({
			status: z.number().int(),
			contentType: z.string(),
			body: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
		})
		.optional(),
});

/** The configuration record, as stored and as sent between processes. */
export const configRecord = z.object({
	version: z.number().int().min(0),
	values: z.record(z.string(), z.union([z.number(), z.string(), z.boolean()])),
	history: z.array(
		z.object({
			version: z.number().int(),
			at: z.number(),
			by: z.string(),
			key: z.string(),
			value: z.union([z.number(), z.string(), z.boolean()]),
			nonce: z.string(),
		}),
	),
});

/** Every request that a process may send to another. */
export const peerReq = z.discriminatedUnion('type', [
	gossip,
	z.object({ type: z.literal('config.push'), record: configRecord }),
	z.object({ type: z.literal('config.get') }),
	z.object({ type: z.literal('shard.submit'), shard: z.string(), job: taskSpec.jobPart }),
	z.object({ type: z.literal('shard.cancel'), shard: z.string(), job: z.string() }),
	z.object({ type: z.literal('shard.status'), shard: z.string(), team: z.string().optional() }),
	z.object({ type: z.literal('shard.explain'), shard: z.string(), task: z.string() }),
	claimBegin,
	claimEnd,
	z.object({
		type: z.literal('events'),
		/** Only events in which a field, or the process, matches this value; absent: all. */
		about: z.string().optional(),
		limit: z.number().int().min(1).max(20_000),
	}),
]);

/** A request to a peer. */
export type PeerReq = zod.infer<typeof peerReq>;

/** What the processes of a zone send each other. */
export type Gossip = zod.infer<typeof gossip>;

/** A request to claim an Idempotency-Key. */
export type ClaimBegin = zod.infer<typeof claimBegin>;

/** A report of the outcome of a claimed request. */
export type ClaimEnd = zod.infer<typeof claimEnd>;

export type ConfigRecord = zod.infer<typeof configRecord>;

/** Validates a peer's request; the failure names the field at fault. */
export function parsePeerReq(body: unknown): results.Result<PeerReq, string> {
	const req = peerReq.safeParse(body);
	if (req.success) return results.ok(req.data);
	const issue = req.error.issues[0];
	return results.fail(`request field ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
}
