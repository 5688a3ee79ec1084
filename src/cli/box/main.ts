#!/usr/bin/env node
/** The `woodcross-box` binary: runs a whole box on the users' platform as one process. */
// Imported first: until this module is loaded, signals end the process.
import * as signals from './signals.js';
import * as acceptQueues from '../../core/accept-queue.js';
import * as adapters from '../../../platform/adapter.js';
import * as boxes from '../../core/box/box.js';
import * as clock from '../../core/clock.js';
import * as errorStacks from '../../core/errors/stacks.js';
import * as events from '../../core/events/index.js';
import * as metrics from './metrics.js';
import * as ingress from '../../../platform/ingress.js';
import * as listening from './listening.js';
import * as platformSettings from '../../../platform/settings.js';
import * as service from '../../core/box/job-service.js';
import * as stalls from './stalls.js';

/** Exit status for settings that can't be used. */
const invalidSettingsStatus = 2;

/** Allowance for timers that fire late and for the last bytes of an answer, in milliseconds. */
const marginMs = 100;

/**
 * Longest time for which a stopping box accepts connections already established before it closes its address, in
 * milliseconds.
 */
const maxAcceptMs = 300;

/** Requests pending when a stopping box closes its address have this long to be answered, in milliseconds. */
const maxFinishMs = service.maxAnswerMs + marginMs;

/**
 * Connections that carry no request are ended this long after the address was closed, in milliseconds. Requests that arrive
 * on them until then are refused at once, so they need none of the time that answers may take.
 */
const unusedCloseDelayMs = 1_500;

/** The address starts to close this long before the process would be killed, in milliseconds. */
const closeBeforeKillMs = maxAcceptMs + maxFinishMs + marginMs;

const path = process.env[platformSettings.settingsVariable] ?? '';
const settingsResult = platformSettings.readSettings(path);
if (!settingsResult.ok) {
	process.stderr.write(`${settingsResult.err}\n`);
	process.exit(invalidSettingsStatus);
}
const settings = settingsResult.value;
const log = events.EventLog.create(settings.box, clock.systemClock, 'json');
const box = await boxes.Box.create(settings, adapters.createAdapter(settings, log), clock.systemClock, log);
const readiness = await listening.listen(ingress.serveReadiness(box), settings.readiness);
const callersServer = ingress.serveCallers(box, (err) => {
	log.emit('request.unhandled', { reason: String(err), stack: errorStacks.placeOf(err) });
});
const callers = await listening.listen(callersServer, settings.callers);
log.emit('process.started', { callers, readiness, peer: box.peerAddress });

stalls.watchStalls(clock.systemClock, log);

// Nothing needs metrics in the first second, and loading their code costs start-up time.
setTimeout(() => {
	void metrics.serveMetrics(box, log, `${settings.ip}:${platformSettings.metricsPort}`);
}, metrics.startDelayMs);

signals.onReload(() => {
	const reread = platformSettings.readSettings(path);
	if (reread.ok) log.emit('settings.read', { reason: 'valid; takes effect at the next start' });
	else log.emit('settings.refused', { reason: reread.err });
});

const stopRequestedAt = await signals.stopRequested;
const ownershipGivenUp = box.prepareToStop();
// Open connections are served to the end; the balancer needs two seconds to send callers elsewhere.
const closeAt = stopRequestedAt + settings.bounds.graceMs - closeBeforeKillMs;
await clock.sleep(clock.systemClock, Math.max(0, closeAt - performance.now()));

const lastAnswer = ingress.finalResponse();
const acceptResult = await acceptQueues.acceptQueued(callersServer, maxAcceptMs);
// The close has to happen in the turn of the event loop that found the queue empty.
const finished = listening.finish(callersServer, unusedCloseDelayMs, maxFinishMs, lastAnswer);
log.emit('callers.closed', { ...acceptResult, emptied: String(acceptResult.emptied) });
await finished;
// Until another box has taken over, this one dispatches; it gives up in time before the process would be killed.
if (settings.features?.handover === 'confirmed') await ownershipGivenUp;
log.emit('process.stopped');
process.exit(0);
