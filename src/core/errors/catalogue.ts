/**
 * Every failure that a caller or operator can receive, in one place. `hint` says what the reader can do about it. `grpc` and
 * `http` are the status codes of the failure.
 */

/** Names of the gRPC status codes in use. */
export type GrpcCode =
	| 'ABORTED'
	| 'ALREADY_EXISTS'
	| 'DEADLINE_EXCEEDED'
	| 'FAILED_PRECONDITION'
	| 'INVALID_ARGUMENT'
	| 'NOT_FOUND'
	| 'RESOURCE_EXHAUSTED'
	| 'UNAVAILABLE';

/** One row of the catalogue. */
export interface ErrorRow {
	title: string;
	hint: string;
	/** Name of the gRPC status code. */
	grpc: GrpcCode;
	/** HTTP status code. */
	http: number;
}

/** The catalogue, by error name. */
export const errorCatalogue = {
	InvalidSpec: {
		title: 'The file does not describe a job',
		hint: 'Correct the field at the path named and submit again; nothing was stored.',
		grpc: 'INVALID_ARGUMENT',
		http: 400,
	},
	InvalidRequest: {
		title: 'The request is malformed',
		hint: 'Correct the field named and send it again.',
		grpc: 'INVALID_ARGUMENT',
		http: 400,
	},
	NeverFits: {
		title: 'No worker could ever hold one task of this job',
		hint: 'Ask for less per task, or add a larger worker to one of the zones named.',
		grpc: 'FAILED_PRECONDITION',
		http: 422,
	},
	ShardFull: {
		title: 'No shard has free capacity to keep track of the job',
		hint: 'Submit it again once other jobs have ended, or as several smaller jobs.',
		grpc: 'RESOURCE_EXHAUSTED',
		http: 503,
	},
	JobConflict: {
		title: 'A different job of that name exists',
		hint: 'Choose another name, or cancel the existing job first.',
		grpc: 'ALREADY_EXISTS',
		http: 409,
	},
	JobUnknown: {
		title: 'No such job',
		hint: 'List the jobs with `woodcross status`.',
		grpc: 'NOT_FOUND',
		http: 404,
	},
	NotOwner: {
		title: 'This scheduler does not own the shard now',
		hint: 'Try again in a moment; ownership is changing.',
		grpc: 'UNAVAILABLE',
		http: 503,
	},
	ShardUnavailable: {
		title: "The shard's scheduler can't be reached",
		hint: 'Check `woodcross boxes`; try again after the time given.',
		grpc: 'UNAVAILABLE',
		http: 503,
	},
	PlatformUnavailable: {
		title: "The platform's key-value service can't be reached",
		hint: 'Nothing was stored. Try again after the time given; running tasks continue.',
		grpc: 'UNAVAILABLE',
		http: 503,
	},
	OutcomeUnknown: {
		title: 'The change was sent but its outcome is not known yet',
		hint: 'Read the current state before sending it again; sending the same change again is safe.',
		grpc: 'UNAVAILABLE',
		http: 503,
	},
	ConfigConflict: {
		title: 'The configuration has been changed in the meantime',
		hint: 'Read the current version with `woodcross config get` and decide again.',
		grpc: 'ABORTED',
		http: 409,
	},
	ConfigInvalid: {
		title: 'The configuration value is not allowed',
		hint: 'See docs/OPERATIONS.md for each key, its unit and its range; nothing was stored.',
		grpc: 'INVALID_ARGUMENT',
		http: 400,
	},
	QueueUnknown: {
		title: 'No queue has this host and path',
		hint: 'Check both against the configuration in force.',
		grpc: 'NOT_FOUND',
		http: 404,
	},
	AcceptanceUnknown: {
		title: 'It is not known whether the job was stored',
		hint: 'Submit it again under the same id; it remains one job.',
		grpc: 'UNAVAILABLE',
		http: 504,
	},
	ServiceUnknown: {
		title: 'No such service here',
		hint: 'Check the name after /services/ in the path.',
		grpc: 'NOT_FOUND',
		http: 404,
	},
	NoBackend: {
		title: 'No backend server of the service can take the request now',
		hint: 'Retry after the time in Retry-After.',
		grpc: 'UNAVAILABLE',
		http: 503,
	},
	Overloaded: {
		title: 'The request could not make its deadline, so it was not run',
		hint: 'Retry after the time in Retry-After.',
		grpc: 'RESOURCE_EXHAUSTED',
		http: 503,
	},
	BackendFailed: {
		title: 'The backend server failed after the request had been sent',
		hint: 'The request may have run. Repeat it only with the same Idempotency-Key, or if it is safe to repeat.',
		grpc: 'UNAVAILABLE',
		http: 502,
	},
	DeadlineExceeded: {
		title: 'No answer came within the deadline',
		hint: 'The request may have run. Repeat it only with the same Idempotency-Key, or if it is safe to repeat.',
		grpc: 'DEADLINE_EXCEEDED',
		http: 504,
	},
	KeyReused: {
		title: 'The Idempotency-Key was used before with another request',
		hint: 'Use a fresh key for each different request.',
		grpc: 'FAILED_PRECONDITION',
		http: 422,
	},
	AlreadyRun: {
		title: 'A request with this Idempotency-Key has run; its answer is no longer held',
		hint: 'Do not repeat it. Read the outcome from the service.',
		grpc: 'ALREADY_EXISTS',
		http: 409,
	},
	MayHaveRun: {
		title: 'A request with this Idempotency-Key was sent and its outcome is not known',
		hint: 'Do not repeat it under another key before reading the state from the service.',
		grpc: 'UNAVAILABLE',
		http: 409,
	},
	ClaimUnavailable: {
		title: 'The Idempotency-Key could not be claimed, so the request was not run',
		hint: 'Retry with the same key after the time in Retry-After.',
		grpc: 'UNAVAILABLE',
		http: 503,
	},
	BodyTooLarge: {
		title: 'The body is larger than the limit',
		hint: 'Send at most the number of bytes named.',
		grpc: 'INVALID_ARGUMENT',
		http: 413,
	},
	Stopping: {
		title: 'This process is stopping',
		hint: 'Send the request again; another entry box takes it.',
		grpc: 'UNAVAILABLE',
		http: 503,
	},
} as const satisfies Record<string, ErrorRow>;
