/** Loads the operators' schema at run time, so that the build needs no code generator. */
import * as grpc from '@grpc/grpc-js';
import * as loader from '@grpc/proto-loader';
import * as assets from '../assets.js';
import type * as types from './types.js';

/** Largest message accepted, in bytes. */
export const maxMessageBytes = 4 * 1024 * 1024;

/** Client constructor and definition of the service in `proto/woodcross.proto`. */
export function loadService(): types.ServiceClass {
	const definition = loader.loadSync(assets.assetPath('proto/woodcross.proto'), {
		longs: Number,
		enums: String,
		defaults: true,
	});
	const root = grpc.loadPackageDefinition(definition) as unknown as {
		woodcross: { v1: { Woodcross: types.ServiceClass } };
	};
	return root.woodcross.v1.Woodcross;
}
