/** Peer connections without the messages of any one program, for programs that define their own. */
export { PeerClient } from './client.js';
export { PeerServer } from './server.js';
