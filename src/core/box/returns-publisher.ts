/** Shares out, at the owner, the capacity into which boxes book refused callers. */
import * as admission from '../admission/index.js';
import * as clocks from '../clock.js';
import type * as dispatch from '../dispatch/index.js';
import type * as events from '../events/index.js';

/** Interval between computations, in milliseconds. */
const intervalMs = 1_000;

/** What the publisher uses. */
export interface ReturnsPublisherOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	epoch: number;
	forecaster: dispatch.Forecaster;
	/** Name and bookings of the owner's own box. */
	box: string;
	schedule: admission.ReturnSchedule;
}

/** Shares of one owner. */
export class ReturnsPublisher {
	private readonly shares: admission.ReturnShares;
	private readonly timer: clocks.Timer;

	private constructor(private readonly opts: ReturnsPublisherOptions) {
		this.shares = admission.ReturnShares.create(() => opts.clock.now());
		this.timer = clocks.every(opts.clock, intervalMs, () => {
			this.update();
		});
	}

	static create(opts: ReturnsPublisherOptions): ReturnsPublisher {
		return new ReturnsPublisher(opts);
	}

	/** Takes in the fields of a box's ping; one that is invalid is left out and logged. */
	notePing(box: string, refused: unknown, booked: unknown): void {
		const validRefused = refused === undefined ? undefined : admission.parseRefused(refused);
		const validBooked = booked === undefined ? undefined : admission.parseSeconds(booked);
		for (const one of [validRefused, validBooked])
			if (one?.ok === false) this.opts.events.emit('returns.rejected', { box, reason: one.err });
		this.shares.noteReport(
			box,
			validRefused?.ok === true ? validRefused.value : undefined,
			validBooked?.ok === true ? validBooked.value : undefined,
		);
	}

	/** Field `returns` of the answer to a box's ping. */
	answerFor(box: string): admission.SharedSeconds | undefined {
		return this.shares.giveTo(box);
	}

	close(): void {
		this.timer.cancel();
	}

	private update(): void {
		const { clock, events: log, epoch, forecaster, box, schedule } = this.opts;
		const { latest } = forecaster;
		this.shares.update(latest?.known === true ? latest : undefined);
		const bookedCoreMs = Math.round(this.shares.bookedCoreMs);
		if (bookedCoreMs > 0) log.emit('returns.shared', { epoch, bookedCoreMs, boxes: this.shares.boxCount });
		this.shares.noteReport(box, schedule.takeRefused(), schedule.booked());
		const own = this.shares.giveTo(box);
		if (own !== undefined) schedule.noteShare(own, clock.now());
	}
}
