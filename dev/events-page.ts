/** Generates the text of docs/EVENTS.md from the event catalogue. */
import * as events from '../src/core/events/index.js';

/** The page, formatted as Prettier formats it. */
export function eventsPage(): string {
	const rows = Object.entries(events.eventCatalogue)
		.sort(([, a], [, b]) => a.id - b.id)
		.map(([name, row]) => `- **${row.id}** \`${name}\` (${row.level}): ${row.text}`);
	const intro = [
		'# Events',
		'Every process keeps its newest events in memory and prints them; `woodcross timeline` merges those of all processes.',
		'This page is made from `src/core/events/catalogue.ts` by `npm run docs:events`.',
	];
	return `${intro.join('\n\n')}\n\n${rows.join('\n')}\n`;
}
