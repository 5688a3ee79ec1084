/**
 * Model of confirmed handovers between three boxes with one worker and one task. Owners name successors, and may name
 * another one at any time; permissions come late or not at all; a box may die, and an owner may release ownership. The
 * guarantees: an owner is replaced only by a box that it allowed to, or after it died or released ownership; the task never
 * runs twice at once, and does not start again once its end is stored. Commands arrive at once: `dispatch.ts` has those in
 * flight.
 */
import type * as explore from './explore.js';

/** The guards of the protocol, which has them all; each mutant leaves one out. `spec/expected.json` contains these names. */
export interface HandoverGuards {
	/** A successor replaces an owner only with its permission. */
	permission: boolean;
	/** A permission is for one generation: it allows no takeover from a later owner. */
	sameGeneration: boolean;
	/** A successor that is prepared reads what has changed since, after its takeover and before it acts. */
	readChanges: boolean;
	/** A takeover is a compare-and-swap of the epoch against the generation that is replaced. */
	compareAndSwap: boolean;
	/** Writes of an owner depend on its epoch. */
	fencedWrites: boolean;
	/** The worker refuses commands of lower generations than it has seen. */
	fence: boolean;
}

/** Every guard on. */
export const allHandoverGuards: HandoverGuards = {
	permission: true,
	sameGeneration: true,
	readChanges: true,
	compareAndSwap: true,
	fencedWrites: true,
	fence: true,
};

/** Bounds of an exploration. */
export interface HandoverBounds {
	/** The highest generation. */
	generations: number;
	/** How often successors are named in all. */
	namings: number;
	deaths: number;
}

/** A box while it takes itself for the owner. */
interface Owner {
	generation: number;
	/** Whether it has read all that was stored before its takeover. */
	loaded: boolean;
	/** Whether it knows the task's end to be stored. */
	knowsEnd: boolean;
	/** What the worker last reported to it. */
	seen: 'nothing' | 'idle' | 'running' | 'ended';
	/** The box named as successor; null: none. */
	named: number | null;
}

interface Box {
	alive: boolean;
	owner: Owner | null;
	/** The generation whose owner named this box last; 0: none. */
	namedBy: number;
	/** What it has read for a takeover from a generation; null: it is not prepared. */
	prepared: { generation: number; knowsEnd: boolean } | null;
	/** The generation that it may replace, as the newest permission that arrived says; 0: none has. */
	permission: number;
	/** A permission in flight to it, which may never arrive; 0: none. */
	permissionInFlight: number;
}

/** A state of the model. */
export interface HandoverState {
	epoch: number;
	/** Whether the owner of the newest generation has released ownership. */
	released: boolean;
	/** The box that took the newest generation. */
	epochBox: number;
	/** Boxes that the owner of the newest generation has allowed to replace it. */
	allowed: number[];
	endStored: boolean;
	worker: { run: 'idle' | 'running' | 'ended'; highestGeneration: number };
	boxes: Box[];
	namings: number;
	deaths: number;
	violation: string;
}

function newBox(): Box {
	return {
		alive: true,
		owner: null,
		namedBy: 0,
		prepared: null,
		permission: 0,
		permissionInFlight: 0,
	};
}

function newOwner(generation: number, loaded: boolean, knowsEnd: boolean): Owner {
	return { generation, loaded, knowsEnd, seen: 'nothing', named: null };
}

const initial: HandoverState = {
	epoch: 1,
	released: false,
	epochBox: 0,
	allowed: [],
	endStored: false,
	worker: { run: 'idle', highestGeneration: 0 },
	boxes: [{ ...newBox(), owner: newOwner(1, true, false) }, newBox(), newBox()],
	namings: 0,
	deaths: 0,
	violation: '',
};

