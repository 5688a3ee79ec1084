/**
 * Detects overload, by priority: more preemptible tasks wait than are placed within a second.
 *
 * Load pattern: a burst of batch work, several seconds long. Arrivals wait for more than a second on average then, so the
 * order in which they are placed decides which of them are on time. While fewer wait, all are placed before it matters.
 */
import type * as jobs from '../jobs/index.js';

/** Placements count for a second, in steps of this length in milliseconds. The result is computed again as often. */
const slotMs = 100;
const slotsPerSecond = 10;

/** How long more tasks have to wait than are placed, in milliseconds: a wide step that is just being placed is no overload. */
const sustainedMs = 500;

export interface OverloadDetectionOptions {
	priorityOf: (job: jobs.ActiveJob) => number;
	/** The steps with waiting tasks, and how many wait. */
	waiting: () => Iterable<readonly [jobs.StepInstance, number]>;
}

/** Overload by priority. */
export class OverloadDetection {
	/** Placements of preemptible tasks by priority, in each of the newest slots. */
	private readonly placed = new Map<number, number[]>();
	/** Clock time since which more tasks wait than are placed, by priority. */
	private readonly exceededSince = new Map<number, number>();
	/** Number of the current slot. */
	private slot = -Infinity;

	private constructor(private readonly opts: OverloadDetectionOptions) {}

	static create(opts: OverloadDetectionOptions): OverloadDetection {
		return new OverloadDetection(opts);
	}

	/** Whether the preemptible tasks of a priority are in overload. */
	isOverloaded(priority: number, now: number): boolean {
		this.advance(now);
		const since = this.exceededSince.get(priority);
		return since !== undefined && now - since >= sustainedMs;
	}

	/** Counts a placement. */
	notePlaced(task: jobs.Task, now: number): void {
		if (!task.step.spec.fills) return;
		this.advance(now);
		const priority = this.opts.priorityOf(task.step.job);
		const slots = this.placed.get(priority) ?? [];
		const index = this.slot % slotsPerSecond;
		slots[index] = (slots[index] ?? 0) + 1;
		this.placed.set(priority, slots);
	}

	/** Begins the slot of this time, unless it has begun. */
	private advance(now: number): void {
		const slot = Math.floor(now / slotMs);
		if (slot === this.slot) return;
		const skipped = Math.min(slotsPerSecond, slot - this.slot);
		// Nobody asked for longer than overload has to last: what was known then is too old.
		if (skipped * slotMs >= sustainedMs) this.exceededSince.clear();
		for (const slots of this.placed.values())
			for (let passed = 0; passed < skipped; passed += 1) slots[(slot - passed) % slotsPerSecond] = 0;
		this.slot = slot;
		this.compare(now);
	}

	private compare(now: number): void {
		const waiting = this.countWaiting();
		for (const priority of this.exceededSince.keys())
			if (!this.isExceeded(priority, waiting)) this.exceededSince.delete(priority);
		for (const priority of waiting.keys())
			if (this.isExceeded(priority, waiting) && !this.exceededSince.has(priority))
				this.exceededSince.set(priority, now);
	}

	private isExceeded(priority: number, waiting: ReadonlyMap<number, number>): boolean {
		const placed = this.placed.get(priority) ?? [];
		return (waiting.get(priority) ?? 0) > placed.reduce((sum, one) => sum + one, 0);
	}

	/** Waiting preemptible tasks by priority. One that needs a label waits for few workers, whatever the load. */
	private countWaiting(): Map<number, number> {
		const counts = new Map<number, number>();
		for (const [step, count] of this.opts.waiting()) {
			if (!step.spec.fills || step.spec.requiredLabel !== '') continue;
			const priority = this.opts.priorityOf(step.job);
			counts.set(priority, (counts.get(priority) ?? 0) + count);
		}
		return counts;
	}
}
