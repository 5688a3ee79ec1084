/**
 * Numbered events, stamped by a hybrid logical clock: kept in a bounded ring in memory, printed as JSON lines or by consola.
 */
import * as catalogue from './catalogue.js';
import * as hlc from './hlc.js';
import * as lines from './json-lines.js';
import type * as clocks from '../clock.js';

export { eventCatalogue } from './catalogue.js';
export type { EventLevel, EventName, EventRow } from './catalogue.js';
export * as hlc from './hlc.js';

/** What an event is about; every field is optional and searchable in the timeline. */
export interface EventFields {
	task?: string;
	job?: string;
	shard?: string;
	request?: string;
	worker?: string;
	backend?: string;
	epoch?: number;
	attempt?: number;
	version?: number;
	reason?: string;
	[key: string]: string | number | undefined;
}

/** One recorded event. */
export interface LoggedEvent {
	id: number;
	name: catalogue.EventName;
	stamp: hlc.Stamp;
	/** Name of the process that recorded it. */
	process: string;
	fields: EventFields;
	level: catalogue.EventLevel;
}

/** How events are printed. */
export type LogFormat = 'pretty' | 'json' | 'silent';

/** Maximum number of events in the ring; the oldest are dropped first. */
export const ringSize = 20_000;

const levels: readonly catalogue.EventLevel[] = ['debug', 'info', 'warn', 'error'];

/** The process's event log. */
export class EventLog {
	private readonly ring: LoggedEvent[] = [];
	private start = 0;
	private readonly observers: ((event: LoggedEvent) => void)[] = [];
	readonly clock: hlc.HybridClock;

	private constructor(
		private readonly process: string,
		clock: clocks.Clock,
		private readonly format: LogFormat,
		private readonly minLevel: catalogue.EventLevel,
	) {
		this.clock = hlc.HybridClock.create(() => clock.wall());
	}

	static create(
		process: string,
		clock: clocks.Clock,
		format: LogFormat = 'silent',
		minLevel: catalogue.EventLevel = 'info',
	): EventLog {
		return new EventLog(process, clock, format, minLevel);
	}

	/**
	 * Records an event, and prints it if its level is at least the minimum. `level`: that of this event, if it differs from
	 * the usual one.
	 */
	emit(name: catalogue.EventName, fields: EventFields = {}, level?: catalogue.EventLevel): void {
		const row = catalogue.eventCatalogue[name];
		const event: LoggedEvent = {
			id: row.id,
			name,
			stamp: this.clock.tick(),
			process: this.process,
			fields,
			level: level ?? row.level,
		};
		this.addToRing(event);
		for (const observer of this.observers) observer(event);
		this.print(event);
	}

	/** Calls `observer` with every later event. */
	observe(observer: (event: LoggedEvent) => void): void {
		this.observers.push(observer);
	}

	/** Recorded events that match, oldest first. */
	select(matches: (event: LoggedEvent) => boolean): LoggedEvent[] {
		const ordered = [...this.ring.slice(this.start), ...this.ring.slice(0, this.start)];
		return ordered.filter(matches);
	}

	private addToRing(event: LoggedEvent): void {
		if (this.ring.length < ringSize) {
			this.ring.push(event);
			return;
		}
		this.ring[this.start] = event;
		this.start = (this.start + 1) % ringSize;
	}

	private print(event: LoggedEvent): void {
		if (this.format === 'silent') return;
		if (levels.indexOf(event.level) < levels.indexOf(this.minLevel)) return;
		if (this.format === 'json') {
			lines.writeLine(event);
			return;
		}
		void printPretty(event);
	}
}

/** Formats an event as one line of text. */
export function formatEvent(event: LoggedEvent): string {
	const fields = Object.entries(event.fields)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => `${key}=${value ?? ''}`)
		.join(' ');
	return `${event.id} ${event.name} [${event.process}] ${fields}`;
}

/** Loads consola only when it prints to a terminal, since loading it slows the start. */
async function printPretty(event: LoggedEvent): Promise<void> {
	const { consola } = await import('consola');
	consola[event.level](formatEvent(event));
}
