/** Finds files that ship beside the code: state charts and the operators' schema. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';

/** Path of a file of the package, e.g. `charts/task.json`. */
export function assetPath(relative: string): string {
	let dir = path.dirname(url.fileURLToPath(import.meta.url));
	while (!fs.existsSync(path.join(dir, 'package.json'))) {
		dir = path.dirname(dir);
	}
	return path.join(dir, relative);
}

/** Reads a JSON file of the package. */
export function readJsonAsset(relative: string): unknown {
	return JSON.parse(fs.readFileSync(assetPath(relative), 'utf8')) as unknown;
}
