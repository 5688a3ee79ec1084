/**
 * Model of the configuration record: operators race with changes by compare-and-swap, answers are lost, processes learn
 * versions from the platform and from each other, late pushes arrive, and a process restarts in an outage. The guarantee
 * allows seconds until a version is in force everywhere. From then on, no process may serve an older one. Before that, a
 * process that restarts in an outage may learn an older version from a peer that has not learned the newest one yet.
 */
import type * as explore from './explore.js';

/** The guards of the protocol, which has them all; each mutant leaves one out. `spec/expected.json` contains these names. */
export interface ConfigGuards {
	/** A write goes through only on the version it was made from. */
	compareAndSwap: boolean;
	/** An unanswered write is resolved by looking for its nonce. */
	readBack: boolean;
	/** A process only moves to a higher version. */
	onlyHigher: boolean;
	/** A process that has just started does not learn its version from a push, which may be late. */
	pushProvesNothing: boolean;
	/** A process that has learned no version serves nothing. */
	knowBeforeServing: boolean;
}

/** Every guard on. */
export const allConfigGuards: ConfigGuards = {
	compareAndSwap: true,
	readBack: true,
	onlyHigher: true,
	pushProvesNothing: true,
	knowBeforeServing: true,
};

interface Operator {
	/** Nonces of the changes that the record had when it was read; null: not read since the last write. */
	readRecord: number[] | null;
	phase: 'idle' | 'unanswered' | 'accepted' | 'refused' | 'unknown';
}

interface Process {
	/** Changes of the version in force, oldest first; null: none known since its start. */
	record: number[] | null;
	/** Highest version that it served callers under since its start. */
	highestServedVersion: number;
}

/** A state of the model. */
export interface ConfigState {
	/** The stored record: nonces of the changes, oldest first. Its length is the version. */
	record: number[];
	operators: Operator[];
	processes: Process[];
	/** A push in flight to the first process; null: none. */
	push: number[] | null;
	restarts: number;
	/** Highest version that has been in force everywhere. */
	highestVersionEverywhere: number;
	violation: string;
}

