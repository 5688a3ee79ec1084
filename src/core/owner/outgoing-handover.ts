/** An owner's side of a handover: names successors, answers their pings, and logs what becomes of them. */
import * as clocks from '../clock.js';
import * as handovers from './handover.js';
import * as settings from './settings.js';
import type * as candidates from './candidates.js';
import type * as events from '../events/index.js';

/** Options of `OutgoingHandover`. */
export interface OutgoingHandoverOptions {
	clock: clocks.Clock;
	events: events.EventLog;
	/** Generation of the owner that hands over. */
	generation: number;
	own: handovers.OwnBox;
	cause: handovers.HandoverCause;
	/** The boxes that ping this owner. */
	candidates: candidates.Candidates;
	/** Answers the held pings, so that the boxes learn at once who is named. */
	answerPings: () => void;
	/** Whether the cause still holds. */
	isNeeded: () => boolean;
	/** Called when the handover is given up while this box goes on owning. */
	onGivenUp: () => void;
}

/** What an owner that hands over adds to its answers to pings. */
export interface HandoverReply {
	successor?: string;
	mayReplace?: number;
}

/** One handover, until the owner is replaced or closes it. */
export class OutgoingHandover {
	readonly startedAt: number;
	private readonly handover: handovers.Handover;
	private readonly timer: clocks.Timer;
	/** Whether the box named was told so. */
	private isTold = false;
	private namedAt = 0;
	private isClosed = false;

	private constructor(private readonly opts: OutgoingHandoverOptions) {
		const { clock, generation, own, cause } = opts;
		this.startedAt = clock.now();
		this.handover = handovers.Handover.create(generation, own, cause);
		this.timer = clocks.every(clock, settings.handoverTickMs, () => {
			this.advance();
		});
	}

	static create(opts: OutgoingHandoverOptions): OutgoingHandover {
		return new OutgoingHandover(opts);
	}

	/** The generation that hands over. */
	get generation(): number {
		return this.opts.generation;
	}

	get cause(): handovers.HandoverCause {
		return this.handover.cause;
	}

	/** The box is asked to stop: from now on this goes on until the grace period is nearly over. */
	noteStop(): void {
		this.handover.cause = 'planned-stop';
		this.advance();
		if (this.handover.successor === undefined) this.logFailure('', 'no-candidate');
	}

	/** Names a successor, or another one, if it is time to. */
	advance(): void {
		if (this.isClosed) return;
		if (!this.opts.isNeeded()) {
			this.giveUp('not-needed');
			return;
		}
		const now = this.opts.clock.now();
		const changes = this.handover.advance(now, this.opts.candidates.recent());
		const failed = changes.filter((change) => change.type === 'failed');
		for (const { box, reason } of failed) this.logFailure(box, reason);
		// Nothing calls for haste: the owner works, and it will look for a stronger box again later.
		const isFutile = failed.length > 0 || this.handover.successor === undefined;
		if (this.cause === 'stronger-box' && isFutile) {
			this.giveUp(undefined);
			return;
		}
		for (const change of changes) if (change.type === 'named') this.noteNamed(change.box);
	}

	/** Whether a ping of this box is to be answered without holding it. */
	isAwaitedBy(box: string): boolean {
		return this.handover.successor === box && !this.isTold;
	}

	/** What to add to the answer to a ping of a box that is prepared to replace the generation `prepared`. */
	replyTo(box: string, prepared: number | undefined): HandoverReply {
		this.advance();
		const { successor } = this.handover;
		if (this.isClosed || successor === undefined) return {};
		if (successor !== box) return { successor };
		this.isTold = true;
		const { permitted, first } = this.handover.permit(box, prepared, this.opts.clock.now());
		if (!permitted) return { successor };
		if (first) this.logPrepared(box);
		return { successor, mayReplace: this.opts.generation };
	}

	/** Names nobody any more. */
	close(): void {
		this.isClosed = true;
		this.timer.cancel();
	}

	private giveUp(reason: handovers.HandoverFailure | undefined): void {
		const { successor } = this.handover;
		if (reason !== undefined && successor !== undefined) this.logFailure(successor, reason);
		this.close();
		this.opts.onGivenUp();
	}

	private noteNamed(box: string): void {
		const { events: log, generation, clock, answerPings } = this.opts;
		this.isTold = false;
		this.namedAt = clock.now();
		log.emit('handover.started', { generation, box, cause: this.cause });
		answerPings();
	}

	private logPrepared(box: string): void {
		const { events: log, generation, clock } = this.opts;
		log.emit('handover.prepared', { generation, box, tookMs: Math.round(clock.now() - this.namedAt) });
	}

	private logFailure(box: string, reason: handovers.HandoverFailure): void {
		const { events: log, generation } = this.opts;
		log.emit('handover.failed', { generation, box, cause: this.cause, reason });
	}
}
