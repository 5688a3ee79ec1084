#!/usr/bin/env node
/** The `woodcross-box` binary: a whole box on the users' platform, as one process. */
// First: until it is loaded, signals end the process.
import * as signals from './signals.js';
import * as acceptQueues from '../../core/accept-queue.js';
import * as adapters from '../../../platform/adapter.js';
import * as boxes from '../../core/box/box.js';
import * as clock from '../../core/clock.js';
import * as events from '../../core/events/index.js';
import * as metrics from './metrics.js';
import * as ingress from '../../../platform/ingress.js';
import * as listening from './listening.js';
import * as platformSettings from '../../../platform/settings.js';
import * as service from '../../core/box/job-service.js';
import * as stalls from './stalls.js';

/** Exit status for settings that can't be used. */
const invalidSettingsStatus = 2;

/** For timers that fire late, and the last bytes of an answer, in milliseconds. */
const marginMs = 100;

/** Connections that are established when a stopping box is about to close its address are accepted for so long, in milliseconds. */
const maxAcceptMs = 300;

/** Requests that are under way when a stopping box closes its address have this long to be answered, in milliseconds. */
const maxFinishMs = service.maxAnswerMs + marginMs;

/**
 * Connections that carry no request are ended so long after it closed the address, in milliseconds. What comes over them
 * until then is refused at once, so it needs none of the time that answers may take.
 */
const unusedCloseDelayMs = 1_500;

/** It begins to close the address this long before it would be killed, in milliseconds. */
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
const callersServer = ingress.serveCallers(box);
const callers = await listening.listen(callersServer, settings.callers);
log.emit('process.started', { callers, readiness, peer: box.peerAddress });

stalls.watchStalls(clock.systemClock, log);

// Nothing of the first second needs figures, and loading what keeps them costs start-up time.
setTimeout(() => {
	void metrics.serveMetrics(box, log, `${settings.ip}:${platformSettings.metricsPort}`);
}, metrics.startDelayMs);

signals.onReload(() => {
	const reread = platformSettings.readSettings(path);
	if (reread.ok) log.emit('settings.read', { reason: 'valid; takes effect at the next start' });
	else log.emit('settings.refused', { reason: reread.err });
});

const stopRequestedAt = await signals.stopRequested;
void box.prepareToStop();
// Open connections are served to the end; the balancer needs two seconds to send callers elsewhere.
const closeAt = stopRequestedAt + settings.bounds.graceMs - closeBeforeKillMs;
await clock.sleep(clock.systemClock, Math.max(0, closeAt - performance.now()));

const lastAnswer = ingress.finalResponse();
const acceptResult = await acceptQueues.acceptQueued(callersServer, maxAcceptMs);
// Nothing may come between the turn that found the queue empty and the close.
const finished = listening.finish(callersServer, unusedCloseDelayMs, maxFinishMs, lastAnswer);
log.emit('callers.closed', { ...acceptResult, emptied: String(acceptResult.emptied) });
await finished;
log.emit('process.stopped');
process.exit(0);
