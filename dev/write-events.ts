/** `npm run docs:events`: writes docs/EVENTS.md. */
import * as fs from 'node:fs';
import * as assets from '../src/core/assets.js';
import * as page from './events-page.js';

fs.writeFileSync(assets.assetPath('docs/EVENTS.md'), page.eventsPage());
