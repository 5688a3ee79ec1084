/** The forecast that the owner last reported, as a box uses it. */
import * as admission from '../admission/index.js';
import * as forecasts from '../forecast/index.js';
import type * as events from '../events/index.js';

/** The newest valid forecast of the owner. */
export class ReceivedForecast {
	private received: { forecast: forecasts.Forecast; at: number } | undefined;

	private constructor(
		private readonly now: () => number,
		private readonly log: events.EventLog,
	) {}

	static create(now: () => number, log: events.EventLog): ReceivedForecast {
		return new ReceivedForecast(now, log);
	}

	/** The forecast and its age; undefined: there is none, or it is too old. */
	get current(): forecasts.AgedForecast | undefined {
		if (this.received === undefined) return undefined;
		const ageMs = this.now() - this.received.at;
		return ageMs < admission.maxForecastAgeMs ? { forecast: this.received.forecast, ageMs } : undefined;
	}

	/** Takes in the field `forecast` of an answer; absent: the owner runs an older release or has none yet. */
	note(value: unknown): void {
		if (value === undefined) return;
		const parsed = forecasts.parseForecast(value);
		if (!parsed.ok) {
			this.log.emit('forecast.rejected', { ...parsed.err });
			return;
		}
		// A late answer of a replaced owner says nothing about the work of the next one. A forecast that is too old does not
		// count: one with a wrong generation would keep out all later ones.
		const heldGeneration = this.current === undefined ? 0 : (this.received?.forecast.generation ?? 0);
		if (parsed.value.generation < heldGeneration) return;
		this.received = { forecast: parsed.value, at: this.now() };
	}
}
