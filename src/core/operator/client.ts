/** Client of the operators' remote procedure calls, for the command line and the tests. */
import * as grpc from '@grpc/grpc-js';
import * as results from '../result.js';
import * as schema from './schema.js';
import type * as types from './types.js';

/** A failed call: the gRPC status and the server's message. */
export interface CallError {
	code: number;
	message: string;
	/** Name of the row in the error catalogue; empty if the server gave none. */
	name: string;
	retryAfterMs?: number;
}

/** A connection to one operator process. */
export class OperatorClient {
	private constructor(private readonly client: grpc.Client) {}

	/** `address` as `host:port`. */
	static create(address: string): OperatorClient {
		const service = schema.loadService();
		return new OperatorClient(new service(address, grpc.credentials.createInsecure()));
	}

	/** Makes one call; fails if no reply comes within `timeoutMs`. */
	call<N extends types.CallName>(
		name: N,
		req: types.Calls[N]['req'],
		timeoutMs = 10_000,
	): Promise<results.Result<types.Calls[N]['res'], CallError>> {
		const methods = this.client as unknown as Record<string, GrpcMethod>;
		const method = methods[name];
		results.invariant(method !== undefined, `the schema has the call ${name}`);
		return new Promise((resolve) => {
			const done = (err: grpc.ServiceError | null, res: unknown): void => {
				resolve(err ? results.fail(toCallError(err)) : results.ok(res as types.Calls[N]['res']));
			};
			method.call(this.client, req, { deadline: Date.now() + timeoutMs }, done);
		});
	}

	close(): void {
		this.client.close();
	}
}

type GrpcMethod = (
	req: unknown,
	opts: { deadline: number },
	done: (err: grpc.ServiceError | null, res: unknown) => void,
) => void;

function toCallError(err: grpc.ServiceError): CallError {
	const name = String(err.metadata.get('woodcross-error')[0] ?? '');
	const retryAfter = err.metadata.get('woodcross-retry-after-ms')[0];
	return {
		code: err.code,
		message: err.details,
		name,
		retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter),
	};
}
