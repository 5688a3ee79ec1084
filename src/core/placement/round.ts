/** One round of placement: takes pending tasks in order of urgency and places each on the best worker that fits. */
import * as fit from './fit.js';
import type * as types from './types.js';

/** Settings of a round. */
export interface RoundOptions {
	score: types.Score;
	/** Upper bound of placements in one round; the remaining tasks wait for the next round. */
	maxPlaces: number;
	/** Tasks that are being evicted and still hold their placements. */
	evicting: ReadonlySet<string>;
}

/**
 * Orders urgent tasks before services, and services before batch tasks; within a class, the longest waiting task comes
 * first.
 */
export function queueOrder(a: types.Waiting, b: types.Waiting): number {
	return rank(a) - rank(b) || a.since - b.since || (a.task < b.task ? -1 : 1);
}

function rank(task: types.Waiting): number {
	if (task.urgent) return 0;
	return task.kind === 'service' ? 1 : 2;
}

/**
 * Places the tasks of `pending`. Adds each placement to its worker's allocations, so that one round never exceeds a worker's
 * capacity.
 */
export function placeRound(waiting: types.Waiting[], boxes: types.Box[], opts: RoundOptions): types.Round {
	const round: types.Round = { places: [], waiting: new Map(), evictions: [] };
	const byId = new Map(boxes.map((box) => [box.id, box]));
	const later = new Map(boxes.map((box) => [box.id, afterEvictions(box, opts.evicting)]));
	for (const task of [...waiting].sort(queueOrder)) {
		if (round.places.length >= opts.maxPlaces) {
			round.waiting.set(
				task.task,
				`waits for the next round: this one reached its limit of ${opts.maxPlaces} placements`,
			);
			continue;
		}
		const place = choose(task, boxes, opts.score);
		if (place !== undefined) {
			round.places.push(place);
			byId.get(place.box)?.residents.push(toResident(task));
			later.get(place.box)?.residents.push(toResident(task));
			continue;
		}
		const coming = task.urgent && makeRoom(task, [...later.values()], round);
		round.waiting.set(task.task, coming ? 'waits for batch tasks to be evicted' : whyNot(task, boxes));
	}
	return round;
}

/** The worker as it will be when the tasks being evicted have left. */
function afterEvictions(box: types.Box, evicting: ReadonlySet<string>): types.Box {
	return { ...box, residents: box.residents.filter((resident) => !evicting.has(resident.task)) };
}

function toResident(task: types.Waiting): types.Resident {
	return { task: task.task, job: task.job, kind: task.kind, urgent: task.urgent, amount: task.needs };
}

function choose(task: types.Waiting, boxes: types.Box[], score: types.Score): types.Place | undefined {
	const open = boxes.filter((box) => box.closed === undefined && fit.fits(task, box));
	const fresh = open.filter((box) => !task.failedOn.includes(box.id));
	const candidates = fresh.length > 0 ? fresh : open;
	let best: { box: types.Box; score: number } | undefined;
	for (const box of candidates) {
		const rated = { box, score: score(task, box) };
		if (
			best === undefined ||
			rated.score < best.score ||
			(rated.score === best.score && box.id < best.box.id)
		) {
			best = rated;
		}
	}
	if (best === undefined) return undefined;
	const why = `score ${best.score.toFixed(3)}, best of ${candidates.length} that fit out of ${boxes.length}`;
	return { task: task.task, box: best.box.id, why };
}

/**
 * Plans the eviction of non-urgent batch tasks from the one worker where the fewest have to leave for `task` to fit. Adds
 * `task` to that worker in `workersAfterEvictions`, so that no other urgent task relies on the same capacity. Returns false
 * if evictions on no single worker suffice.
 */
function makeRoom(task: types.Waiting, later: types.Box[], round: types.Round): boolean {
	let best: { box: types.Box; victims: types.Resident[] } | undefined;
	for (const box of later) {
		if (box.closed !== undefined) continue;
		const victims = victimsOn(task, box);
		if (victims === undefined) continue;
		if (best === undefined || victims.length < best.victims.length) best = { box, victims };
	}
	if (best === undefined) return false;
	const { box, victims } = best;
	box.residents = [...box.residents.filter((resident) => !victims.includes(resident)), toResident(task)];
	const reason = `evicted for urgent task ${task.task}`;
	round.evictions.push(...victims.map((victim) => ({ task: victim.task, reason })));
	return true;
}

function victimsOn(task: types.Waiting, box: types.Box): types.Resident[] | undefined {
	const victims: types.Resident[] = [];
	const left = { ...box };
	const movable = box.residents
		.filter((resident) => resident.kind === 'batch' && !resident.urgent)
		.sort((a, b) => b.amount.cores - a.amount.cores || (a.task < b.task ? -1 : 1));
	for (const resident of movable) {
		if (fit.fits(task, left)) break;
		left.residents = left.residents.filter((one) => one !== resident);
		victims.push(resident);
	}
	return fit.fits(task, left) ? victims : undefined;
}

function whyNot(task: types.Waiting, boxes: types.Box[]): string {
	const open = boxes.filter((box) => box.closed === undefined);
	if (open.length === 0) {
		const reasons = [...new Set(boxes.map((box) => box.closed))].join(', ');
		return boxes.length === 0 ? 'no workers are listed' : `no worker accepts work: ${reasons}`;
	}
	const able = open.filter((box) => fit.couldHold(box.capacity, task.needs, task.maxShareOfBox));
	if (able.length === 0) return `none of ${open.length} workers is large enough`;
	return `waits for free capacity on one of ${able.length} workers: needs ${task.needs.cores} cores and ${task.needs.memoryMb} MiB`;
}
