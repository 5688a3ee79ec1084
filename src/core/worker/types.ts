/**
 * Messages between the scheduler and the platform's workers. A request carries the fencing token, the lease renewals and the
 * commands. Its answer is the heartbeat and carries everything that the worker reports. The checks that a worker must make
 * are listed in docs/PROOFS.md.
 */
import * as zod from 'zod';
import * as taskSpec from '../task/spec.js';

const z = zod.z;

const taskRef = { task: z.string(), attempt: z.number().int().min(1) };

const command = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('start'),
		...taskRef,
		kind: z.enum(['service', 'batch']),
		needs: taskSpec.needs,
		run: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
		/** Checkpoint of an earlier attempt, from which this one resumes. */
		checkpoint: z.string().optional(),
		/** Time on the worker's own monotonic clock, in milliseconds, after which the worker refuses the start. */
		notAfter: z.number(),
	}),
	/** Take a checkpoint and stop; safe to send at any time. */
	z.object({ type: z.literal('stop'), ...taskRef }),
	/** Limit the task to a fraction of its declared cores. */
	z.object({ type: z.literal('throttle'), ...taskRef, share: z.number().gt(0).max(1) }),
	/** The exit of the attempt is committed, so the worker may drop its record. */
	z.object({ type: z.literal('forget'), ...taskRef }),
]);

/** A message to a worker. */
export const exchangeReq = z.object({
	shard: z.string(),
	/** Fencing token: a worker refuses an (epoch, seq) that is not above the highest it has seen. */
	epoch: z.number().int(),
	seq: z.number().int(),
	/** Incarnation of the worker that this message is meant for; absent on the first contact, which carries nothing else. */
	incarnation: z.string().optional(),
	/** Batch attempts whose lease is renewed up to `until`, on the worker's clock. */
	renew: z.object({ until: z.number(), tasks: z.array(z.object(taskRef)) }).optional(),
	commands: z.array(command),
});

const taskReport = z.object({
	...taskRef,
	state: z.enum(['running', 'stopped', 'finished', 'failed']),
	/** Newest checkpoint, from which a later attempt may resume. */
	checkpoint: z.string().optional(),
	reason: z.string().optional(),
	/** Measured usage, delayed by the worker's reporting lag. */
	usage: z.object({ cores: z.number(), memoryMb: z.number() }).optional(),
	/** Latency that a service measures of itself, delayed: 99th percentile in milliseconds. */
	latencyMs: z.number().optional(),
});

/** A worker's answer. */
export const exchangeRes = z.object({
	/** False: the fencing token or the incarnation did not match, and nothing of the message was carried out. */
	accepted: z.boolean(),
	incarnation: z.string(),
	/** The worker's monotonic clock, in milliseconds. */
	now: z.number(),
	/** Highest epoch seen. */
	epoch: z.number().int(),
	tasks: z.array(taskReport),
});

/** A command to a worker. */
export type Command = zod.infer<typeof command>;

/** A message to a worker. */
export type ExchangeReq = zod.infer<typeof exchangeReq>;

/** A worker's answer. */
export type ExchangeRes = zod.infer<typeof exchangeRes>;

/** What a worker reports of one attempt. */
export type TaskReport = zod.infer<typeof taskReport>;
