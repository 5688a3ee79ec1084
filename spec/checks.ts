/**
 * Every model check that CI runs: each protocol within bounds, and a mutant for each guard or fault, in which a violation
 * must be found.
 */
import * as claim from './claim.js';
import * as config from './config.js';
import * as copies from './copies.js';
import * as crashes from './crashes.js';
import * as dispatch from './dispatch.js';
import * as evacuations from './evacuations.js';
import * as handover from './handover.js';
import * as heartbeats from './heartbeats.js';
import * as lease from './lease.js';
import * as incarnations from './incarnations/index.js';
import * as restarts from './restarts.js';
import type * as explore from './explore.js';

/** A model and the verdict that is expected. */
export interface Check {
	expect: 'holds' | 'wrong';
	/** Explores the model. The explorer is generic, as each model has its own type of state. */
	run: (explorer: <S>(model: explore.Model<S>) => explore.Verdict) => explore.Verdict;
	name: string;
	bounds: string;
}

function check<S>(expect: Check['expect'], model: explore.Model<S>): Check {
	return { expect, name: model.name, bounds: model.bounds, run: (explorer) => explorer(model) };
}

type LeaseBounds = Omit<lease.LeaseOptions, 'name' | 'guards'>;

const baseLeaseBounds: LeaseBounds = {
	workers: 2,
	tasks: 1,
	attempts: 2,
	takeovers: 2,
	restarts: 0,
	late: 'none',
	tasksComplete: true,
	lost: false,
};

/** Bounds of the lease model: single failures with two workers where the number of states allows, combined ones with one. */
const leaseBounds = {
	'late messages': { ...baseLeaseBounds, late: 'first', tasksComplete: false },
	'lost answers': { ...baseLeaseBounds, lost: true },
	restart: { ...baseLeaseBounds, restarts: 1 },
	'restart and late messages': { ...baseLeaseBounds, workers: 1, restarts: 1, late: 'any' },
	'two tasks': { ...baseLeaseBounds, workers: 1, tasks: 2 },
	'two tasks, lost answers': { ...baseLeaseBounds, workers: 1, tasks: 2, attempts: 1, lost: true },
} satisfies Record<string, LeaseBounds>;

/** For each guard, bounds within which its removal leads to a violation. */
const leaseMutants: Record<keyof lease.Guards, keyof typeof leaseBounds> = {
	epoch: 'restart and late messages',
	order: 'restart and late messages',
	incarnation: 'restart and late messages',
	notAfter: 'late messages',
	horizon: 'late messages',
	wait: 'late messages',
	readBack: 'lost answers',
	compareAndSwap: 'late messages',
	reserve: 'two tasks',
	commitFirst: 'restart and late messages',
};

function leaseChecks(): Check[] {
	const holds = Object.entries(leaseBounds).map(([name, bounds]) =>
		check('holds', lease.leaseModel({ ...bounds, name: `lease: ${name}`, guards: lease.allGuards })),
	);
	const mutants = Object.entries(leaseMutants).map(([guard, bounds]) => {
		const guards = { ...lease.allGuards, [guard]: false };
		return check(
			'wrong',
			lease.leaseModel({ ...leaseBounds[bounds], name: `lease without ${guard}`, guards }),
		);
	});
	return [...holds, ...mutants];
}

/** Tries of one request in the claim model. */
const requestTries = 3;

function claimChecks(): Check[] {
	const mutants = Object.keys(claim.allClaimGuards).map((guard) =>
		check(
			'wrong',
			claim.claimModel(`claim without ${guard}`, requestTries, { ...claim.allClaimGuards, [guard]: false }),
		),
	);
	return [check('holds', claim.claimModel('claim', requestTries, claim.allClaimGuards)), ...mutants];
}

/** Operators that race in the configuration model. */
const operators = 2;

