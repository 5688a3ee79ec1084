/** The messages of `proto/woodcross.proto`, as `@grpc/proto-loader` decodes them with `longs: Number`. */
import type * as grpc from '@grpc/grpc-js';
import type * as scheduler from '../scheduler/index.js';

export interface SubmitRequest {
	specJson: string;
}

export interface Part {
	id: string;
	shard: string;
	created: boolean;
}

export interface PartsReply {
	parts: Part[];
}

export interface CancelRequest {
	job: string;
}

export interface StatusRequest {
	team: string;
}

export type JobStatus = scheduler.JobStatus;

export type WorkerStatus = scheduler.WorkerStatus;

/** A shard as its owner reports it. If the owner can't be reached, `owner` is empty and `problem` gives the reason. */
export interface ShardStatus extends scheduler.ShardStatus {
	problem: string;
}

export interface StatusReply {
	shards: ShardStatus[];
}

export interface ExplainRequest {
	task: string;
}

export type ExplainReply = scheduler.TaskExplanation;

export interface ConfigReply {
	version: number;
	entries: { key: string; value: string; isDefault: boolean; text: string }[];
	history: { version: number; at: number; by: string; key: string; value: string }[];
}

export interface SetConfigRequest {
	key: string;
	value: string;
	by: string;
	seenVersion: number;
}

export interface SetConfigReply {
	version: number;
	confirmed: string[];
	unconfirmed: string[];
}

export interface BoxStatus {
	boot: string;
	box: string;
	role: string;
	zone: string;
	reachable: boolean;
	configVersion: number;
	serves: string;
}

export interface BoxesReply {
	boxes: BoxStatus[];
}

export interface TimelineRequest {
	about: string;
	limit: number;
}

export interface TimelineEvent {
	id: number;
	name: string;
	ms: number;
	count: number;
	process: string;
	fields: Record<string, string>;
}

export interface TimelineReply {
	events: TimelineEvent[];
	missing: string[];
}

/** Request and reply types of every call, by name. */
export interface Calls {
	submit: { req: SubmitRequest; res: PartsReply };
	cancel: { req: CancelRequest; res: PartsReply };
	status: { req: StatusRequest; res: StatusReply };
	explain: { req: ExplainRequest; res: ExplainReply };
	getConfig: { req: object; res: ConfigReply };
	setConfig: { req: SetConfigRequest; res: SetConfigReply };
	boxes: { req: object; res: BoxesReply };
	timeline: { req: TimelineRequest; res: TimelineReply };
}

export type CallName = keyof Calls;

/** Client constructor of the loaded service. */
export type ServiceClass = grpc.ServiceClientConstructor;