/** Returns the model with the given guards. */
export function handoverModel(
	name: string,
	bounds: HandoverBounds,
	guards: HandoverGuards,
): explore.Model<HandoverState> {
	const { generations, namings, deaths } = bounds;

	const steps = (state: HandoverState): { name: string; next: HandoverState }[] => {
		const possibleSteps: { name: string; next: HandoverState }[] = [];
		if (state.violation !== '') return possibleSteps;
		/** Adds a step of a box; `act` gets the next state, and the box in it. */
		const step = (
			label: string,
			index: number,
			isPossible: boolean,
			act: (next: HandoverState, box: Box) => void,
		): void => {
			const next = structuredClone(state);
			const box = next.boxes[index];
			if (!isPossible || box === undefined) return;
			act(next, box);
			possibleSteps.push({ name: `box ${String(index)} ${label}`, next });
		};
		for (const [index, box] of state.boxes.entries()) {
			if (!box.alive) continue;
			if (box.owner !== null) {
				dispatchSteps(state, index, box.owner, step);
				ownerSteps(state, index, box.owner, step);
			} else successorSteps(state, index, box, step);
			step('dies', index, state.deaths < deaths, (next, dying) => {
				Object.assign(dying, { ...newBox(), alive: false });
				next.deaths += 1;
			});
		}
		if (state.worker.run === 'running')
			possibleSteps.push({
				name: 'the run ends',
				next: { ...structuredClone(state), worker: { ...state.worker, run: 'ended' } },
			});
		return possibleSteps;
	};

	type Step = (
		label: string,
		index: number,
		isPossible: boolean,
		act: (next: HandoverState, box: Box) => void,
	) => void;

	const isObeyed = ({ worker }: HandoverState, generation: number): boolean =>
		!guards.fence || generation >= worker.highestGeneration;

	/** Applies a command of an owner at the worker. */
	const command = (next: HandoverState, generation: number): void => {
		next.worker.highestGeneration = Math.max(next.worker.highestGeneration, generation);
	};

	const dispatchSteps = (state: HandoverState, index: number, owner: Owner, step: Step): void => {
		const { generation, knowsEnd, seen } = owner;
		const mayAct = owner.loaded && isObeyed(state, generation);
		step('asks the worker', index, mayAct && seen !== state.worker.run, (next, box) => {
			command(next, generation);
			if (box.owner !== null) box.owner.seen = next.worker.run;
		});
		step('starts the task', index, mayAct && seen === 'idle' && !knowsEnd, (next, box) => {
			if (next.worker.run !== 'idle') next.violation = 'the task runs twice at once';
			if (next.endStored) next.violation = 'the task starts again after its end was stored';
			command(next, generation);
			next.worker.run = 'running';
			if (box.owner !== null) box.owner.seen = 'running';
		});
		step('stores the end', index, owner.loaded && seen === 'ended' && !knowsEnd, (next, box) => {
			const isSuperseded = guards.fencedWrites && next.epoch !== generation;
			if (isSuperseded) box.owner = null;
			if (isSuperseded || box.owner === null) return;
			next.endStored = true;
			box.owner.knowsEnd = true;
		});
		step('lets the worker forget the end', index, mayAct && seen === 'ended' && knowsEnd, (next, box) => {
			command(next, generation);
			next.worker.run = 'idle';
			if (box.owner !== null) box.owner.seen = 'idle';
		});
	};

	const ownerSteps = (state: HandoverState, index: number, owner: Owner, step: Step): void => {
		const { generation, named } = owner;
		step('reads what has changed', index, !owner.loaded, (next, box) => {
			if (box.owner !== null) Object.assign(box.owner, { loaded: true, knowsEnd: next.endStored });
		});
		step('learns that it was replaced', index, state.epoch > generation, (_next, box) => {
			box.owner = null;
		});
		step('releases ownership', index, owner.loaded && state.epoch === generation, (next, box) => {
			box.owner = null;
			next.released = true;
		});
		for (const [other, { alive }] of state.boxes.entries()) {
			const mayName = owner.loaded && alive && other !== index && named !== other;
			step(`names box ${String(other)}`, index, mayName && state.namings < namings, (next, box) => {
				const successor = next.boxes[other];
				if (box.owner === null || successor === undefined) return;
				box.owner.named = other;
				successor.namedBy = generation;
				next.namings += 1;
			});
		}
		const successor = named === null ? undefined : state.boxes[named];
		const mayPermit = successor?.prepared?.generation === generation && successor.owner === null;
		step('permits its successor to take over', index, mayPermit, (next) => {
			const permitted = named === null ? undefined : next.boxes[named];
			if (named === null || permitted === undefined) return;
			permitted.permissionInFlight = generation;
			if (next.epoch === generation && !next.allowed.includes(named))
				next.allowed = [...next.allowed, named].sort((a, b) => a - b);
		});
	};

	const successorSteps = (state: HandoverState, index: number, box: Box, step: Step): void => {
		const { prepared, permissionInFlight } = box;
		const isNamed = box.namedBy === state.epoch && prepared?.generation !== state.epoch;
		step('prepares', index, isNamed, (next, successor) => {
			successor.prepared = { generation: next.epoch, knowsEnd: next.endStored };
		});
		step('keeps its copy current', index, prepared?.knowsEnd === false && state.endStored, (_next, one) => {
			if (one.prepared !== null) one.prepared.knowsEnd = true;
		});
		step('gets the permission', index, permissionInFlight > 0, (_next, successor) => {
			successor.permission = successor.permissionInFlight;
			successor.permissionInFlight = 0;
		});
		step('takes over', index, mayTakeOver(state, box), (next, successor) => {
			if (successor.prepared === null) return;
			const { generation, knowsEnd } = successor.prepared;
			const isAllowed = next.allowed.includes(index) || isVacant(next);
			if (!isAllowed) next.violation = 'an owner is replaced that did not allow it';
			become(next, index, newOwner(generation + 1, !guards.readChanges, knowsEnd));
		});
		step('wins an election', index, isVacant(state) && state.epoch < generations, (next) => {
			become(next, index, newOwner(next.epoch + 1, false, false));
		});
	};

	const mayTakeOver = (state: HandoverState, { prepared, permission }: Box): boolean => {
		if (prepared === null || state.epoch >= generations) return false;
		if (guards.compareAndSwap && prepared.generation !== state.epoch) return false;
		if (!guards.permission) return true;
		return guards.sameGeneration ? permission === prepared.generation : permission > 0;
	};

	/** Whether the newest owner has released ownership or died, so that its lease ends. */
	const isVacant = (state: HandoverState): boolean =>
		state.released || state.boxes[state.epochBox]?.alive !== true;

	const become = (next: HandoverState, index: number, owner: Owner): void => {
		const box = next.boxes[index];
		if (box === undefined) return;
		Object.assign(next, { epoch: owner.generation, epochBox: index, released: false, allowed: [] });
		Object.assign(box, { owner, prepared: null });
	};

	return {
		name,
		bounds: `3 boxes, ${generations} generations, ${namings} namings, ${deaths} death`,
		initial,
		steps,
		violation: (state) => (state.violation === '' ? undefined : state.violation),
		isGoal: (state) => state.endStored,
		isOutOfBounds: (state) => state.epoch >= generations,
	};
}
