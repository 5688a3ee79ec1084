/** What operators declare: jobs, checked by zod whether they come from a file or over the wire. */
import * as zod from 'zod';

const z = zod.z;

/** Names of teams, jobs, zones and boxes: short, and safe in keys and paths. */
const name = z
	.string()
	.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and "-", at most 63');

/** What one task asks of its worker. */
export const needs = z.strictObject({
	/** Processor cores; fractions allowed. */
	cores: z.number().positive().max(1024),
	/** Memory in MiB. */
	memoryMb: z.number().int().positive().max(16_777_216),
	/** Whole accelerators. */
	accelerators: z.number().int().min(0).max(64).default(0),
});

/** What the worker is to run; opaque to the scheduler, handed on as it is. */
const run = z.record(z.string(), z.union([z.string(), z.number(), z.boolean()]));

/** One job as an operator declares it. */
export const jobSpec = z.strictObject({
	team: name,
	name,
	/** `service`: long-running replicas; `batch`: tasks that end. */
	kind: z.enum(['service', 'batch']),
	/** Replicas of a service, or tasks of a batch job. */
	tasks: z.number().int().min(1).max(3_000),
	needs,
	/** Availability zones allowed; a service gets a part in each, a batch job runs in one. Default: any. */
	zones: z.array(name).min(1).optional(),
	/** Urgent batch work goes first and may evict other batch work. */
	urgent: z.boolean().default(false),
	/** Largest part of one worker's cores and memory that the job's tasks may hold together. */
	maxShareOfBox: z.number().gt(0).max(1).default(1),
	/** Distinct workers a task may fail on before the job fails for good. */
	maxFailures: z.number().int().min(1).max(20).default(3),
	run: run.default({}),
});

/** A part of a job: what one shard takes care of. */
export const jobPart = z.object({
	/** `team/name` for a batch job, `team/name@zone` for a service's part in a zone. */
	id: z.string().max(200),
	spec: jobSpec,
	/** Tasks of this part; the whole job's `tasks` are split over the parts. */
	tasks: z.number().int().min(1),
});

/** One task's needs. */
export type Needs = zod.infer<typeof needs>;

/** A checked job declaration. */
export type JobSpec = zod.infer<typeof jobSpec>;

/** A part of a job. */
export type JobPart = zod.infer<typeof jobPart>;
