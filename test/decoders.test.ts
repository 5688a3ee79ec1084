/**
 * Every decoder of `platform/`, fed with what other programs may have written: no decoder throws, and none returns an
 * invalid value.
 */
import * as fc from 'fast-check';
import test from 'ava';
import * as configurations from './fixtures/configurations.js';
import * as configuration from '../platform/queue-configuration.js';
import * as jobBody from '../platform/job-body.js';
import * as json from '../platform/json.js';
import * as waves from '../platform/waves.js';
import * as workerEntries from '../platform/worker-list.js';

/** Every run of the tests tries the same values. */
const params = { seed: 20_261, numRuns: 500 };

/** A field as its writer meant it, missing, or of any other type. */
function possiblyInvalid<T>(good: fc.Arbitrary<T>): fc.Arbitrary<unknown> {
	return fc.oneof({ weight: 4, arbitrary: good }, fc.constant(undefined), fc.jsonValue());
}

const amountField = possiblyInvalid(fc.nat());
const textField = possiblyInvalid(fc.string());

const workerEntry = fc.record({
	service: textField,
	address: possiblyInvalid(fc.constant('10.0.0.1:80')),
	zone: textField,
	state: possiblyInvalid(fc.constantFrom('ready', 'draining', 'resting')),
	capacity: possiblyInvalid(fc.record({ cpu: amountField, mem_mb: amountField, gpu: amountField })),
	labels: possiblyInvalid(fc.array(fc.string())),
	remaining_ms: amountField,
});

const operatorsConfiguration = fc.record({
	version: amountField,
	routes: possiblyInvalid(
		fc.array(
			fc.record({
				name: textField,
				host: textField,
				path_prefix: textField,
				service: textField,
				attempts: amountField,
			}),
		),
	),
	services: possiblyInvalid(
		fc.array(fc.record({ name: textField, admission_check: possiblyInvalid(fc.boolean()) })),
	),
	limits: possiblyInvalid(fc.record({ max_header_bytes: amountField, max_body_bytes: amountField })),
});

const wave = fc.record({
	wave: amountField,
	machines: possiblyInvalid(fc.array(fc.string())),
	within_s: amountField,
	maximum: amountField,
});

const job = fc.record({
	spec: textField,
	steps: possiblyInvalid(
		fc.array(fc.record({ count: amountField, cpu: amountField, after: possiblyInvalid(fc.array(fc.nat())) })),
	),
	max_runs: amountField,
});

/** A value as JSON, or arbitrary bytes. */
function encoded(value: fc.Arbitrary<unknown>): fc.Arbitrary<Uint8Array> {
	const text = value.map((one) => Buffer.from(JSON.stringify(one)) as Uint8Array);
	return fc.oneof({ weight: 3, arbitrary: text }, fc.uint8Array());
}

test('worker entries', (t) => {
	const property = fc.property(encoded(workerEntry), (value) => {
		const entry = workerEntries.decodeWorker('servers/w1', value);
		if (entry === undefined) return;
		const { capacity } = entry;
		t.regex(entry.address, /^[\w.-]+:\d+$/);
		t.true(Object.values(capacity).every((one) => Number.isFinite(one) && one >= 0));
	});
	fc.assert(property, params);
	t.pass();
});

test('configurations', (t) => {
	const property = fc.property(encoded(operatorsConfiguration), (value) => {
		const decoded = configuration.decodeConfiguration(value);
		if (decoded.ok) t.is(typeof decoded.value.version, 'number');
		else t.not(decoded.err, '');
	});
	fc.assert(property, params);
	t.pass();
});

test('waves of upkeep', (t) => {
	const property = fc.property(encoded(wave), (value) => {
		const decoded = waves.decodeWave('op/wave/3', value);
		if (decoded !== undefined) t.true(Number.isInteger(decoded.number) && Number.isFinite(decoded.withinMs));
	});
	fc.assert(property, params);
	t.pass();
});

test('jobs that callers submit', (t) => {
	const property = fc.property(encoded(job), (value) => {
		const decoded = jobBody.decodeJob(value);
		if (!decoded.ok) return;
		t.true(decoded.value.steps.every((step) => step.count >= 1 && step.milliCores >= 0));
	});
	fc.assert(property, params);
	t.pass();
});

test('arbitrary bytes as JSON', (t) => {
	fc.assert(
		fc.property(fc.uint8Array(), (value) => {
			t.notThrows(() => json.parseJson(value));
		}),
		params,
	);
});

test('a configuration whose last queue was removed is accepted, however its empty lists are written', (t) => {
	for (const empty of [{}, { routes: null, services: null }, { routes: [], services: [] }]) {
		const decoded = configuration.decodeConfiguration(configurations.storedConfiguration(8, empty));
		t.true(decoded.ok && decoded.value.routes.length === 0, JSON.stringify(empty));
	}
});

test('fields of a queue or a pool that are null count as absent', (t) => {
	const route = { name: 'r', host: 'h', path_prefix: '/p/' };
	const nulls = { slo_ms: null, priority: null, service: null, attempts: null, stretch: null };
	const omitted = configuration.decodeConfiguration(
		configurations.storedConfiguration(8, { routes: [route], services: [{ name: 's' }] }),
	);
	const explicitNulls = configuration.decodeConfiguration(
		configurations.storedConfiguration(8, {
			routes: [{ ...route, ...nulls }],
			services: [{ name: 's', admission_check: null, headroom: null }],
		}),
	);
	t.true(omitted.ok);
	t.deepEqual(explicitNulls, omitted);
});

test('a queue that cannot be decoded does not keep the others of its version from taking effect', (t) => {
	const good = { name: 'r', host: 'h', path_prefix: '/p/' };
	const decoded = configuration.decodeConfiguration(
		configurations.storedConfiguration(8, { routes: [good, { name: 'bad' }], services: [] }),
	);
	t.true(decoded.ok);
	if (!decoded.ok) return;
	t.deepEqual(
		decoded.value.routes.map((route) => route.policy.name),
		['r'],
	);
});
