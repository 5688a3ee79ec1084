/**
 * Carries out waves of upkeep. A machine's worker first gets no new work, and what runs there is migrated; then the machine
 * is taken down. A machine that is no longer listed needs no upkeep. A command without an answer is sent again; the platform
 * treats it as done if it was.
 *
 * Not every platform rejects the commands of a replaced owner, so a command is sent only right after the store has confirmed
 * that this owner is still in place. Ownership may end, and the process may be suspended, at each wait.
 */
import * as clocks from '../clock.js';
import type * as events from '../events/index.js';
import type * as fleet from '../fleet/types.js';
import type * as types from './types.js';

/** Interval between checks of open waves, in milliseconds: each check reads the list of machines. */
const checkIntervalMs = 700;

/**
 * Longest time that tasks on a machine have to migrate before it is taken down, in milliseconds: a stop and the time on the
 * network.
 */
const maxMigrationMs = 2_500;

/** Maximum age of the confirmation of the epoch at a command, in milliseconds: a slow answer of the store. */
const maxConfirmationAgeMs = 500;

/** Options of `Upkeep`. */
export interface UpkeepOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	machines: fleet.MachineCalls;
	/** Who sends the commands, and under which epoch. */
	holder: string;
	epoch: number;
	/** Commands of the previous owner may be in flight for this long after the takeover, in milliseconds. */
	holdMs: number;
	/** Clock time at which the newest call that confirmed the epoch was sent. */
	epochConfirmedAt: () => number;
	/** Asks the store whether the epoch is still in force. */
	confirmEpoch: () => Promise<unknown>;
	/** Closes a worker to new work and migrates what runs there; `protected`: something there must stay for now. */
	vacate: (worker: string) => 'empty' | 'moving' | 'protected';
	/** Opens a worker again. */
	reopen: (worker: string) => void;
	/** Reports the state of a wave to the operators; resolves to whether that succeeded. */
	report: (wave: number, state: types.WaveState) => Promise<boolean>;
	onFenced: () => void;
}

/** A machine that is being drained for its upkeep. */
interface DrainingMachine {
	worker: string;
	since: number;
}

/** A wave and its progress. */
interface OpenWave {
	wave: types.Wave;
	/** Machines whose upkeep has begun. */
	begun: Set<string>;
	leaving: Map<string, DrainingMachine>;
	/** The state last reported to operators; undefined: none was. */
	reported: types.WaveState | undefined;
}

/** All waves under one owner. */
export class Upkeep {
	private readonly waves = new Map<number, OpenWave>();
	private readonly timer: clocks.Timer;
	private isClosed = false;
	/** Clock time from which commands may be sent. */
	private readonly commandsFrom: number;

	private constructor(private readonly opts: UpkeepOptions) {
		this.commandsFrom = opts.clock.now() + opts.holdMs;
		this.timer = clocks.every(opts.clock, checkIntervalMs, () => this.checkWaves());
	}

	static create(opts: UpkeepOptions): Upkeep {
		return new Upkeep(opts);
	}

	/** Takes in a wave; one already known changes nothing. */
	add(wave: types.Wave): void {
		if (this.waves.has(wave.number)) return;
		this.opts.events.emit('wave.taken', { wave: wave.number, machines: wave.machines.length });
		this.waves.set(wave.number, { wave, begun: new Set(), leaving: new Map(), reported: undefined });
	}

	/** Sends no more commands, also those of a check that is under way. */
	close(): void {
		this.isClosed = true;
		this.timer.cancel();
	}

	private async checkWaves(): Promise<void> {
		const open = [...this.waves.values()].filter((one) => one.reported !== 'completed');
		if (open.length === 0) return;
		const list = await this.opts.machines.list();
		if (!list.ok) {
			this.opts.events.emit('machines.unlisted', { reason: list.err });
			return;
		}
		const byName = new Map(list.value.map((machine) => [machine.name, machine]));
		for (const one of open) {
			if (this.isClosed) return;
			await this.advance(one, byName);
		}
	}

	/** Drains further machines, and takes down those that are ready. */
	private async advance(open: OpenWave, machines: Map<string, fleet.Machine>): Promise<void> {
		const { wave, begun, leaving } = open;
		await this.reportState(open, 'running');
		// A machine that is no longer listed needs nothing more.
		const listed = wave.machines.filter((name) => machines.has(name));
		this.startDraining(open, listed, machines);
		for (const [name, one] of [...leaving]) {
			if (!(await this.isStillOwner())) return;
			const machine = machines.get(name);
			if (machine === undefined) {
				leaving.delete(name);
				continue;
			}
			// Its worker may have restarted meanwhile, with new work.
			one.worker = machine.worker;
			const state = one.worker === '' ? 'empty' : this.opts.vacate(one.worker);
			if (state === 'protected' || this.opts.clock.now() < this.commandsFrom) continue;
			if (state === 'moving' && this.opts.clock.now() - one.since < maxMigrationMs) continue;
			await this.startUpkeep(open, name, one);
		}
		if (listed.every((name) => begun.has(name))) await this.reportState(open, 'completed');
	}

	/** Drains as many machines at once as may be down. */
	private startDraining(open: OpenWave, present: string[], machines: Map<string, fleet.Machine>): void {
		const { wave, begun, leaving } = open;
		// Includes machines that an earlier owner took down.
		const isDown = (name: string): boolean => !leaving.has(name) && machines.get(name)?.state !== 'up';
		const down = present.filter(isDown).length;
		let slots = wave.maximum - down - leaving.size;
		for (const name of present) {
			if (slots <= 0) return;
			const machine = machines.get(name);
			if (machine?.state !== 'up' || begun.has(name) || leaving.has(name)) continue;
			leaving.set(name, { worker: machine.worker, since: this.opts.clock.now() });
			slots -= 1;
		}
	}

	/** Whether this owner is still in place, as the store has just confirmed. */
	private async isStillOwner(): Promise<boolean> {
		if (!this.isConfirmed()) await this.opts.confirmEpoch();
		return !this.isClosed && this.isConfirmed();
	}

	private isConfirmed(): boolean {
		return clocks.isFresh(this.opts.clock, this.opts.epochConfirmedAt(), maxConfirmationAgeMs);
	}

	/** Sends the command for a machine's upkeep. */
	private async startUpkeep(open: OpenWave, name: string, one: DrainingMachine): Promise<void> {
		const { machines, holder, epoch } = this.opts;
		const outcome = await machines.upkeep(name, open.wave.number, holder, epoch);
		this.opts.events.emit('machine.upkeep', { machine: name, wave: open.wave.number, outcome });
		if (outcome === 'fenced') {
			this.opts.onFenced();
			return;
		}
		// Without an answer the machine keeps its slot until the command is known to have been carried out.
		if (outcome === 'unknown' || outcome === 'busy') return;
		open.leaving.delete(name);
		// Refused for good: it is tried again while the machine is listed, and its wave stays open.
		if (outcome === 'impossible') return;
		open.begun.add(name);
		this.opts.reopen(one.worker);
	}

	private async reportState(open: OpenWave, state: types.WaveState): Promise<void> {
		if (open.reported === state) return;
		if (await this.opts.report(open.wave.number, state)) open.reported = state;
	}
}
