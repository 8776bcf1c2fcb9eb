/** The record of a case. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

/** Collects what was sent, answered and run, and writes it to `record.txt`. */
export class Record {
  lines = [];

  constructor(folder) {
    this.file = join(folder, 'record.txt');
    this.startedAt = performance.now();
  }

  add(text, at = performance.now()) {
    const seconds = ((at - this.startedAt) / 1000).toFixed(2);
    this.lines.push(`${seconds} s  ${text}`);
  }

  /** Adds all calls with their answers (status 0 without a whole one), and all runs at engines, each in the order of time. */
  addTraffic(calls, engines) {
    this.lines.push('', 'calls, by the time at which they were sent');
    [...calls]
      .sort((a, b) => a.sentAt - b.sentAt)
      .forEach(({ sentAt, host, method, path, id = '-', status, tookMs }) =>
        this.add(`${host} ${method} ${path} ${id}: ${status} in ${Math.round(tookMs)} ms`, sentAt),
      );
    this.lines.push('', 'runs at engines, by the time at which they began');
    engines
      .flatMap((engine) => engine.runs.map((run) => ({ ...run, engine: engine.id })))
      .sort((a, b) => a.at - b.at)
      .forEach(({ at, engine, id, path, after }) =>
        this.add(`${engine} ${path} ${id}${after ? ` after ${after}` : ''}`, at),
      );
  }

  async save() {
    await writeFile(this.file, `${this.lines.join('\n')}\n`);
  }
}
