/** Exchanges messages with one worker, one at a time: at every heartbeat, and whenever triggered. */
import type * as clocks from '../clock.js';
import type * as results from '../result.js';
import type * as workers from '../worker/index.js';

/** What an exchange loop needs. */
export interface LinkOptions {
	address: string;
	heartbeatMs: number;
	clock: clocks.Clock;
	exchange: workers.Exchange;
	/** Composes the next message right before it is sent. */
	compose: () => workers.ExchangeReq;
	onAnswer: (req: workers.ExchangeReq, res: results.Result<workers.ExchangeRes, string>) => void;
}

/** The exchanges with one worker. */
export class WorkerLink {
	private timer: clocks.Timer | undefined;
	private busy: Promise<void> | undefined;
	private again = false;
	private stopped = false;

	private constructor(private readonly opts: LinkOptions) {}

	/** Creates the loop and sends a message at once. */
	static create(opts: LinkOptions): WorkerLink {
		const link = new WorkerLink(opts);
		link.kick();
		return link;
	}

	/** Sends a message as soon as none is in flight. */
	kick(): void {
		if (this.stopped) return;
		if (this.busy !== undefined) {
			this.again = true;
			return;
		}
		this.timer?.cancel();
		this.busy = this.turn();
	}

	/** Stops sending; resolves once no message is in flight. */
	async stop(): Promise<void> {
		this.stopped = true;
		this.timer?.cancel();
		await this.busy;
	}

	private async turn(): Promise<void> {
		const req = this.opts.compose();
		const res = await this.opts.exchange(this.opts.address, req);
		this.busy = undefined;
		if (!this.stopped) this.opts.onAnswer(req, res);
		if (this.again) {
			this.again = false;
			this.kick();
			return;
		}
		if (!this.stopped) {
			this.timer = this.opts.clock.after(this.opts.heartbeatMs, () => {
				this.kick();
			});
		}
	}
}
