/** The platform's key-value service: its interface and its adapter. */
export { callTimeoutMs, EtcdStore } from './etcd.js';
export { Follower } from './follow.js';
export type { FollowOptions } from './follow.js';
export type * from './types.js';
