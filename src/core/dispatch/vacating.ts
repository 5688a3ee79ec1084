/** Empties a worker whose machine is about to go down, without stopping too many tasks of one step at a time. */
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/**
 * How far a worker is emptied. `moving`: runs there are being stopped, or left to finish. `protected`: something
 * there may not be stopped yet.
 */
export type VacateState = 'empty' | 'moving' | 'protected';

export interface VacateContext {
	sessionOf: (task: jobs.Task) => sessions.WorkerSession | undefined;
	stop: (session: sessions.WorkerSession, placement: types.Placement) => void;
}

/** Stops what may be stopped on the incarnations of a worker, and returns what is left there. */
export function vacateAll(known: readonly sessions.WorkerSession[], ctx: VacateContext): VacateState {
	const states = known.map((one) => vacate(one, ctx));
	return states.find((one) => one === 'protected') ?? states.find((one) => one === 'moving') ?? 'empty';
}

function vacate(session: sessions.WorkerSession, ctx: VacateContext): VacateState {
	// What an earlier owner started there is not known yet, and would be lost with the machine.
	if (!session.isReconciled) return 'protected';
	let state: VacateState = 'empty';
	for (const placement of session.placements.values()) {
		if (placement.phase === 'running' && !mayStop(placement.task, ctx)) {
			state = 'protected';
			continue;
		}
		if (state === 'empty') state = 'moving';
		const { spec } = placement.task.step;
		if (placement.phase === 'running' && (spec.lasting || spec.checkpoints)) ctx.stop(session, placement);
	}
	return state;
}

/** Whether a task may be stopped: fewer than `mayMiss` other tasks of its step are not fully working. */
function mayStop(task: jobs.Task, ctx: VacateContext): boolean {
	const { mayMiss } = task.step.spec;
	if (mayMiss === undefined) return true;
	const others = task.step.tasks.filter((one) => one !== task && !isFullyWorking(one, ctx));
	return others.length < mayMiss;
}

function isFullyWorking(task: jobs.Task, ctx: VacateContext): boolean {
	const session = ctx.sessionOf(task);
	const placement = session?.placements.get(task.name);
	// What an unresponsive worker runs may have ended already. Its users notice that long before the lease expires.
	return session?.answering === true && placement?.phase === 'running' && placement.percent === 100;
}
