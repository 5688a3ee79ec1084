/** Schemas of the jobs that operators declare, used for files and for messages alike. */
import * as zod from 'zod';

const z = zod.z;

/** Names of teams, jobs, zones and boxes: short, and safe in keys and paths. */
const name = z
	.string()
	.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and "-", at most 63');

/** Resources that one task needs on its worker. */
export const needs = z.strictObject({
	/** Processor cores; fractions allowed. */
	cores: z.number().positive().max(1024),
	/** Memory in MiB. */
	memoryMb: z.number().int().positive().max(16_777_216),
	/** Whole accelerators. */
	accelerators: z.number().int().min(0).max(64).default(0),
});

/** What the worker is to run; the scheduler passes it on without interpreting it. */
const run = z.record(z.string(), z.union([z.string(), z.number(), z.boolean()]));

/** A job as an operator declares it. */
export const jobSpec = z.strictObject({
	team: name,
	name,
	/** `service`: long-running replicas; `batch`: tasks that finish. */
	kind: z.enum(['service', 'batch']),
	/** Replicas of a service, or tasks of a batch job. */
	tasks: z.number().int().min(1).max(3_000),
	needs,
	/** Availability zones allowed: a service gets a part in each, a batch job runs in one. Default: any zone. */
	zones: z.array(name).min(1).optional(),
	/** Urgent batch tasks are placed first and may evict other batch tasks. */
	urgent: z.boolean().default(false),
	/** Largest part of one worker's cores and memory that the job's tasks may use together. */
	maxShareOfBox: z.number().gt(0).max(1).default(1),
	/** Number of distinct workers on which a task may fail before it fails permanently. */
	maxFailures: z.number().int().min(1).max(20).default(3),
	run: run.default({}),
});

/** The part of a job that one shard is responsible for. */
export const jobPart = z.object({
	/** `team/name` for a batch job, `team/name@zone` for a service's part in a zone. */
	id: z.string().max(200),
	spec: jobSpec,
	/** Number of tasks in this part; the job's `tasks` are split over its parts. */
	tasks: z.number().int().min(1),
});

export type Needs = zod.infer<typeof needs>;

/** A validated job declaration. */
export type JobSpec = zod.infer<typeof jobSpec>;

export type JobPart = zod.infer<typeof jobPart>;