function configChecks(): Check[] {
	const mutants = Object.keys(config.allConfigGuards).map((guard) =>
		check(
			'wrong',
			config.configModel(`config without ${guard}`, operators, { ...config.allConfigGuards, [guard]: false }),
		),
	);
	return [check('holds', config.configModel('config', operators, config.allConfigGuards)), ...mutants];
}

type DispatchVariant = Pick<dispatch.DispatchOptions, 'bounds' | 'storesPlace'>;

function dispatchVariant(
	[owners, ticks, runs, closingsPerOwner, expiryReportsPerOwner = 0]: [
		number,
		number,
		number,
		number,
		number?,
	],
	storesPlace = false,
): DispatchVariant {
	return { bounds: { owners, ticks, runs, closingsPerOwner, expiryReportsPerOwner }, storesPlace };
}

/** Variants of the dispatch model: owners, ticks, and the starts, closed entries and reported expiries of each owner. */
const dispatchVariants = {
	dispatch: dispatchVariant([2, 3, 2, 0]),
	'dispatch: three owners': dispatchVariant([3, 3, 1, 0]),
	'dispatch: closed entries': dispatchVariant([2, 3, 2, 1]),
	'dispatch: entries closed twice': dispatchVariant([2, 2, 2, 2]),
	'dispatch: closed entries, three owners': dispatchVariant([3, 0, 1, 1]),
	'dispatch: stored place': dispatchVariant([2, 3, 2, 1], true),
	'dispatch: stored place, three owners': dispatchVariant([3, 0, 1, 1], true),
	'dispatch: statements': dispatchVariant([2, 2, 2, 0, 1]),
	'dispatch: statements, three owners': dispatchVariant([3, 0, 1, 0, 1]),
} satisfies Record<string, DispatchVariant>;

/** The variant in which the removal of a guard leads to a violation; guards not listed use the first variant. */
const dispatchMutants: Partial<Record<keyof dispatch.DispatchGuards, keyof typeof dispatchVariants>> = {
	confirmWaited: 'dispatch: three owners',
	rosterEpoch: 'dispatch: closed entries, three owners',
	reopen: 'dispatch: closed entries',
	closeAtOnce: 'dispatch: closed entries',
	listPlaced: 'dispatch: closed entries',
	listEnds: 'dispatch: closed entries',
	closeKnown: 'dispatch: closed entries, three owners',
	placeFirst: 'dispatch: stored place',
	placeOver: 'dispatch: stored place',
	placeWait: 'dispatch: stored place',
	withhold: 'dispatch: statements',
	liftLater: 'dispatch: statements',
	sameRoster: 'dispatch: statements',
	directStatement: 'dispatch: statements, three owners',
	statedGrants: 'dispatch: statements',
	statedInherited: 'dispatch: statements, three owners',
	askFirst: 'dispatch: statements',
};

function dispatchChecks(): Check[] {
	const guards = dispatch.allDispatchGuards;
	const holds = Object.entries(dispatchVariants).map(([name, variant]) =>
		check('holds', dispatch.dispatchModel({ name, guards, ...variant })),
	);
	const names = Object.keys(guards) as (keyof dispatch.DispatchGuards)[];
	const mutants = names.map((guard) =>
		check(
			'wrong',
			dispatch.dispatchModel({
				...dispatchVariants[dispatchMutants[guard] ?? 'dispatch'],
				name: `dispatch without ${guard}`,
				guards: { ...guards, [guard]: false },
			}),
		),
	);
	return [...holds, ...mutants];
}

const baseIncarnationBounds: incarnations.IncarnationBounds = {
	owners: 2,
	starts: 2,
	maxMessagesInFlight: 1,
	reusesAddress: false,
	lateReportRequests: false,
	plannedStops: false,
};

/**
 * Bounds of the model of worker incarnations, which the names of checks call lives. With two owners, a reused address is
 * explored with one start each.
 */
