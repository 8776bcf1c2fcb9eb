import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitUntil } from '../../src/launch/waitUntil.js';

interface LauncherWorld {
  npm: ChildProcess;
  pids: number[];
}

const isRunning = (pid: number): boolean => {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
};

Given('a fleet that npm started with --stay', async function (this: LauncherWorld) {
  this.npm = spawn('npm', ['run', '--silent', 'demo', '--', '--stay'], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  assert.ok(this.npm.stdout);
  const [line] = (await once(createInterface({ input: this.npm.stdout }), 'line')) as [string];
  const description = JSON.parse(line) as { processes: { pid: number }[] };
  this.pids = description.processes.map(({ pid }) => pid);
  assert.ok(this.pids.every(isRunning));
});

When('the npm process receives SIGINT', function (this: LauncherWorld) {
  this.npm.kill('SIGINT');
});

Then(
  'it exits with code 0 and none of its processes is still running',
  async function (this: LauncherWorld) {
    const hasEnded = () => Promise.resolve(this.npm.exitCode !== null);
    const hasTimedOut = await waitUntil('the exit of npm', 30_000, hasEnded).then(
      () => false,
      () => true,
    );
    const left = this.pids.filter(isRunning);
    left.forEach((pid) => process.kill(pid, 'SIGKILL'));
    if (hasTimedOut) this.npm.kill('SIGKILL');
    assert.deepEqual({ exitCode: this.npm.exitCode, left }, { exitCode: 0, left: [] });
  },
);
