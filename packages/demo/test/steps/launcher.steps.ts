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

Given('a fleet that was started by npm to stay', async function (this: LauncherWorld) {
  this.npm = spawn('npm', ['run', '--silent', 'demo', '--', '--stay'], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  assert.ok(this.npm.stdout);
  const [line] = (await once(createInterface({ input: this.npm.stdout }), 'line')) as [string];
  const described = JSON.parse(line) as { processes: { pid: number }[] };
  this.pids = described.processes.map(({ pid }) => pid);
  assert.ok(this.pids.every(isRunning));
});

When('the npm process gets SIGINT', function (this: LauncherWorld) {
  this.npm.kill('SIGINT');
});

Then(
  'it ends with success and none of its processes is left',
  async function (this: LauncherWorld) {
    const hasEnded = () => Promise.resolve(this.npm.exitCode !== null);
    const isLate = await waitUntil('the end of npm', 30_000, hasEnded).then(
      () => false,
      () => true,
    );
    const left = this.pids.filter(isRunning);
    left.forEach((pid) => process.kill(pid, 'SIGKILL'));
    if (isLate) this.npm.kill('SIGKILL');
    assert.deepEqual({ exitCode: this.npm.exitCode, left }, { exitCode: 0, left: [] });
  },
);