const incarnationVariants = {
	'lives: an address used again': { ...baseIncarnationBounds, starts: 1, reusesAddress: true },
	'lives: two starts': baseIncarnationBounds,
	'lives: one owner, an address used again': {
		...baseIncarnationBounds,
		owners: 1,
		maxMessagesInFlight: 2,
		reusesAddress: true,
		lateReportRequests: true,
	},
	'lives: planned stop': {
		...baseIncarnationBounds,
		maxMessagesInFlight: 2,
		lateReportRequests: true,
		plannedStops: true,
	},
	'lives: planned stop, an address used again': {
		...baseIncarnationBounds,
		starts: 1,
		maxMessagesInFlight: 2,
		reusesAddress: true,
		lateReportRequests: true,
		plannedStops: true,
	},
} satisfies Record<string, incarnations.IncarnationBounds>;

/** For each fault, the variants in which it leads to a violation. */
const incarnationMutants: Record<keyof incarnations.IncarnationFaults, (keyof typeof incarnationVariants)[]> =
	{
		listProves: ['lives: an address used again', 'lives: one owner, an address used again'],
		unknownIsEmpty: ['lives: two starts', 'lives: planned stop'],
		goneWhileAlive: ['lives: two starts'],
		doubtForgotten: ['lives: two starts', 'lives: one owner, an address used again'],
		doubtLeased: ['lives: two starts'],
		stopUnnoted: ['lives: two starts'],
		unconfirmed: ['lives: two starts'],
		absenceProves: ['lives: two starts'],
		anyLifeObeys: ['lives: an address used again'],
		fenceless: ['lives: two starts', 'lives: planned stop'],
		stopSettles: ['lives: planned stop'],
	};

function incarnationChecks(): Check[] {
	const holds = Object.entries(incarnationVariants).map(([name, bounds]) =>
		check('holds', incarnations.incarnationModel({ name, bounds, faults: incarnations.noIncarnationFaults })),
	);
	const mutants = Object.entries(incarnationMutants).flatMap(([fault, variants]) =>
		variants.map((variant) =>
			check(
				'wrong',
				incarnations.incarnationModel({
					name: `${variant}, with ${fault}`,
					bounds: incarnationVariants[variant],
					faults: { ...incarnations.noIncarnationFaults, [fault]: true },
				}),
			),
		),
	);
	return [...holds, ...mutants];
}

/** Owners that die in the crash model, at most. */
const ownerDeaths = 4;

function crashChecks(): Check[] {
	const mutants = Object.keys(crashes.allCrashGuards).map((guard) => {
		const guards = { ...crashes.allCrashGuards, [guard]: false };
		return check('wrong', crashes.crashModel(`crashes without ${guard}`, ownerDeaths, guards));
	});
	return [check('holds', crashes.crashModel('crashes', ownerDeaths, crashes.allCrashGuards)), ...mutants];
}

function restartChecks(): Check[] {
	const mutants = Object.keys(restarts.noRestartFaults).map((fault) => {
		const faults = { ...restarts.noRestartFaults, [fault]: true };
		return check('wrong', restarts.restartModel(`restarts, with ${fault}`, faults));
	});
	return [check('holds', restarts.restartModel('restarts', restarts.noRestartFaults)), ...mutants];
}

function copyChecks(): Check[] {
	const all = copies.allCopyGuards;
	const mutants = Object.keys(all).map((guard) =>
		check('wrong', copies.copyModel(`copies without ${guard}`, { ...all, [guard]: false })),
	);
	return [check('holds', copies.copyModel('copies', all)), ...mutants];
}

function evacuationChecks(): Check[] {
	const all = evacuations.allEvacuationGuards;
	const mutants = Object.keys(all).map((guard) =>
		check('wrong', evacuations.evacuationModel(`evacuations without ${guard}`, { ...all, [guard]: false })),
	);
	return [check('holds', evacuations.evacuationModel('evacuations', all)), ...mutants];
}

