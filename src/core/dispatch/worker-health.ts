/** How sound a worker seems: failures in a row mark it as broken for a while. */
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';

/** What a health is kept with. */
export interface WorkerHealthOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	worker: string;
}

/** The health of one life of a worker. */
export class WorkerHealth {
	/** Runs that failed here since one last finished. */
	consecutiveFailures = 0;
	/** The jobs of these runs. */
	private readonly failedJobs = new Set<string>();
	/** No new work until then. */
	private backoffUntil = -Infinity;

	private constructor(private readonly opts: WorkerHealthOptions) {}

	static create(opts: WorkerHealthOptions): WorkerHealth {
		return new WorkerHealth(opts);
	}

	/** Whether it takes no new work for now. */
	get isBackingOff(): boolean {
		return this.opts.clock.now() < this.backoffUntil;
	}

	/** A run failed here; several in a row, of several jobs, mark the worker as broken for a while. */
	noteFailure(job: string): void {
		this.consecutiveFailures += 1;
		this.failedJobs.add(job);
		if (this.consecutiveFailures < settings.quarantineFailures || this.failedJobs.size < 2) return;
		this.backOff(settings.quarantineMs);
		this.opts.events.emit('worker.quarantined', {
			worker: this.opts.worker,
			reason: `${this.consecutiveFailures} failures in a row of ${this.failedJobs.size} jobs`,
		});
	}

	/** A run finished here: the worker is sound. */
	noteSuccess(): void {
		this.consecutiveFailures = 0;
		this.failedJobs.clear();
	}

	/** Takes no new work for so many milliseconds. */
	backOff(ms: number): void {
		this.backoffUntil = this.opts.clock.now() + ms;
	}
}
