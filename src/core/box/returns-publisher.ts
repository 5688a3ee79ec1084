/** Shares out, at the owner, the capacity into which boxes book refused callers. */
import * as admission from '../admission/index.js';
import * as clocks from '../clock.js';
import type * as dispatch from '../dispatch/index.js';
import type * as events from '../events/index.js';
import type * as results from '../result.js';

/** Interval between computations, in milliseconds. */
const intervalMs = 1_000;

/** What the publisher uses. */
export interface ReturnsPublisherOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	epoch: number;
	forecaster: Pick<dispatch.Forecaster, 'latest'>;
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

	/** Takes in the fields of a box's ping; one that is invalid is logged, and what it said before stays. */
	notePing(box: string, refused: unknown, booked: unknown): void {
		this.shares.noteReport(
			box,
			this.validOr(box, undefined, refused, admission.parseRefused),
			this.validOr(box, 'unchanged', booked, admission.parseSeconds),
		);
	}

	/** Field `returns` of the answer to a box's ping. */
	answerFor(box: string): admission.SharedSeconds | undefined {
		return this.shares.giveTo(box);
	}

	close(): void {
		this.timer.cancel();
	}

	/** A valid field; undefined: it is absent. */
	private validOr<T, F>(
		box: string,
		ifInvalid: F,
		value: unknown,
		parse: (value: unknown) => results.Result<T, string>,
	): T | F | undefined {
		if (value === undefined) return undefined;
		const parsed = parse(value);
		if (parsed.ok) return parsed.value;
		this.opts.events.emit('returns.rejected', { box, reason: parsed.err });
		return ifInvalid;
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
