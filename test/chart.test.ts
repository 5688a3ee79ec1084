/** The chart interpreter against XState, over every state and event of every chart file. */
import test from 'ava';
import * as xstate from 'xstate';
import * as tasks from '../src/core/task/index.js';

const chartFiles = ['charts/task.json', 'charts/owner.json'];

for (const file of chartFiles) {
	test(`${file} reads the same to XState`, (t) => {
		const chart = tasks.readChartFile(file);
		const interpreter = tasks.loadChart<string, string>(file);
		const machine = xstate.createMachine(chart as xstate.MachineConfig<object, xstate.EventObject>);
		const events = new Set(Object.values(chart.states).flatMap((state) => Object.keys(state.on ?? {})));
		const table: string[] = [];
		for (const state of Object.keys(chart.states)) {
			for (const event of events) {
				const from = machine.resolveState({ value: state, context: {} });
				const [next] = xstate.transition(machine, from, { type: event });
				t.is(interpreter.next(state, event) ?? state, next.value as string, `${state} on ${event}`);
				const nextState = interpreter.next(state, event);
				if (nextState !== undefined) table.push(`${state} --${event}--> ${nextState}`);
			}
		}
		t.snapshot(table);
	});
}
