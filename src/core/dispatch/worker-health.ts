/** The health of a worker: repeated failures put it in quarantine for a while. */
import * as settings from './settings.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';

export interface WorkerHealthOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	worker: string;
}

/** The health of one incarnation of a worker. */
export class WorkerHealth {
	/** Runs that failed here since one last finished. */
	consecutiveFailures = 0;
	/** Ids of the jobs that these runs belong to. */
	private readonly failedJobs = new Set<string>();
	/** Clock time until which it gets no new work; `-Infinity`: it never had to wait. */
	private backoffUntil = -Infinity;

	private constructor(private readonly opts: WorkerHealthOptions) {}

	static create(opts: WorkerHealthOptions): WorkerHealth {
		return new WorkerHealth(opts);
	}

	/** Whether it gets no new work for the moment. */
	get isBackingOff(): boolean {
		return this.opts.clock.now() < this.backoffUntil;
	}

	/** Notes that a run failed here. Several consecutive failures, of several jobs, put the worker in quarantine. */
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

	/** Notes that a run finished here, which ends the sequence of failures. */
	noteSuccess(): void {
		this.consecutiveFailures = 0;
		this.failedJobs.clear();
	}

	/** Gives the worker no new work for `ms` milliseconds. */
	backOff(ms: number): void {
		this.backoffUntil = this.opts.clock.now() + ms;
	}
}
