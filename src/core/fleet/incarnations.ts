/**
 * Who a worker is. A worker may start again under the name that it had, and knows nothing of before; so a worker's id
 * stands for its name and the start of this life, and whatever is kept by it ends with the life that it was learnt from.
 */

/** Stands between a name and a start; a name may have it too. */
const separator = '@';

/** Id of a life; `born`: its start in Unix milliseconds by its own time of day, undefined: it does not tell. */
export function idOf(name: string, startMs: number | undefined): string {
	if (startMs !== undefined) return `${name}${separator}${String(startMs)}`;
	return name.includes(separator) ? `${name}${separator}` : name;
}

/** The name that a life shares with those before and after it. */
export function nameOf(id: string): string {
	const at = id.lastIndexOf(separator);
	return at === -1 ? id : id.slice(0, at);
}

/** Whether the start of a life is known. */
export function isStartKnown(id: string): boolean {
	return id.includes(separator) && !id.endsWith(separator);
}
