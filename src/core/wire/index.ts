/** Messages between the project's own processes: CBOR frames over TCP. */
export * from './client.js';
export { decodeValue, encodeFrame, encodeValue, FrameReader, maxFrameBytes } from './frame.js';
export * from './server.js';
export { configRecord, parsePeerReq } from './types.js';
export type { ClaimBegin, ClaimEnd, ConfigRecord, Gossip, PeerReq } from './types.js';
