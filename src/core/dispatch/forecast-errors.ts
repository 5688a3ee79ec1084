/** Compares the wait that was forecast when a job was accepted with the real one. */
import type * as jobs from '../jobs/index.js';

/** Records the forecast wait over the real one, by queue. */
export type RecordForecastError = (queue: string, ratio: number) => void;

/** Waits below this count as equal, in milliseconds: they are within the age of a forecast. */
const negligibleMs = 500;

/** Maximum number of jobs that are followed at a time; beyond it some jobs are not compared. */
const maxFollowed = 4_096;

interface FollowedJob {
	job: jobs.ActiveJob;
	forecastMs: number;
}

/** The jobs of which a forecast is compared. */
export class ForecastErrors {
	private followed: FollowedJob[] = [];

	private constructor(private readonly record: RecordForecastError) {}

	static create(record: RecordForecastError): ForecastErrors {
		return new ForecastErrors(record);
	}

	/** Follows a job that was just accepted. */
	follow(job: jobs.ActiveJob, forecastMs: number): void {
		if (this.followed.length < maxFollowed) this.followed.push({ job, forecastMs });
	}

	/** Records the errors of the jobs whose first steps have been placed since the last call. */
	settle(): void {
		this.followed = this.followed.filter(({ job, forecastMs }) => {
			const waitedMs = firstStepsWaitMs(job);
			if (waitedMs !== undefined) this.record(job.record.queue.name, errorRatio(forecastMs, waitedMs));
			return waitedMs === undefined && !job.ended;
		});
	}
}

/** Forecast over real wait; 1 if both are too short to matter. */
export function errorRatio(forecastMs: number, waitedMs: number): number {
	return Math.max(negligibleMs, forecastMs) / Math.max(negligibleMs, waitedMs);
}

/** How long a job's first steps waited until their last task was placed; undefined: some task is not placed yet. */
function firstStepsWaitMs(job: jobs.ActiveJob): number | undefined {
	const first = job.steps.filter((step) => step.spec.after.length === 0 && !step.spec.lasting);
	const tasks = first.flatMap((step) => step.tasks);
	if (tasks.length === 0 || tasks.some((task) => task.state === 'ready')) return undefined;
	return tasks.reduce((longest, task) => Math.max(longest, task.waitedMs), 0);
}
