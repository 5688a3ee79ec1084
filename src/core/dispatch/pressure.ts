/**
 * Keeps tasks that serve users under their latency targets: slows what fills beside them, and lets it go on faster
 * once there is slack again. A reading is a rough figure of the last half second.
 */
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Part of the target from which what fills is slowed. */
const slowFrom = 0.85;

/** Part of the target under which what fills may go faster. */
const fasterBelow = 0.5;

/** Factor by which what fills is slowed at a time. */
const slowing = 0.5;

/** Steps in which it is let go faster, in per cent. */
const fasterStep = 25;

/** A pace under this is no pace: the task stands still, in per cent. */
const leastPace = 10;

/** Paces what fills, one worker at a time. */
export class PressureControl {
	private constructor(private readonly deps: types.DispatchDeps) {}

	static create(deps: types.DispatchDeps): PressureControl {
		return new PressureControl(deps);
	}

	/** Looks at a worker after its report. */
	look(session: sessions.WorkerSession): void {
		const fills = [...session.placements.values()].filter(
			(place) => place.task.step.spec.fills && place.phase === 'running',
		);
		if (fills.length === 0) return;
		const worst = worstReading(session);
		if (worst > slowFrom) this.slow(session, fills, worst);
		else if (worst < fasterBelow) this.faster(session, fills);
	}

	private slow(session: sessions.WorkerSession, fills: types.Placement[], worst: number): void {
		for (const place of fills) {
			const wanted = worst > 1 ? place.pace * slowing * slowing : place.pace * slowing;
			this.pace(session, place, wanted < leastPace ? 0 : Math.round(wanted));
		}
	}

	private faster(session: sessions.WorkerSession, fills: types.Placement[]): void {
		for (const place of fills) this.pace(session, place, Math.min(100, place.pace + fasterStep));
	}

	private pace(session: sessions.WorkerSession, place: types.Placement, percent: number): void {
		if (place.pace === percent) return;
		const before = place.pace;
		place.pace = percent;
		this.deps.events.emit('task.paced', { task: place.task.name, worker: session.id, percent });
		void this.send(session, place, percent, before);
	}

	private async send(
		session: sessions.WorkerSession,
		place: types.Placement,
		percent: number,
		before: number,
	): Promise<void> {
		const { epoch, calls } = this.deps;
		const res = await calls.pace(session.target, place.task.name, place.run, percent, epoch);
		if (res.ok) return;
		session.ended(res.err);
		// Unknown: the next report decides again from where it was.
		if (place.pace === percent) place.pace = before;
	}
}

/** Highest tail among the tasks that serve users there, in parts of its target. */
function worstReading(session: sessions.WorkerSession): number {
	let worst = 0;
	for (const { task, reading } of session.placements.values()) {
		const { targetMs } = task.step.spec;
		if (targetMs > 0) worst = Math.max(worst, reading / targetMs);
	}
	return worst;
}
