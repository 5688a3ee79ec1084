/**
 * Keeps tasks that serve users under their latency targets: what fills beside them may raise their busy part only as
 * far as their load leaves room. The most disturbing are slowed first, the least disturbing let go first.
 */
import * as interference from './interference.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Part of what a serving task may be busy that is aimed at. */
const aim = 0.98;

/**
 * A task over its target for so long is relieved of half of everything that fills beside it, whatever is expected of
 * it; for twice as long, of all. In parts of the time after which it counts as harmed.
 */
const certainPart = 0.35;

/** Paces are told in steps of so many per cent: small changes are not worth a call. */
const paceStep = 10;

/** A pace is raised by at least so much: what was slowed waits for clear room. */
const leastRaise = 30;

/** Paces what fills, one worker at a time. */
export class PressureControl {
	private constructor(
		private readonly deps: types.DispatchDeps,
		private readonly estimates: interference.Interference,
		private readonly harmMs: number,
	) {}

	/** `harmMs`: so long over its target, a task counts as harmed. */
	static create(
		deps: types.DispatchDeps,
		estimates: interference.Interference,
		harmMs: number,
	): PressureControl {
		return new PressureControl(deps, estimates, harmMs);
	}

	/** Looks at a worker after its report. */
	look(session: sessions.WorkerSession): void {
		this.estimates.observe(session);
		const serving = interference.servingOf(session);
		const fills = [...session.placements.values()].filter(
			(place) => place.task.step.spec.fills && place.phase === 'running',
		);
		if (fills.length === 0) return;
		const paces = this.allowedPaces(session, serving, fills);
		const cap = this.certainCap(serving);
		for (const place of fills) this.pace(session, place, Math.min(cap, paces.get(place) ?? 100));
	}

	/** The most that anything may work while a task beside it stays over its target. */
	private certainCap(serving: types.Placement[]): number {
		const now = this.deps.clock.now();
		const longest = Math.max(0, ...serving.map((place) => now - (place.overSince ?? now)));
		const certainMs = this.harmMs * certainPart;
		if (longest < certainMs) return 100;
		return longest < 2 * certainMs ? 50 : 0;
	}

	/** The paces at which every serving task stays at the aim. */
	private allowedPaces(
		session: sessions.WorkerSession,
		serving: types.Placement[],
		fills: types.Placement[],
	): Map<types.Placement, number> {
		const paces = new Map(fills.map((place) => [place, 100]));
		const capacity = session.entry?.capacity.milliCores ?? 1;
		for (const served of serving) {
			const { image } = served.task.step.spec;
			const load = Math.max(0.01, this.estimates.loadAhead(served));
			let room = (aim * this.estimates.mostBusy(served)) / load - 1 - this.ordinaryRise(session, served, fills);
			const rises = fills.map((place) => {
				const { spec } = place.task.step;
				return { place, rise: (this.estimates.slope(image, spec.image) * spec.milliCores) / capacity };
			});
			rises.sort((a, b) => a.rise - b.rise);
			for (const { place, rise } of rises) {
				const share = rise <= 0 ? 1 : Math.min(1, Math.max(0, room / rise));
				const pace = Math.min(paces.get(place) ?? 100, 100 * share);
				paces.set(place, pace);
				room -= (rise * pace) / 100;
			}
		}
		return paces;
	}

	/** What the neighbours that are not paced raise. */
	private ordinaryRise(
		session: sessions.WorkerSession,
		served: types.Placement,
		fills: types.Placement[],
	): number {
		const { image } = served.task.step.spec;
		let rise = this.estimates.disturbanceOf(session, served);
		for (const place of fills)
			rise -=
				this.estimates.slope(image, place.task.step.spec.image) * interference.shareOf(session, place);
		return Math.max(0, rise);
	}

	private pace(session: sessions.WorkerSession, place: types.Placement, wanted: number): void {
		const percent = Math.min(100, Math.floor(wanted / paceStep) * paceStep);
		if (place.pace === percent) return;
		if (percent > place.pace && percent < 100 && percent < place.pace + leastRaise) return;
		const before = place.pace;
		place.pace = percent;
		place.pacedAt = this.deps.clock.now();
		if (percent < before) session.relievedAt = place.pacedAt;
		this.deps.events.emit('task.paced', { task: place.task.name, worker: session.id, percent, before });
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