/** The model with two processes and the given number of racing operators. */
export function configModel(
	name: string,
	operators: number,
	guards: ConfigGuards,
): explore.Model<ConfigState> {
	const initial: ConfigState = {
		record: [],
		operators: Array.from({ length: operators }, () => ({ readRecord: null, phase: 'idle' })),
		processes: [
			{ record: [], highestServedVersion: 0 },
			{ record: [], highestServedVersion: 0 },
		],
		push: null,
		restarts: 0,
		highestVersionEverywhere: 0,
		violation: '',
	};

	const checkInvariants = (next: ConfigState): void => {
		for (const [nonce, one] of next.operators.entries()) {
			const storedCount = next.record.filter((stored) => stored === nonce).length;
			if (one.phase === 'accepted' && storedCount === 0) next.violation = `accepted change ${nonce} is gone`;
			if (one.phase === 'refused' && storedCount > 0) next.violation = `refused change ${nonce} is stored`;
			if (storedCount > 1) next.violation = `change ${nonce} is stored twice`;
		}
	};

	const offerRecord = (next: ConfigState, index: number, record: number[]): void => {
		const process = next.processes[index];
		if (!process) return;
		if (!guards.onlyHigher || process.record === null || record.length > process.record.length)
			process.record = record;
	};

	type AddStep = (name: string, change: (next: ConfigState) => void) => void;

	const steps = (state: ConfigState): { name: string; next: ConfigState }[] => {
		const out: { name: string; next: ConfigState }[] = [];
		if (state.violation !== '') return out;
		const add: AddStep = (step, change) => {
			const next = structuredClone(state);
			change(next);
			checkInvariants(next);
			out.push({ name: step, next });
		};
		for (const [nonce, one] of state.operators.entries()) operatorSteps(nonce, one, add);
		for (const [index, process] of state.processes.entries()) processSteps(state, index, process, add);
		if (state.push !== null) pushSteps(state.push, add);
		const isInForceEverywhere = state.processes.every(
			(process) => process.record?.length === state.record.length,
		);
		if (isInForceEverywhere && state.highestVersionEverywhere < state.record.length) {
			add('the version is in force everywhere', (next) => {
				next.highestVersionEverywhere = next.record.length;
			});
		}
		return out;
	};

	const operatorSteps = (nonce: number, one: Operator, add: AddStep): void => {
		if (one.phase === 'accepted' || one.phase === 'refused' || one.phase === 'unknown') return;
		add(`operator ${nonce} reads`, (next) => {
			const reader = next.operators[nonce];
			if (!reader) return;
			// What it reads shows whether an unanswered write of its own was stored.
			if (guards.readBack && next.record.includes(nonce)) reader.phase = 'accepted';
			reader.readRecord = [...next.record];
		});
		if (one.phase === 'unanswered') {
			add(`operator ${nonce} runs out of time`, (next) => {
				const timedOut = next.operators[nonce];
				if (timedOut) timedOut.phase = guards.readBack ? 'unknown' : 'refused';
			});
		}
		if (one.readRecord !== null) writeSteps(nonce, one.readRecord, add);
	};

	const writeSteps = (nonce: number, readRecord: number[], add: AddStep): void => {
		const write = (next: ConfigState): boolean => {
			const isCurrent = JSON.stringify(next.record) === JSON.stringify(readRecord);
			if (guards.compareAndSwap && !isCurrent) return false;
			next.record = [...readRecord, nonce];
			return true;
		};
		add(`operator ${nonce} writes`, (next) => {
			const writer = next.operators[nonce];
			if (!writer) return;
			const isStored = write(next);
			writer.readRecord = null;
			if (!isStored) return;
			writer.phase = 'accepted';
			next.push = [...next.record];
		});
		add(`operator ${nonce} writes, the answer is lost`, (next) => {
			const writer = next.operators[nonce];
			write(next);
			if (writer) Object.assign(writer, { phase: 'unanswered', readRecord: null });
		});
		add(`operator ${nonce} writes, the request is lost`, (next) => {
			const writer = next.operators[nonce];
			if (writer) Object.assign(writer, { phase: 'unanswered', readRecord: null });
		});
	};

	const processSteps = (state: ConfigState, index: number, process: Process, add: AddStep): void => {
		add(`process ${index} reads the platform`, (next) => {
			offerRecord(next, index, [...next.record]);
		});
		const peer = state.processes[1 - index]?.record;
		if (peer) {
			add(`process ${index} asks process ${1 - index}`, (next) => {
				offerRecord(next, index, [...peer]);
			});
		}
		if (process.record !== null || !guards.knowBeforeServing) {
			add(`process ${index} serves a caller`, (next) => {
				const server = next.processes[index];
				if (!server) return;
				const version = server.record?.length ?? 0;
				const minVersion = Math.max(server.highestServedVersion, next.highestVersionEverywhere);
				if (version < minVersion)
					next.violation = `process ${index} serves version ${version} after ${minVersion}`;
				server.highestServedVersion = Math.max(server.highestServedVersion, version);
			});
		}
		if (state.restarts < 1 && index === 0) {
			add(`process ${index} starts anew`, (next) => {
				next.restarts += 1;
				const restarted = next.processes[index];
				if (restarted) Object.assign(restarted, { record: null, highestServedVersion: 0 });
			});
		}
	};

	const takePush = (next: ConfigState, push: number[]): void => {
		const isNewlyStarted = next.processes[0]?.record === null;
		if (!isNewlyStarted || !guards.pushProvesNothing) offerRecord(next, 0, [...push]);
	};

	const pushSteps = (push: number[], add: AddStep): void => {
		add('a push arrives', (next) => {
			takePush(next, push);
			next.push = null;
		});
		add('a push arrives, and will again', (next) => {
			takePush(next, push);
		});
	};

	return {
		name,
		bounds: `${operators} operators, 2 processes, 1 restart, answers and requests lost, pushes late or doubled`,
		initial,
		steps,
		violation: (state) => (state.violation === '' ? undefined : state.violation),
		isGoal: (state) => state.processes.every((process) => process.record?.length === state.record.length),
	};
}
