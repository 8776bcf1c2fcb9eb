/** The record of a case. */
import { writeFile } from 'node:fs/promises';

/** Time after which a script ends. Unit: ms. */
const TIME_LIMIT_MS = 112_000;

/** Collects what was sent, answered and run, and writes it to the file of the case. */
export class Record {
  lines = [];

  constructor(file, timeLimitMs = TIME_LIMIT_MS) {
    this.file = file;
    this.startedAt = performance.now();
    // A script that takes too long is stopped; the listeners for the exit end its hosts.
    const stop = () => {
      this.add('stopped before the end');
      // eslint-disable-next-line n/no-process-exit
      void this.save().finally(() => process.exit(2));
    };
    process.once('SIGTERM', stop);
    setTimeout(stop, timeLimitMs).unref();
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
