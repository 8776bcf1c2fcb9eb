/** Development launcher: starts a fleet, runs the demonstration steps and stops the fleet. */
import { once } from 'node:events';
import { parseArgs } from 'node:util';
import { describeFleet } from './describeFleet.js';
import { deployments, type DeploymentName } from './launch/deployments.js';
import { startFleet, type Fleet } from './launch/Fleet.js';
import { batchJob } from './walkthrough/batchJob.js';
import { plainService } from './walkthrough/plainService.js';
import type { Step } from './walkthrough/Step.js';
import { streamedChat } from './walkthrough/streamedChat.js';
import { withdrawnKey } from './walkthrough/withdrawnKey.js';

const steps: readonly Step[] = [streamedChat, plainService, batchJob, withdrawnKey];

const usage = `npm run demo -- [options]

  --deployment <name>  ${Object.keys(deployments).join(', ')} (default: small)
  --stay               print one line of JSON when ready and run until SIGINT or SIGTERM
  --verbose            pass the logs of all processes to standard error`;

const isDeployment = (name: string): name is DeploymentName => Object.hasOwn(deployments, name);

const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const runSteps = async (fleet: Fleet): Promise<number> => {
  let failures = 0;
  for (const step of steps) {
    try {
      printLine(`${step.title}: ${await step.run(fleet)}`);
    } catch (error) {
      failures += 1;
      printLine(`${step.title}: FAILED: ${(error as Error).message}`);
    }
  }
  return failures;
};

const main = async (): Promise<number> => {
  const { values } = parseArgs({
    options: {
      deployment: { type: 'string', default: 'small' },
      stay: { type: 'boolean', default: false },
      verbose: { type: 'boolean', default: false },
      help: { type: 'boolean', default: false },
    },
  });
  if (values.help) {
    printLine(usage);
    return 0;
  }
  if (!isDeployment(values.deployment)) {
    process.stderr.write(`unknown deployment "${values.deployment}"\n\n${usage}\n`);
    return 2;
  }
  // Installed before the fleet starts, so that a signal during the start still stops every process.
  const interrupted = Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
  const fleet = await startFleet({ deployment: values.deployment, verbose: values.verbose });
  let failures = 0;
  try {
    if (values.stay) {
      printLine(JSON.stringify(describeFleet(fleet)));
      await interrupted;
    } else {
      printLine(`ready: ${fleet.entries.length} entry hosts, ${fleet.agents.length} agents`);
      failures = await runSteps(fleet);
    }
  } finally {
    const uncleanExits = await fleet.stop();
    failures += uncleanExits.length;
    if (uncleanExits.length > 0)
      process.stderr.write(`did not exit cleanly: ${uncleanExits.join(', ')}\n`);
  }
  if (!values.stay) printLine(failures === 0 ? 'all processes stopped' : `${failures} failures`);
  return failures === 0 ? 0 : 1;
};

process.exitCode = await main();
