/**
 * Identity of workers. A worker may restart under its old name and knows nothing of its earlier runs. So a worker's id
 * consists of its name and the start of its incarnation, and all state kept under that id ends with the incarnation.
 */

/** Separates a name from a start. A name may contain it too. */
const separator = '@';

/**
 * Id of an incarnation. `startMs`: its start in Unix milliseconds by its own wall clock; undefined: the worker does not
 * report it.
 */
export function idOf(name: string, startMs: number | undefined): string {
	if (startMs !== undefined) return `${name}${separator}${String(startMs)}`;
	return name.includes(separator) ? `${name}${separator}` : name;
}

/** The name that an incarnation shares with earlier and later ones. */
export function nameOf(id: string): string {
	const at = id.lastIndexOf(separator);
	return at === -1 ? id : id.slice(0, at);
}

/** Whether the start of an incarnation is known. */
export function isStartKnown(id: string): boolean {
	return id.includes(separator) && !id.endsWith(separator);
}
