/**
 * Optional features of scheduling. Each is a setting of its own; `auto` decides by what the deployment's bounds say of its
 * work.
 */
import * as zod from 'zod/mini';
import * as results from '../result.js';
import type * as settings from '../box/settings.js';

const z = zod;

/** The optional features, with the default behaviour as the first value of each. */
export interface Features {
	/** What admission is decided by: all outstanding work, or a forecast of the job's own finish. */
	admission: 'backlog' | 'forecast';
	/** Order of waiting steps while more work waits than can be placed. */
	waitingOrder: 'due-time' | 'overload';
	/** Limit of preemptible work beside serving tasks; `due-time`: adaptive for jobs that can wait and be on time. */
	preemptibleLimit: 'fixed' | 'adaptive' | 'due-time';
	/** How an owner that stops by plan gives up ownership. */
	handover: 'release' | 'confirmed';
	/** In which order a new owner asks the workers for their first reports, and which of them it places on. */
	takeover: 'roster-order' | 'prioritized';
}

/** No optional feature is in force. */
export const defaultFeatures: Features = {
	admission: 'backlog',
	waitingOrder: 'due-time',
	preemptibleLimit: 'fixed',
	handover: 'release',
	takeover: 'roster-order',
};

/** What the choice of `auto` depends on. */
export type FeatureBounds = Pick<
	settings.BoxBounds,
	'maxLeaseMs' | 'graceMs' | 'stopMs' | 'restoreMs' | 'farFactor'
>;

/** Up to this time to stop and resume a run, in milliseconds, a placement that proves wrong is cheap to undo. */
const maxRelocationMs = 700;

/** A forecast can't be closer than the factor by which the choice of a worker may lengthen a run. */
const maxFarFactor = 1.5;

const environmentSchema = z.object({
	WOODCROSS_ADMISSION: z._default(z.enum(['auto', 'backlog', 'forecast']), 'auto'),
	WOODCROSS_WAITING_ORDER: z._default(z.enum(['auto', 'due-time', 'overload']), 'auto'),
	WOODCROSS_PREEMPTIBLE_LIMIT: z._default(z.enum(['auto', 'fixed', 'adaptive', 'due-time']), 'auto'),
	WOODCROSS_HANDOVER: z._default(z.enum(['auto', 'release', 'confirmed']), 'auto'),
	WOODCROSS_TAKEOVER: z._default(z.enum(['auto', 'roster-order', 'prioritized']), 'auto'),
});

/** Reads the features from environment variables; the error names the variable and the values that it may have. */
export function readFeatures(
	environment: Record<string, string | undefined>,
	bounds: FeatureBounds,
): results.Result<Features, string> {
	const parsed = environmentSchema.safeParse(environment);
	if (!parsed.success) {
		const issue = parsed.error.issues[0];
		return results.fail(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
	}
	const given = parsed.data;
	const automatic = automaticFeatures(bounds);
	return results.ok({
		admission: choose(given.WOODCROSS_ADMISSION, automatic.admission),
		waitingOrder: choose(given.WOODCROSS_WAITING_ORDER, automatic.waitingOrder),
		preemptibleLimit: choose(given.WOODCROSS_PREEMPTIBLE_LIMIT, automatic.preemptibleLimit),
		handover: choose(given.WOODCROSS_HANDOVER, automatic.handover),
		takeover: choose(given.WOODCROSS_TAKEOVER, automatic.takeover),
	});
}

function choose<T extends string>(given: T | 'auto', automatic: T): T {
	return given === 'auto' ? automatic : given;
}

/**
 * The features that a deployment's bounds call for. No bound tells how near to its capacity a fleet is run, on which it
 * depends whether preemptible work that is held back is caught up later, so the limit on it is fixed unless asked for.
 */
function automaticFeatures(bounds: FeatureBounds): Features {
	return {
		...defaultFeatures,
		...(isWorkMobile(bounds) && {
			admission: 'forecast',
			waitingOrder: 'overload',
		}),
		...(areLeasesShort(bounds) && { handover: 'confirmed', takeover: 'prioritized' }),
	};
}

/** Whether a run can be moved at little cost, and takes about as long wherever it is placed. */
function isWorkMobile({ stopMs, restoreMs, farFactor }: FeatureBounds): boolean {
	if (stopMs === undefined || restoreMs === undefined || farFactor === undefined) return false;
	return stopMs + restoreMs <= maxRelocationMs && farFactor <= maxFarFactor;
}

/** Whether running tasks lose their leases if nobody owns for the time that a planned stop may take. */
function areLeasesShort({ maxLeaseMs, graceMs }: FeatureBounds): boolean {
	return maxLeaseMs <= graceMs;
}
