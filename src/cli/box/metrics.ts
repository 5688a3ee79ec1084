/**
 * Serves a box's counters, gauges and histograms on an address of their own: one counter for each event name, and the times
 * that events carry.
 */
import * as http from 'node:http';
import * as listening from './listening.js';
import type * as boxes from '../../core/box/box.js';
import type * as events from '../../core/events/index.js';
import type * as metrics from '../../core/metrics/index.js';

/** Metrics are served from this long after the start, in milliseconds. */
export const startDelayMs = 3_000;

/** Events that carry a time, and the histogram that records it. */
const histogramsByEvent: Record<string, string> = {
	'task.placed': 'task_wait',
	'job.taken': 'job_age_at_owner',
	'job.accepted': 'job_accept',
	'task.relieved': 'users_relieved',
	'handover.completed': 'handover_gap',
};

/** Maximum number of serving images whose cuts of the limit on preemptible work are counted apart. */
const maxCutImages = 16;

/** Serves the metrics at `address` (`host:port`) under every path. */
export async function serveMetrics(box: boxes.Box, log: events.EventLog, address: string): Promise<void> {
	const { Metrics } = await import('../../core/metrics/index.js');
	const registry = Metrics.create();
	collectMetrics(registry, box, log);
	const server = http.createServer((_req, res) => {
		res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(registry.text(boxGauges(box)));
	});
	server.on('error', (err) => {
		log.emit('figures.unserved', { reason: err.message });
	});
	server.listen(listening.toListenOptions(address));
}

/** Records what a box measures, and counts the events that it logs. */
export function collectMetrics(
	registry: metrics.Metrics,
	box: Pick<boxes.Box, 'recordTime' | 'recordForecastError'>,
	log: events.EventLog,
): void {
	box.recordTime = (name, ms) => {
		registry.recordLatency(name, ms);
	};
	const cutImages = new Set<string>();
	box.recordForecastError = (queue, ratio) => {
		registry.recordRatio('forecast_error_ratio', 'queue', queue, ratio);
	};
	log.observe((event) => {
		if (event.name === 'limit.changed')
			registry.count(`limit_cuts_${cutImageOf(String(event.fields.image), cutImages)}`);
		if (event.name === 'task.resumed' && event.fields.overMs !== undefined) registry.count('resumed_late');
		if (event.name === 'job.turned-away') registry.count(`refused_${metricPart(event.fields.cause)}`);
		countReturn(registry, event.name, event.fields);
		registry.count(`event_${event.name.replace(/[.-]/g, '_')}`);
		const name = histogramsByEvent[event.name];
		const ms = event.fields.gapMs ?? event.fields.waitedMs ?? event.fields.ageMs ?? event.fields.tookMs;
		if (name !== undefined && typeof ms === 'number') registry.recordLatency(name, ms);
	});
}

/** The image as part of a counter's name; `other` once `known` is full. */
function cutImageOf(image: string, known: Set<string>): string {
	const name = image.toLowerCase().replace(/[^a-z0-9]/g, '_');
	if (known.size < maxCutImages) known.add(name);
	return known.has(name) ? name : 'other';
}

/** Counts callers that were given a booked second, and those that returned in it, by queue. */
function countReturn(
	registry: { count: (name: string, by?: number) => void },
	name: string,
	{ queue, bookedS, bookedCoreMs, keptBooking }: events.EventFields,
): void {
	const label = `{queue=${JSON.stringify(queue)}}`;
	if (name === 'job.turned-away' && bookedS !== undefined) {
		registry.count(`retries_booked${label}`);
		registry.count(`retries_booked_core_ms${label}`, Number(bookedCoreMs));
	}
	if (name === 'job.accepted' && keptBooking !== undefined) registry.count(`retries_kept${label}`);
}

/** Gauges, read at the moment of a request. */
function boxGauges(box: boxes.Box): Record<string, number> {
	const { rss } = process.memoryUsage();
	const { user, system } = process.cpuUsage();
	return {
		ready: Number(box.ready),
		owner: Number(box.owning),
		config_version: box.queues?.configuration.version ?? 0,
		config_age_ms: box.configurationAgeMs,
		store_lost_ms: Math.round(box.storeUnresponsiveMs),
		memory_bytes: rss,
		cpu_us: user + system,
		...ownerGauges(box.ownerLoad),
	};
}

/** The owner's load in the last second, one gauge for each field. */
function ownerGauges(load: boxes.Box['ownerLoad']): Record<string, number> {
	const fields: [string, number][] = Object.entries({ ...load });
	return Object.fromEntries(fields.map(([field, value]) => [`owner_${toSnakeCase(field)}`, value]));
}

/** A value as part of a metric's name. */
function metricPart(value: string | number | undefined): string {
	return String(value ?? 'other').replace(/-/g, '_');
}

function toSnakeCase(name: string): string {
	return name.replace(/[A-Z]/g, (capital) => `_${capital.toLowerCase()}`);
}