/** Bounds of the handover model: several successors of one owner, and several owners. */
const handoverVariants = {
	handover: { generations: 2, namings: 3, deaths: 1 },
	'handover: three owners': { generations: 3, namings: 2, deaths: 1 },
} satisfies Record<string, handover.HandoverBounds>;

/** The variant in which the removal of a guard leads to a violation; guards not listed use the first one. */
const handoverMutants: Partial<Record<keyof handover.HandoverGuards, keyof typeof handoverVariants>> = {
	sameGeneration: 'handover: three owners',
	compareAndSwap: 'handover: three owners',
};

function handoverChecks(): Check[] {
	const all = handover.allHandoverGuards;
	const holds = Object.entries(handoverVariants).map(([name, bounds]) =>
		check('holds', handover.handoverModel(name, bounds, all)),
	);
	const names = Object.keys(all) as (keyof handover.HandoverGuards)[];
	const mutants = names.map((guard) => {
		const bounds = handoverVariants[handoverMutants[guard] ?? 'handover'];
		const guards = { ...all, [guard]: false };
		return check('wrong', handover.handoverModel(`handover without ${guard}`, bounds, guards));
	});
	return [...holds, ...mutants];
}

const baseHeartbeatBounds: heartbeats.HeartbeatBounds = {
	versions: ['current', 'current', 'current'],
	heartbeats: 1,
	suspensions: false,
	deaths: false,
	cutOff: false,
};

/** Variants of the heartbeat model. */
const heartbeatVariants = {
	heartbeats: { ...baseHeartbeatBounds, versions: ['current', 'current'], heartbeats: 2, suspensions: true },
	'heartbeats: three each': {
		...baseHeartbeatBounds,
		versions: ['current', 'current'],
		heartbeats: 3,
		suspensions: true,
	},
	'heartbeats: three owners': { ...baseHeartbeatBounds, suspensions: true },
	'heartbeats: three owners, two each': { ...baseHeartbeatBounds, heartbeats: 2 },
	'heartbeats: older version first': { ...baseHeartbeatBounds, versions: ['older', 'current', 'current'] },
	'heartbeats: older version between': { ...baseHeartbeatBounds, versions: ['current', 'older', 'current'] },
	'heartbeats: deaths': { ...baseHeartbeatBounds, deaths: true },
	'heartbeats: worker cut off': { ...baseHeartbeatBounds, cutOff: true },
} satisfies Record<string, heartbeats.HeartbeatBounds>;

/** The variant in which the removal of a guard leads to a violation; guards not listed use the first one. */
const heartbeatMutants: Partial<Record<keyof heartbeats.HeartbeatGuards, keyof typeof heartbeatVariants>> = {
	sameGeneration: 'heartbeats: three owners',
	coverInherited: 'heartbeats: older version first',
	ownerVersions: 'heartbeats: older version between',
	confirmWaited: 'heartbeats: three owners',
	knownCount: 'heartbeats: deaths',
};

function heartbeatChecks(): Check[] {
	const all = heartbeats.allHeartbeatGuards;
	const holds = Object.entries(heartbeatVariants).map(([name, bounds]) =>
		check('holds', heartbeats.heartbeatModel(name, bounds, all)),
	);
	const names = Object.keys(all) as (keyof heartbeats.HeartbeatGuards)[];
	const mutants = names.map((guard) => {
		const bounds = heartbeatVariants[heartbeatMutants[guard] ?? 'heartbeats'];
		const guards = { ...all, [guard]: false };
		return check('wrong', heartbeats.heartbeatModel(`heartbeats without ${guard}`, bounds, guards));
	});
	return [...holds, ...mutants];
}

/** All checks, the longest first. */
export const checks: Check[] = [
	...dispatchChecks(),
	...incarnationChecks(),
	...leaseChecks(),
	...claimChecks(),
	...configChecks(),
	...crashChecks(),
	...restartChecks(),
	...copyChecks(),
	...evacuationChecks(),
	...handoverChecks(),
	...heartbeatChecks(),
];
