/** Numbered events: a bounded ring in memory, stamped by a hybrid logical clock, shown by consola. */
import * as catalogue from './catalogue.js';
import * as hlc from './hlc.js';
import * as lines from './json-lines.js';
import type * as clocks from '../clock.js';

export { eventCatalogue } from './catalogue.js';
export type { EventLevel, EventName, EventRow } from './catalogue.js';
export * as hlc from './hlc.js';

/** What an event is about; all optional, all searchable in the time line. */
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
	/** The process that saw it: role and box. */
	process: string;
	fields: EventFields;
}

/** How events are printed. */
export type LogFormat = 'pretty' | 'json' | 'silent';

/** Events that the ring holds; older ones are dropped. */
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

	/** Records an event and prints it if its level asks for it. */
	emit(name: catalogue.EventName, fields: EventFields = {}): void {
		const row = catalogue.eventCatalogue[name];
		const event: LoggedEvent = { id: row.id, name, stamp: this.clock.tick(), process: this.process, fields };
		this.addToRing(event);
		for (const observer of this.observers) observer(event);
		this.print(event, row.level);
	}

	/** Calls `fn` with every event from now on. */
	observe(observer: (event: LoggedEvent) => void): void {
		this.observers.push(observer);
	}

	/** Recorded events that `wanted` accepts, oldest first. */
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

	private print(event: LoggedEvent, level: catalogue.EventLevel): void {
		if (this.format === 'silent') return;
		if (levels.indexOf(level) < levels.indexOf(this.minLevel)) return;
		if (this.format === 'json') {
			lines.writeLine({ ...event, level });
			return;
		}
		void printPretty(level, event);
	}
}

/** One line for people. */
export function formatEvent(event: LoggedEvent): string {
	const fields = Object.entries(event.fields)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => `${key}=${value ?? ''}`)
		.join(' ');
	return `${event.id} ${event.name} [${event.process}] ${fields}`;
}

/** Loads consola only where somebody looks at a terminal: it costs start-up time. */
async function printPretty(level: catalogue.EventLevel, event: LoggedEvent): Promise<void> {
	const { consola } = await import('consola');
	consola[level](formatEvent(event));
}
