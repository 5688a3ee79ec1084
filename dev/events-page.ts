/** The text of docs/EVENTS.md, from the catalogue of events. */
import * as events from '../src/core/events/index.js';

/** The page, as Prettier would leave it. */
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
