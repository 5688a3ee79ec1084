/** Computes the owner's forecast twice a second, and keeps what is reported of it to the boxes. */
import * as clocks from '../clock.js';
import * as wire from '../wire/frame.js';
import type * as dispatch from '../dispatch/index.js';
import type * as events from '../events/index.js';
import type * as forecasts from '../forecast/index.js';

/** Interval of the forecast, in milliseconds: that of the owner's answers to pings. */
const intervalMs = 500;

/** Minimum interval between log lines, in milliseconds. */
const logIntervalMs = 1_000;

/** Minimum interval between log lines on what does not fit into the message, in milliseconds: it may be so for long. */
const reductionIntervalMs = 10_000;

/** What the publisher uses. */
export interface ForecastPublisherOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	epoch: number;
	forecaster: Pick<dispatch.Forecaster, 'update' | 'reducedMessage'>;
}

/** The published forecast of one owner. */
export class ForecastPublisher {
	/** What the boxes are told; undefined: nothing is known yet. */
	message: forecasts.Forecast | undefined;
	private publishedAt = -Infinity;
	private loggedAt = -Infinity;
	private reductionLoggedAt = -Infinity;
	private readonly timer: clocks.Timer;

	private constructor(private readonly opts: ForecastPublisherOptions) {
		this.timer = clocks.every(opts.clock, intervalMs, () => {
			this.publish();
		});
	}

	static create(opts: ForecastPublisherOptions): ForecastPublisher {
		return new ForecastPublisher(opts);
	}

	/** The forecast for this box's own decisions. */
	get current(): forecasts.AgedForecast | undefined {
		if (this.message === undefined) return undefined;
		return { forecast: this.message, ageMs: this.opts.clock.now() - this.publishedAt };
	}

	close(): void {
		this.timer.cancel();
	}

	private publish(): void {
		const { clock, forecaster } = this.opts;
		const startedAt = clock.now();
		forecaster.update();
		const reduced = forecaster.reducedMessage();
		this.message = reduced?.message;
		this.publishedAt = clock.now();
		if (reduced !== undefined) this.logReduction(reduced.reduction);
		if (this.message !== undefined) this.logIfDue(this.message, this.publishedAt - startedAt);
	}

	/** Logs what was left out of the message, every 10 s at most. */
	private logReduction(reduction: forecasts.Reduction): void {
		const { clock, events: log, epoch } = this.opts;
		const { withoutQueues, droppedClasses, invalidClasses } = reduction;
		const now = clock.now();
		if (withoutQueues + droppedClasses + invalidClasses === 0) return;
		if (now - this.reductionLoggedAt < reductionIntervalMs) return;
		this.reductionLoggedAt = now;
		log.emit('forecast.reduced', { epoch, withoutQueues, droppedClasses, invalidClasses });
	}

	/** Logs the forecast once a second while work waits. */
	private logIfDue(message: forecasts.Forecast, tookMs: number): void {
		const { clock, events: log, epoch } = this.opts;
		const now = clock.now();
		if (message.classes.length === 0 || now - this.loggedAt < logIntervalMs) return;
		this.loggedAt = now;
		log.emit('forecast.published', {
			epoch,
			known: Number(message.known),
			waits: message.classes.map(describe).join('; '),
			factors: message.factors.length,
			bytes: wire.encodeValue(message).length,
			tookMs: Math.round(tookMs * 100) / 100,
		});
	}
}

/** A class in short, such as `preemptible/2 9800 ms on 5600 cores`. */
function describe({ kind, pool, priority, points, lateWaitMs, cores }: forecasts.ClassForecast): string {
	const longestMs = points.at(-1)?.[1] ?? 0;
	const where = pool === undefined ? '' : ` in ${pool}`;
	const waits = `${String(longestMs)} ms, late ${String(lateWaitMs)} ms`;
	return `${kind}/${String(priority)}${where} ${waits} on ${String(cores)} cores`;
}
