/** The connections of a server, and which of them carry no request. */
import type * as http from 'node:http';
import type * as net from 'node:net';

/** What is known of one connection. */
interface ConnectionUse {
	/** Requests that are not answered yet. */
	pendingRequests: number;
	/** Bytes that had been read when the last answer was complete. */
	answeredBytes: number;
}

/** Tracks the connections of one server from the moment at which it listens. */
export class ConnectionTracker {
	private readonly open = new Map<net.Socket, ConnectionUse>();

	private constructor() {
		// Filled by the server's events, which `create` registers.
	}

	static create(server: net.Server): ConnectionTracker {
		const tracker = new ConnectionTracker();
		server.on('connection', (socket) => {
			tracker.trackConnection(socket);
		});
		server.on('request', (req: http.IncomingMessage, res: http.ServerResponse) => {
			tracker.asked(req.socket, res);
		});
		return tracker;
	}

	/**
	 * Connections on which everything that has arrived is answered. Unlike those that `http.Server` calls idle, they may
	 * never have carried a request.
	 */
	unused(): net.Socket[] {
		const isUnused = ([socket, use]: [net.Socket, ConnectionUse]): boolean =>
			use.pendingRequests === 0 && socket.bytesRead === use.answeredBytes;
		return [...this.open].filter(isUnused).map(([socket]) => socket);
	}

	private trackConnection(socket: net.Socket): void {
		this.open.set(socket, { pendingRequests: 0, answeredBytes: 0 });
		socket.once('close', () => this.open.delete(socket));
	}

	private asked(socket: net.Socket, res: http.ServerResponse): void {
		const use = this.open.get(socket);
		if (use === undefined) return;
		use.pendingRequests += 1;
		res.once('close', () => {
			use.pendingRequests -= 1;
			use.answeredBytes = socket.bytesRead;
		});
	}
}
