/**
 * Measures the memory of entry hosts and agents beside crowds of callers, by hand:
 * `node packages/demo/dist/test/crowds/measureEntryCrowd.js --callers 48 --seconds 3 --form "whole bodies"`.
 */
import { parseArgs } from 'node:util';
import { crowdForms } from '@jacinthlug/standins/crowds/crowdForms';
import { runEntryCrowd } from './runEntryCrowd.js';

const { values } = parseArgs({
  options: {
    callers: { type: 'string', default: '48' },
    seconds: { type: 'string', default: '3' },
    entries: { type: 'string', default: '1' },
    memory: { type: 'string', default: '260' },
    'agent-memory': { type: 'string', default: '260' },
    descriptors: { type: 'string', default: '400' },
    route: { type: 'string', default: 'declared' },
    'no-key': { type: 'boolean', default: false },
    form: { type: 'string', multiple: true, default: Object.keys(crowdForms) },
  },
});

const descriptors = Number(values.descriptors);
for (const form of values.form) {
  const result = await runEntryCrowd({
    callers: Number(values.callers),
    form,
    route: values.route,
    hasKey: !values['no-key'],
    entries: Number(values.entries),
    durationMs: Number(values.seconds) * 1000,
    entryLimits: { memoryMb: Number(values.memory), descriptors },
    agentLimits: { memoryMb: Number(values['agent-memory']), descriptors },
  });
  const processes = result.processes.map(
    ({ name, hasEnded, peakBytes, peakSockets }) =>
      `${name} ${hasEnded ? 'ended' : Math.round(peakBytes / 1e6)} MB ${peakSockets} sockets`,
  );
  console.log(
    [
      `${form}, ${values.route}, key ${!values['no-key']}`,
      ...processes,
      `beside ${result.statusBeside}, after ${result.statusAfter}`,
      `crowd ${JSON.stringify(result.crowdStatuses)}`,
    ].join('; '),
  );
}
