/** Counters and latency histograms of a process, exposed as Prometheus text on `/metrics`. */
import * as hdr from 'hdr-histogram-js';

/** Quantiles exposed for each histogram, in per cent. */
const quantiles = [50, 90, 99, 99.9, 100];

/** Largest latency recorded, in microseconds; larger ones are recorded as this value. */
const maxLatencyUs = 600_000_000;

/** Ratios are recorded in thousandths, up to a thousand. */
const ratioParts = 1_000;
const maxRatioParts = 1_000_000;

/** Maximum number of series of ratios: each takes some kilobytes. Further ones are not recorded. */
const maxRatioSeries = 32;

/** A process's metrics. */
export class Metrics {
	private readonly counters = new Map<string, number>();
	private readonly histograms = new Map<string, hdr.Histogram>();
	private readonly ratios = new Map<string, hdr.Histogram>();

	private constructor() {
		// Instances are made by `create`.
	}

	static create(): Metrics {
		return new Metrics();
	}

	/** Adds to a counter. */
	count(name: string, by = 1): void {
		this.counters.set(name, (this.counters.get(name) ?? 0) + by);
	}

	/** Records a latency in milliseconds. */
	recordLatency(name: string, ms: number): void {
		let histogram = this.histograms.get(name);
		if (histogram === undefined) {
			histogram = hdr.build({ numberOfSignificantValueDigits: 3, highestTrackableValue: maxLatencyUs });
			this.histograms.set(name, histogram);
		}
		histogram.recordValue(Math.min(maxLatencyUs, Math.max(0, Math.round(ms * 1000))));
	}

	/** Records a ratio, by the value of a label, such as the name of a queue. */
	recordRatio(name: string, label: string, value: string, ratio: number): void {
		const series = `${name}{${label}=${JSON.stringify(value)}`;
		let histogram = this.ratios.get(series);
		if (histogram === undefined) {
			if (this.ratios.size >= maxRatioSeries) return;
			histogram = hdr.build({ numberOfSignificantValueDigits: 2, highestTrackableValue: maxRatioParts });
			this.ratios.set(series, histogram);
		}
		histogram.recordValue(Math.min(maxRatioParts, Math.max(0, Math.round(ratio * ratioParts))));
	}

	/** A counter's value. */
	get(name: string): number {
		return this.counters.get(name) ?? 0;
	}

	/** Formats the metrics in the Prometheus text exposition format. `gauges` holds current values by name. */
	text(gauges: Record<string, number> = {}): string {
		const lines: string[] = [];
		// Labels follow the suffix.
		for (const [name, value] of this.counters)
			lines.push(`woodcross_${name.replace(/\{|$/, '_total$&')} ${value}`);
		for (const [name, value] of Object.entries(gauges)) lines.push(`woodcross_${name} ${value}`);
		for (const [name, histogram] of this.histograms) {
			for (const quantile of quantiles) {
				const ms = histogram.getValueAtPercentile(quantile) / 1000;
				lines.push(`woodcross_${name}_ms{quantile="${quantile / 100}"} ${ms}`);
			}
			lines.push(`woodcross_${name}_ms_count ${histogram.totalCount}`);
		}
		for (const [series, histogram] of this.ratios) {
			for (const quantile of quantiles) {
				const ratio = histogram.getValueAtPercentile(quantile) / ratioParts;
				lines.push(`woodcross_${series},quantile="${quantile / 100}"} ${ratio}`);
			}
			lines.push(`woodcross_${series.replace('{', '_count{')}} ${histogram.totalCount}`);
		}
		return `${lines.join('\n')}\n`;
	}
}
