/** The owner's forecast: keeps the corrected run times, computes the forecast, and measures how good it was. */
import * as admission from '../admission/index.js';
import * as errors from './forecast-errors.js';
import * as forecasts from '../forecast/index.js';
import * as recentUse from './recent-use.js';
import * as placements from './placements.js';
import * as summaries from './work-summary.js';
import type * as clocks from '../clock.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** What the forecaster reads of the dispatcher. */
export interface ForecasterOptions extends Pick<
	summaries.SummaryContext,
	'policyOf' | 'estimates' | 'maxPreemptibleUse'
> {
	/** The waiting tasks. */
	waiting: () => Pick<summaries.SummaryContext, 'waitingOf' | 'lacksOnlyCapacity'>;
	clock: clocks.Clock;
	epoch: number;
	jobs: () => Iterable<jobs.ActiveJob>;
	workers: () => readonly sessions.WorkerSession[];
	/** Whether queues of one priority take turns. */
	hasShares: boolean;
	recordForecastError?: errors.RecordForecastError;
}

/** The forecaster of one owner. */
export class Forecaster {
	readonly runTimes = forecasts.RunTimes.create();
	/** The newest forecast; undefined: none has been computed. */
	latest: forecasts.OwnerForecast | undefined;
	private readonly errors: errors.ForecastErrors;
	private readonly startedAt: number;
	private readonly preemptibleUse = recentUse.RecentUse.create();

	private constructor(private readonly opts: ForecasterOptions) {
		this.startedAt = opts.clock.now();
		this.errors = errors.ForecastErrors.create(opts.recordForecastError ?? (() => undefined));
	}

	static create(opts: ForecasterOptions): Forecaster {
		return new Forecaster(opts);
	}

	/** Computes the forecast anew; called twice a second where it is used. */
	update(): forecasts.OwnerForecast {
		const now = this.opts.clock.now();
		this.errors.settle();
		const waiting = this.opts.waiting();
		const { snapshot, preemptibleUse } = summaries.summarise({
			...this.opts,
			now,
			waitingOf: (step) => waiting.waitingOf(step),
			lacksOnlyCapacity: (task) => waiting.lacksOnlyCapacity(task),
			recentPreemptibleCores: (pool) => this.preemptibleUse.highest(pool, now),
			ownerAgeMs: now - this.startedAt,
			jobs: this.opts.jobs(),
			workers: this.opts.workers(),
			runTimes: this.runTimes,
		});
		this.preemptibleUse.note(preemptibleUse, now);
		this.latest = forecasts.forecastWaits(snapshot, now, this.opts.hasShares);
		return this.latest;
	}

	/** What the boxes are told of the newest forecast; undefined: there is none. */
	message(): forecasts.Forecast | undefined {
		return this.reducedMessage()?.message;
	}

	/** Same as `message`, with what had to be left out. */
	reducedMessage(): forecasts.ReducedMessage | undefined {
		if (this.latest === undefined) return undefined;
		return forecasts.toMessage(this.latest, this.opts.epoch, this.runTimes.exportFactors());
	}

	/** Follows a job that was just accepted, to compare the forecast with its real wait. */
	noteAccepted(job: jobs.ActiveJob): void {
		if (this.latest === undefined || job.record.schedule !== undefined) return;
		const { known, classes, at } = this.latest;
		const aged = { forecast: { known, classes, factors: [] }, ageMs: this.opts.clock.now() - at };
		if (known) this.errors.follow(job, admission.forecastJob(job.record, aged).waitMs);
	}

	/** Learns from a run that finished, unless it was slowed, resumed or out of sight. */
	noteFinished(session: sessions.WorkerSession, placement: types.Placement): void {
		const { task, isWhole, confirmedAt, startSentAt, paceChangedAt } = placement;
		const isSeen = startSentAt !== undefined && !placements.isAdopted(placement);
		const isUndisturbed = isWhole && paceChangedAt === 0 && session.unansweredBeforeReportMs === 0;
		if (!isSeen || !isUndisturbed || task.step.spec.lasting) return;
		const startedAt = confirmedAt > 0 ? confirmedAt : startSentAt;
		const { name } = this.opts.policyOf(task.step.job);
		this.runTimes.noteFinished(name, task.step.spec, this.opts.clock.now() - startedAt);
	}
}
