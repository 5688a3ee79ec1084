/** What an owner stores of its scheduling state for the next one, and what it adopts of the one before. */
import * as features from '../features/index.js';
import * as learnedModels from './learned-models.js';
import * as storedState from './stored-state.js';
import type * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as forecast from '../forecast/index.js';
import type * as interference from './interference.js';
import type * as limitTypes from './limit-types.js';

/** Limits of preemptible work that outlast their owner. */
export interface LimitKeeper {
	/** The current limits by serving image. */
	exportLimits: () => limitTypes.ImageLimits;
	/** Takes over the limits of an earlier owner, as initial values. */
	restore: (limits: limitTypes.ImageLimits) => unknown;
}

/** The parts whose state is stored. */
export interface StateParts {
	clock: clocks.Clock;
	events: events.EventLog;
	epoch: number;
	features?: features.Features;
	interferenceModel: interference.InterferenceModel;
	runTimes: forecast.RunTimes;
	/** Absent: no limits are kept. */
	limits?: LimitKeeper;
}

/** The state of one owner. */
export interface SchedulingState {
	/** Everything to store now. */
	export: () => learnedModels.LearnedModels;
	/** Continues from a stored record, and logs what it had; undefined: none could be read. */
	adopt: (stored: unknown) => void;
}

/** The state that the features call for: where none of them needs more than the models, these alone, as format 1. */
export function choose(parts: StateParts): SchedulingState {
	return needsWholeState(parts.features ?? features.defaultFeatures) ? wholeState(parts) : modelsOnly(parts);
}

/** Whether run time factors or limits are used, or a successor is to continue with all that was stored. */
function needsWholeState({
	admission,
	waitingOrder,
	preemptibleLimit,
	takeover,
}: features.Features): boolean {
	return (
		admission === 'forecast' ||
		waitingOrder === 'overload' ||
		preemptibleLimit !== 'fixed' ||
		takeover === 'prioritized'
	);
}

function modelsOnly({ interferenceModel, events: log, epoch }: StateParts): SchedulingState {
	return {
		export: () => interferenceModel.exportLearned(),
		adopt: (stored) => {
			if (stored === undefined) return;
			const models = stored as learnedModels.LearnedModels;
			const isAdopted = interferenceModel.restore(models);
			log.emit('learnt.adopted', {
				epoch,
				images: isAdopted ? Object.keys(models.images).length : 0,
				loads: isAdopted ? Object.keys(models.loads).length : 0,
			});
		},
	};
}

function wholeState(parts: StateParts): SchedulingState {
	return {
		export: () => exportState(parts),
		adopt: (stored) => {
			const decoded = storedState.decodeState(stored, parts.clock.wall());
			restoreState(parts, decoded.state);
			parts.events.emit('learnt.adopted', { epoch: parts.epoch, ...adoptionFields(decoded) });
		},
	};
}

function exportState({ clock, interferenceModel, runTimes, limits }: StateParts): storedState.StoredState {
	return {
		...interferenceModel.exportLearned(),
		format: storedState.format,
		storedAt: clock.wall(),
		runTimes: storedState.boundRunTimes(runTimes.exportFactors()),
		limits: storedState.boundLimits(limits?.exportLimits() ?? {}),
	};
}

function restoreState(
	{ interferenceModel, runTimes, limits }: StateParts,
	state: storedState.DecodedState['state'],
): void {
	const { images = {}, periods = {}, loads = {} } = state;
	interferenceModel.restore({ format: learnedModels.format, images, periods, loads });
	runTimes.restore(state.runTimes ?? {});
	if (state.limits !== undefined) limits?.restore(state.limits);
}

/** What the log says of a record: how much was adopted of each field, why others were not, and its age. */
function adoptionFields({ state, absent, ageMs }: storedState.DecodedState): events.EventFields {
	const reasons = Object.entries(absent).map(([field, reason]) => `${field} ${reason}`);
	return {
		images: Object.keys(state.images ?? {}).length,
		loads: Object.keys(state.loads ?? {}).length,
		runTimes: Object.keys(state.runTimes ?? {}).length,
		limits: Object.keys(state.limits ?? {}).length,
		ageMs: ageMs === undefined ? undefined : Math.round(ageMs),
		reason: reasons.length === 0 ? undefined : reasons.join(', '),
	};
}
