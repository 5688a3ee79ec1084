/** Formats answers as text for a terminal. */
import type * as operator from '../../core/operator/index.js';

/** Pads the cells of each column to the widest one. */
function table(rows: string[][]): string {
	const widths: number[] = [];
	for (const row of rows)
		for (const [i, cell] of row.entries()) widths[i] = Math.max(widths[i] ?? 0, cell.length);
	return rows
		.map((row) =>
			row
				.map((cell, i) => cell.padEnd(widths[i] ?? 0))
				.join('  ')
				.trimEnd(),
		)
		.join('\n');
}

const time = (ms: number): string => new Date(ms).toISOString().slice(11, 23);

/** Formats a failed call, with the delay before a retry. */
export function callError(err: operator.CallError): string {
	const retryHint = err.retryAfterMs === undefined ? '' : ` Try again in ${err.retryAfterMs} ms.`;
	return `${err.name || `gRPC status ${err.code}`}: ${err.message}${retryHint}`;
}

export function submitted(res: operator.PartsReply): string {
	return res.parts
		.map(
			(part) => `${part.id} ${part.created ? 'accepted by' : 'was accepted before by'} shard ${part.shard}`,
		)
		.join('\n');
}

export function cancelled(res: operator.PartsReply): string {
	return res.parts.map((part) => `${part.id} is being cancelled in shard ${part.shard}`).join('\n');
}

export function status(res: operator.StatusReply): string {
	return res.shards.map(shardText).join('\n\n');
}

function shardText(shard: operator.ShardStatus): string {
	if (shard.problem !== '') return `shard ${shard.shard}: ${shard.problem}`;
	const heading = `shard ${shard.shard} owned by ${shard.owner}, epoch ${shard.epoch}, entry ${shard.entries}`;
	const jobs = shard.jobs.map((job) => {
		const counts = Object.entries(job.counts)
			.map(([state, count]) => `${count} ${state}`)
			.join(', ');
		return [
			'  job',
			job.id,
			job.kind,
			job.state,
			counts,
			job.uncommitted ? '(newest decision not stored yet)' : '',
		];
	});
	const workers = shard.workers.map((one) => [
		'  worker',
		one.id,
		one.state,
		`${one.tasks} tasks`,
		`${one.silentMs} ms ago`,
	]);
	return [heading, table([...jobs, ...workers])].join('\n');
}

export function explained(res: operator.ExplainReply): string {
	const rows = [
		['task', res.task],
		['shard', res.shard],
		['state', `${res.state}${res.uncommitted ? ' (newest decision not stored yet)' : ''}`],
		['attempt', String(res.attempt)],
		['worker', res.worker || '-'],
		['why there', res.why || '-'],
		['waits for', res.waitsFor || '-'],
		['last exit', res.lastEnd || '-'],
		...res.failures.map((one) => [`attempt ${one.attempt}`, `failed on ${one.worker}: ${one.reason}`]),
		...res.held.map((one) => [
			`attempt ${one.attempt}`,
			`may still hold its placement on ${one.worker}, which does not answer`,
		]),
	];
	return table(rows);
}

export function config(res: operator.ConfigReply): string {
	const rows = res.entries.map((one) => [one.key, one.value, one.isDefault ? 'default' : 'set', one.text]);
	return `version ${res.version}\n${table(rows)}`;
}

export function history(res: operator.ConfigReply): string {
	const rows = res.history.map((one) => [`version ${one.version}`, time(one.at), one.by, one.key, one.value]);
	return rows.length === 0 ? 'no changes yet' : table(rows);
}

export function configSet(res: operator.SetConfigReply): string {
	const lines = [`version ${res.version} is stored; in force on ${res.confirmed.length} processes`];
	if (res.unconfirmed.length > 0) lines.push(`not confirmed yet by: ${res.unconfirmed.join(', ')}`);
	return lines.join('\n');
}

export function boxes(res: operator.BoxesReply): string {
	const rows = res.boxes.map((one) => [
		one.zone,
		one.box,
		one.role,
		one.reachable ? `config version ${one.configVersion}` : "can't be reached",
		one.serves,
	]);
	return table(rows);
}

export function timeline(res: operator.TimelineReply): string {
	const rows = res.events.map((one) => {
		const fields = Object.entries(one.fields).map(([key, value]) => `${key}=${value}`);
		return [`${time(one.ms)}.${one.count}`, String(one.id), one.name, one.process, fields.join(' ')];
	});
	const missing = res.missing.length > 0 ? `\nno answer from: ${res.missing.join(', ')}` : '';
	return table(rows) + missing;
}
